"""Host membership: this host's record, suspicion and refutation."""

import collections.abc
import random
import typing

from trefoil_model import effects as common
from trefoil_wire import messages

from . import effects
from . import records as record_store

PROBE_MS = 1000
RECORDS_PER_FRAME = 64

State = messages.HostState


class Membership:
    """This process's view of the hosts in the fleet.

    Args:
        record: This host's own record. Other hosts do not need that of a
            control process, which passes one without targets.
        control: Whether this is a control process.
        probes: Whether this process probes hosts that it has no link to.
        rng: Draws the host to probe.
    """

    __slots__ = (
        "record",
        "control",
        "probes",
        "rng",
        "records",
        "probe_at_ms",
        "unresponsive_since_ms",
        "pending_effects",
        "pending_records",
    )

    def __init__(
        self,
        record: messages.HostRecord,
        *,
        control: bool,
        probes: bool,
        rng: random.Random,
    ) -> None:
        self.record = record
        self.control = control
        self.probes = probes
        self.rng = rng
        self.records = record_store.Records()
        self.probe_at_ms = 0
        self.unresponsive_since_ms: dict[str, int] = {}
        self.pending_effects: list[typing.Any] = []
        self.pending_records: list[messages.HostRecord] = []

    def start(self, now_ms: int) -> None:
        """Publish this host's record, unless this is a control process."""
        if not self.control:
            self._publish_own(now_ms)

    def set_targets(
        self,
        targets: list[messages.TargetRecord],
        now_ms: int,
        floors: collections.abc.Sequence[messages.AnnouncementFloor] = (),
    ) -> bool:
        """Publish the targets of this host.

        Args:
            targets: Their records.
            now_ms: The time on the runtime's clock.
            floors: Which announcements are outdated.

        Returns:
            Whether a floor is new.
        """
        published = self.record.announcement_floors or []
        raised = any(floor not in published for floor in floors)
        if raised or targets != self.record.targets:
            self._publish_next_version(
                now_ms, targets=targets, floors=list(floors) or None
            )
        return raised

    def floors_before(
        self, host: str, incarnation: int
    ) -> list[messages.AnnouncementFloor]:
        """Return the floors that a host published before it restarted."""
        record = self.records.get(host)
        if record is None or record.incarnation >= incarnation:
            return []
        return record.announcement_floors or []

    def leave(self, now_ms: int) -> None:
        """Announce that this host leaves the fleet."""
        self._publish_next_version(now_ms, targets=[], state=State.LEFT)

    def on_delta(
        self, delta: messages.RecordsDelta, now_ms: int
    ) -> list[messages.HostRecord]:
        """Store records from a peer and return those that are newer here."""
        updates = []
        for record in map(self._death_as_suspicion, delta.records):
            if record.host == self.record.host and not self.control:
                self._refute(record, now_ms)
            elif self.records.put(record, now_ms):
                updates.append(record)
        if updates:
            hosts = [record.host for record in updates]
            self.pending_effects.append(effects.RecordsChanged(hosts))
        return updates

    def _death_as_suspicion(
        self, record: messages.HostRecord
    ) -> messages.HostRecord:
        """Turn a reported death of a host that is alive here into a suspicion.

        When a network partition heals, each side has declared the other
        dead. If that were accepted immediately, every target would be removed
        from routing until its host refuted it, and callers would be refused
        for a second.
        """
        own = self.records.get(record.host)
        if record.state != State.DEAD or own is None:
            return record
        same = (own.incarnation, own.sequence) == (
            record.incarnation,
            record.sequence,
        )
        if same and own.state == State.ALIVE:
            return record_store.with_state(record, State.SUSPECT)
        return record

    def mark_unresponsive(self, host: str, now_ms: int) -> None:
        """Record that a host's link broke or that its probe failed."""
        self.unresponsive_since_ms.setdefault(host, now_ms)

    def mark_responsive(self, host: str) -> None:
        """Record that a host answered."""
        self.unresponsive_since_ms.pop(host, None)

    def on_probe_result(self, host: str, answered: bool, now_ms: int) -> None:
        """Record the result of a probe."""
        if answered:
            self.mark_responsive(host)
        else:
            self.mark_unresponsive(host, now_ms)

    def suspect_unresponsive(
        self, last_received_ms: dict[str, int], now_ms: int
    ) -> None:
        """Suspect unresponsive hosts if messages arrive from other peers.

        A process that receives no messages is cut off itself. If it
        suspected hosts immediately, an isolated control host would declare the
        whole fleet dead and flood that when the partition heals, and every
        host would have to refute it. A message from another peer after the
        host became unresponsive shows that this process is not cut off.

        Args:
            last_received_ms: When the last message of each linked peer
                arrived.
            now_ms: The time on the runtime's clock.
        """
        for host, since_ms in list(self.unresponsive_since_ms.items()):
            receives_from_others = any(
                received_ms > since_ms
                for peer, received_ms in last_received_ms.items()
                if peer != host
            )
            if receives_from_others:
                del self.unresponsive_since_ms[host]
                self._suspect(host, now_ms)

    def _suspect(self, host: str, now_ms: int) -> None:
        marked = self.records.mark(host, State.SUSPECT, now_ms)
        if marked is not None:
            self.pending_records.append(marked)
            self.pending_effects.append(effects.RecordsChanged([host]))
            self.pending_effects.append(
                common.Note("member.suspect", {"peer": host})
            )

    def tick(self, linked: set[str], now_ms: int) -> None:
        """Expire suspected hosts and probe one host without a link."""
        changed = self.records.expire(now_ms)
        if changed:
            self.pending_effects.append(effects.RecordsChanged(changed))
            for host in changed:
                self.pending_effects.append(
                    common.Note("member.dead", {"peer": host})
                )
        if self.probes and now_ms >= self.probe_at_ms:
            self.probe_at_ms = now_ms + PROBE_MS
            self._probe(linked)

    def _probe(self, linked: set[str]) -> None:
        """Probe a random host that has no link to this process.

        A seed and the proxies linked to it can fail together, for example
        with a rack. No link is then left to detect it, and without probes
        their records would never expire.
        """
        candidates = [
            record
            for record in self.records.present()
            if record.host not in linked
            and record.host != self.record.host
            and record.state == State.ALIVE
            and (self.control or record.domain == self.record.domain)
        ]
        if candidates:
            chosen = self.rng.choice(candidates)
            self.pending_effects.append(
                effects.Probe(chosen.host, chosen.address)
            )

    def _refute(self, reported: messages.HostRecord, now_ms: int) -> None:
        """Publish a newer record if a peer's record of this host is newer."""
        own = self.record
        if record_store.version_of(reported) <= record_store.version_of(own):
            return
        if reported.incarnation > own.incarnation:
            own.incarnation = reported.incarnation + 1
        own.sequence = max(own.sequence, reported.sequence)
        self._publish_next_version(now_ms)
        self.pending_effects.append(
            common.Note("member.refuted", {"seen": reported.state})
        )

    def _publish_next_version(
        self,
        now_ms: int,
        *,
        targets: list[messages.TargetRecord] | None = None,
        floors: list[messages.AnnouncementFloor] | None = None,
        state: int | None = None,
    ) -> None:
        old = self.record
        if targets is None or state is not None:
            floors = old.announcement_floors
        self.record = messages.HostRecord(
            host=old.host,
            domain=old.domain,
            region=old.region,
            address=old.address,
            incarnation=old.incarnation,
            sequence=old.sequence + 1,
            state=old.state if state is None else state,
            targets=old.targets if targets is None else targets,
            announcement_floors=floors,
        )
        self._publish_own(now_ms)

    def _publish_own(self, now_ms: int) -> None:
        self.records.put(self.record, now_ms)
        self.pending_records.append(self.record)
        self.pending_effects.append(effects.RecordsChanged([self.record.host]))
