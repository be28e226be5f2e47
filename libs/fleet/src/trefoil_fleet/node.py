"""The fleet core of one process: links, heartbeats and their messages."""

import collections.abc
import dataclasses
import functools
import random
import typing

from trefoil_model import effects as common
from trefoil_wire import messages

from . import distribution as distributions
from . import effects
from . import floor as floors
from . import items as item_store
from . import membership as memberships
from . import overlay as overlays
from . import records as record_store
from . import reports as report_store

HEARTBEAT_MS = 1000
LINK_TIMEOUT_MS = 3500
# Close to two heartbeat intervals: one heartbeat was lost, or its sender has
# stalled. Extra links to control hosts cost little compared with a stale
# configuration, so this may give more false alarms than LINK_TIMEOUT_MS.
UNRESPONSIVE_MS = 1800
# Time without an uplink after which other control hosts are dialled as well.
# A successful dial takes a round trip; one to a host that does not answer
# takes seconds to fail.
UPLINK_WAIT_MS = 1000
REPORT_FLUSH_MS = 100
# Record updates that arrive within this time of the last message are sent
# together in the next one: when a fleet starts, each host has updates for
# every other host several times within seconds.
UPDATE_BATCH_MS = 100
SUMMARY_INTERVAL_MS = 5000
RECORDS_STABLE_MS = 1500
MAX_FLOOR_RELAYS = 256
FLOOR_NONCE_BITS = 48
JOINS_PER_S = 50
JOIN_BURST = 50


@dataclasses.dataclass(slots=True)
class RecordUpdate:
    """A record to forward to peers.

    Args:
        record: The record.
        source: The peer that sent it, empty for this process itself.
    """

    record: messages.HostRecord
    source: str


@dataclasses.dataclass(slots=True)
class Link:
    """A subscribed link to a peer.

    Args:
        host: The peer's name.
        control: Whether the peer is a control process.
        served: Whether the peer dialled this process as its uplink.
        last_received_ms: When the last message from the peer arrived.
        leader_known: Whether the peer knows of a leader.
        summary_ms: When a summary of records was last sent to the peer.
        mismatches: Successive heartbeats with another digest of records.
        disconnecting: Whether this process has asked to close the link.
    """

    host: str
    control: bool
    served: bool
    last_received_ms: int
    leader_known: bool = True
    summary_ms: int = 0
    mismatches: int = 0
    disconnecting: bool = False


class Node:
    """The fleet core of one process.

    Methods that return a list return the effects to perform, in order.

    Args:
        record: This host's record.
        control: Whether this is a control process.
        seeds: Address of each seed of the failure domain by name.
        controls: Address of each control process by name.
        now_ms: The time on the runtime's clock.
        rng: Draws jitter and probes.
        joins_per_s: How many joining peers this process accepts a second.
    """

    __slots__ = (
        "local_host",
        "control",
        "overlay",
        "members",
        "config",
        "reports",
        "links",
        "started_ms",
        "now_ms",
        "heartbeat_at_ms",
        "report_at_ms",
        "refresh_at_ms",
        "updates",
        "updates_due_ms",
        "floor_relays",
        "relay_nonce",
        "join_tokens",
        "join_ms",
        "joins_per_s",
        "leader",
        "leader_known",
        "uplink_linked_ms",
        "old_uplink",
        "rng",
        "pending_effects",
    )

    def __init__(
        self,
        record: messages.HostRecord,
        *,
        control: bool,
        seeds: dict[str, str],
        controls: dict[str, str],
        now_ms: int,
        rng: random.Random,
        joins_per_s: int = JOINS_PER_S,
    ) -> None:
        self.local_host = record.host
        self.control = control
        self.overlay = overlays.Overlay(
            self.local_host,
            domain=record.domain,
            control=control,
            seeds=seeds,
            controls=controls,
            rng=rng,
        )
        self.members = memberships.Membership(
            record,
            control=control,
            probes=control or self.local_host in seeds,
            rng=rng,
        )
        self.config = distributions.Distribution(
            floors.Floor(self.local_host, list(seeds), proved=control),
            is_seed=self.local_host in seeds,
            other_seeds=[
                name for name in sorted(seeds) if name != self.local_host
            ],
            control=control,
            floor_nonce=1 + rng.getrandbits(FLOOR_NONCE_BITS),
        )
        self.reports = report_store.Reports()
        self.links: dict[str, Link] = {}
        self.started_ms = now_ms
        self.now_ms = now_ms
        self.heartbeat_at_ms = now_ms
        self.report_at_ms = now_ms
        self.refresh_at_ms = now_ms
        self.updates: dict[str, RecordUpdate] = {}
        self.updates_due_ms = now_ms
        self.floor_relays: dict[int, messages.FloorQuery] = {}
        self.relay_nonce = self.config.floor_nonce
        self.join_tokens = float(JOIN_BURST)
        self.join_ms = now_ms
        self.joins_per_s = joins_per_s
        self.leader = ""
        self.leader_known = True
        self.uplink_linked_ms = now_ms
        self.old_uplink = ""
        self.rng = rng
        self.pending_effects: list[typing.Any] = []
        self.members.start(now_ms)

    # State

    @property
    def ready(self) -> bool:
        """Return whether a configuration is in force here."""
        return self.config.in_force.revision > 0

    @property
    def report_peer(self) -> str:
        """Return the linked peer that reports are sent to, empty without one.

        This is the uplink, unless it is unresponsive or knows no leader:
        reports sent to it would then reach the leader late, and the versions
        of a move would be compared without them.
        """
        ranked = [self.overlay.uplink, self.old_uplink]
        ranked += [link.host for link in self.links.values() if link.control]
        linked = [host for host in ranked if host in self.links]
        responsive = [
            host for host in linked if self._is_responsive(self.links[host])
        ]
        return next(iter(responsive + linked), "")

    def _is_responsive(self, link: Link) -> bool:
        return (
            link.leader_known
            and self.now_ms - link.last_received_ms < UNRESPONSIVE_MS
        )

    def is_cross_domain(self, host: str) -> bool:
        """Return whether a host is known to be in another failure domain."""
        record = self.members.records.get(host)
        domain = record.domain if record else self.overlay.domains.get(host)
        return bool(domain) and domain != self.members.record.domain

    def hello(self) -> messages.Hello:
        """Return the hello message for a subscribed link."""
        return messages.Hello(
            host=self.local_host,
            domain=self.members.record.domain,
            address=self.members.record.address,
            incarnation=self.members.record.incarnation,
            control=self.control,
            revision=self.config.held.revision,
            subscribe=True,
        )

    # Links

    def admit(self, hello: messages.Hello, now_ms: int) -> int:
        """Decide whether to serve a peer that dialled this process.

        Returns:
            0 to serve it, otherwise the time it should wait, in
            milliseconds.
        """
        new_tokens = (now_ms - self.join_ms) * self.joins_per_s / 1000
        self.join_tokens = min(
            self.join_tokens + new_tokens, float(JOIN_BURST)
        )
        self.join_ms = now_ms
        exempt = hello.control or hello.host in self.overlay.seeds
        if self.join_tokens >= 1 or exempt:
            self.join_tokens -= 1
            return 0
        # Serving many joining peers together would delay the heartbeats of
        # linked peers, which would then disconnect and join again as well.
        wait_ms = 1000 + 1000 * abs(self.join_tokens) / self.joins_per_s
        return int(wait_ms * self.rng.uniform(0.5, 1.5))

    def linked(
        self,
        host: str,
        *,
        control: bool,
        served: bool,
        revision: int,
        now_ms: int,
        incarnation: int = 0,
    ) -> list[typing.Any]:
        """Add a link that is established on both sides."""
        self.now_ms = now_ms
        self.links[host] = Link(host, control, served, now_ms)
        self.overlay.linked(host, now_ms)
        self.members.mark_responsive(host)
        self.config.add_peer(host, revision)
        self.config.query_floor_if_needed(host)
        floors = self.members.floors_before(host, incarnation)
        if floors:
            self._send(host, messages.AnnouncementFloors(floors))
        if not served:
            summary = self.members.records.summary(
                now_ms, recent_only=False, reply_wanted=True
            )
            self._send(host, summary)
        if self.overlay.control_hosts.number:
            self._send(host, self.overlay.control_hosts)
        if host in (self.leader, self.overlay.uplink):
            # Reports made while this link was down have not reached the
            # peer. Without this they would arrive only with the next refresh.
            self.reports.resend_all()
        self._send(host, self._heartbeat())
        return self._flush()

    def unlinked(
        self, host: str, now_ms: int, retry_after_ms: int = 0
    ) -> list[typing.Any]:
        """Remove a link that broke, or record a failed or refused dial."""
        self.now_ms = now_ms
        was_linked = self.links.pop(host, None) is not None
        self.config.drop_peer(host)
        self.overlay.failed(host, now_ms, retry_after_ms)
        if was_linked and not self._is_control(host):
            self.members.mark_unresponsive(host, now_ms)
        return self._flush()

    def on_probe_result(
        self, host: str, answered: bool, now_ms: int
    ) -> list[typing.Any]:
        """Record the result of a probe."""
        self.now_ms = now_ms
        self.members.on_probe_result(host, answered, now_ms)
        return self._flush()

    # Input

    def receive(
        self, peer: str, message: typing.Any, now_ms: int
    ) -> list[typing.Any]:
        """Handle a message from a linked peer."""
        self.now_ms = now_ms
        link = self.links.get(peer)
        if link is not None:
            link.last_received_ms = now_ms
        handle_message(message, self, peer)
        return self._flush()

    def publish(
        self, items: item_store.Items, now_ms: int
    ) -> list[typing.Any]:
        """Distribute a revision that Raft committed (control processes)."""
        self.now_ms = now_ms
        self.config.publish(items, now_ms)
        return self._flush()

    def on_hello(self, hello: messages.Hello) -> None:
        """Add the control process that sent a hello."""
        self.overlay.on_hello(hello)

    def update_controls(
        self, control_hosts: messages.ControlHosts, now_ms: int
    ) -> list[typing.Any]:
        """Use a newer list of control hosts and forward it."""
        self.now_ms = now_ms
        self._update_controls(control_hosts, "")
        return self._flush()

    def _update_controls(
        self, control_hosts: messages.ControlHosts, source: str
    ) -> None:
        if not self.overlay.update_controls(control_hosts, self.now_ms):
            return
        for peer in self._forward_peers(source):
            self._send(peer, control_hosts)

    def set_targets(
        self,
        targets: list[messages.TargetRecord],
        now_ms: int,
        floors: collections.abc.Sequence[messages.AnnouncementFloor] = (),
    ) -> list[typing.Any]:
        """Publish this host's targets and outdated announcements."""
        self.now_ms = now_ms
        if self.members.set_targets(targets, now_ms, floors):
            # The announcement is about to be acknowledged: this process may
            # be killed next, and only its peers know of it then.
            self.updates_due_ms = now_ms
        return self._flush()

    def leave(self, now_ms: int) -> list[typing.Any]:
        """Announce that this host leaves the fleet."""
        self.now_ms = now_ms
        self.members.leave(now_ms)
        return self._flush()

    def send_leader_confirmation(
        self, nonce: int, revision: int, now_ms: int
    ) -> list[typing.Any]:
        """Send the leader's confirmation for an ``AskFloor``."""
        self.now_ms = now_ms
        self._relay_floor(nonce, revision)
        return self._flush()

    def send_voter_confirmation(
        self, nonce: int, revision: int, voters: list[str], now_ms: int
    ) -> list[typing.Any]:
        """Send this voter's own confirmation for an ``AskFloor``."""
        self.now_ms = now_ms
        query = self.floor_relays.get(nonce)
        if query is not None:
            self._send(
                query.host,
                messages.FloorReply(
                    query.nonce, revision, False, self.local_host, voters
                ),
            )
        return self._flush()

    def tick(self, now_ms: int) -> list[typing.Any]:
        """Run the periodic work that is due."""
        self.now_ms = now_ms
        self._dial()
        self._disconnect_silent()
        last_received_ms = {
            link.host: link.last_received_ms for link in self.links.values()
        }
        self.members.suspect_unresponsive(last_received_ms, now_ms)
        self.members.tick(set(self.links), now_ms)
        self.config.tick(list(self.links), now_ms)
        if self.updates and now_ms >= self.updates_due_ms:
            self._send_updates()
        self._send_periodic()
        return self._flush()

    # Output

    def _send(self, peer: str, message: typing.Any) -> None:
        self.pending_effects.append(common.Send(peer, message))

    def _flush(self) -> list[typing.Any]:
        self.pending_effects.extend(self.members.pending_effects)
        self.members.pending_effects = []
        pending_records, self.members.pending_records = (
            self.members.pending_records,
            [],
        )
        if pending_records:
            self._queue_updates(pending_records, "")
        effect_count = len(self.config.pending_effects)
        self.pending_effects.extend(self.config.pending_effects)
        self.config.pending_effects = []
        if effect_count:
            self._after_config_change()
        pending_effects = self.pending_effects
        self.pending_effects = []
        return pending_effects

    def _after_config_change(self) -> None:
        changed = any(
            isinstance(effect, effects.PutInForce)
            for effect in self.pending_effects
        )
        if changed:
            served = [link.host for link in self.links.values() if link.served]
            self.config.push(served)
            self.pending_effects.extend(self.config.pending_effects)
            self.config.pending_effects = []
        self._report_own()

    def _report_own(self) -> None:
        if self.control:
            return
        report = messages.Report(
            host=self.local_host,
            incarnation=self.members.record.incarnation,
            revision=self.config.in_force.revision,
            rejected=self.config.rejected,
            age_ms=0,
        )
        self.reports.add(report, self.now_ms)

    def _queue_updates(
        self, records: list[messages.HostRecord], source: str
    ) -> None:
        for record in records:
            self.updates[record.host] = RecordUpdate(record, source)
        if self.now_ms >= self.updates_due_ms:
            self._send_updates()

    def _send_updates(self) -> None:
        """Send each peer the queued records that it did not send itself."""
        updates, self.updates = self.updates, {}
        self.updates_due_ms = self.now_ms + UPDATE_BATCH_MS
        due: dict[str, list[messages.HostRecord]] = {}
        for item in updates.values():
            for peer in self._forward_peers(item.source):
                due.setdefault(peer, []).append(item.record)
        size = memberships.RECORDS_PER_FRAME
        for peer, records in due.items():
            for start in range(0, len(records), size):
                delta = messages.RecordsDelta(records[start : start + size])
                self._send(peer, delta)

    def _forward_peers(self, source: str) -> list[str]:
        """Return the peers to forward a message from another peer to.

        Every control host is linked to every other. A message from one of
        them is not forwarded to the others, as each would receive it from
        all of them. If a link between two of them is broken, their digests
        differ and a summary repairs the difference.
        """
        others = [link for link in self.links.values() if link.host != source]
        source_link = self.links.get(source)
        if self.control and source_link is not None and source_link.control:
            others = [link for link in others if not link.control]
        return [link.host for link in others]

    def _is_control(self, host: str) -> bool:
        return host in self.overlay.controls

    # Periodic work

    def _dial(self) -> None:
        extra = (
            not self.config.floor.proved
            and self.now_ms >= self.started_ms + overlays.EXTRA_LINKS_DELAY_MS
        )
        self.old_uplink = (
            self.overlay.return_to_preferred(self.now_ms) or self.old_uplink
        )
        if self.overlay.uplink in self.links:
            self.uplink_linked_ms = self.now_ms
            self._disconnect_old_uplink()
        extra = extra or self._uplink_is_unresponsive()
        wanted = self.overlay.wanted(extra=extra, now_ms=self.now_ms)
        if self.config.floor.proved:
            self._disconnect_extra(wanted)
        for host in wanted:
            if host in self.links:
                continue
            if self.overlay.may_dial(host, self.now_ms):
                address = self.overlay.address(host)
                self.pending_effects.append(effects.Dial(host, address))

    def _disconnect_old_uplink(self) -> None:
        """Disconnect the old uplink, now that the new one is linked.

        The new uplink may not answer, and a dial takes seconds to fail.
        Disconnecting first would leave this proxy without any link, and so
        without new configurations, for all that time.
        """
        old, self.old_uplink = self.old_uplink, ""
        if old in self.links and old != self.overlay.uplink:
            self._disconnect(self.links[old])

    def _disconnect(self, link: Link) -> None:
        """Close a link unless that was already requested."""
        if not link.disconnecting:
            link.disconnecting = True
            self.pending_effects.append(effects.Disconnect(link.host))

    def _uplink_is_unresponsive(self) -> bool:
        """Return whether the uplink may be missing newer configurations.

        The control host that serves this proxy may be cut off from the other
        control hosts, or stalled, while the proxy reaches them all. The link
        does not break, so the proxy would stay with it and serve an old
        configuration until the fault ends. The link is kept, since in a
        cut-off failure domain it is the only one; links to the other control
        hosts deliver the newer revisions.
        """
        if self.control:
            return False
        link = self.links.get(self.overlay.uplink)
        link = link or self.links.get(self.old_uplink)
        if link is None:
            return self.now_ms - self.uplink_linked_ms >= UPLINK_WAIT_MS
        return not self._is_responsive(link)

    def _disconnect_extra(self, wanted: list[str]) -> None:
        """Close the links that served only to prove the floor."""
        if self.control or self.overlay.seeds:
            return
        for link in list(self.links.values()):
            if link.control and link.host not in wanted:
                if self.overlay.uplink in self.links:
                    self._disconnect(link)

    def _disconnect_silent(self) -> None:
        for link in list(self.links.values()):
            silent = self.now_ms - link.last_received_ms >= LINK_TIMEOUT_MS
            if silent and not link.disconnecting:
                # A connection can stop delivering data while new ones work.
                # Waiting for its error would leave this proxy on an old
                # configuration for as long as the kernel retries.
                self.pending_effects.append(
                    common.Note("link.silent", {"peer": link.host})
                )
                self._disconnect(link)

    def _send_periodic(self) -> None:
        if self.now_ms >= self.refresh_at_ms:
            pause = report_store.REFRESH_MS * self.rng.uniform(0.8, 1.2)
            self.refresh_at_ms = self.now_ms + int(pause)
            self._report_own()
        if self.now_ms >= self.report_at_ms and self.reports.pending:
            self.report_at_ms = self.now_ms + REPORT_FLUSH_MS
            self._forward_reports()
        if self.now_ms >= self.heartbeat_at_ms:
            self.heartbeat_at_ms = self.now_ms + HEARTBEAT_MS
            for peer in self.links:
                self._send(peer, self._heartbeat())

    def _heartbeat(self) -> messages.Heartbeat:
        return messages.Heartbeat(
            revision=self.config.held.revision,
            config_digest=self.config.held.digest,
            records_digest=self.members.records.digest,
            led=self.leader_known,
        )

    def set_leader(self, leader: str) -> None:
        """Forward reports to a new leader (control processes).

        Only the leader answers queries about the fleet. If reports went to
        every control host, each of 8 hosts would send those of a change at
        860 proxies seven times.
        """
        if leader != self.leader:
            self.leader = leader
            self.reports.resend_all()

    def set_leader_known(self, leader_known: bool) -> None:
        """Announce in the next heartbeat whether a leader is known here."""
        if leader_known != self.leader_known:
            self.leader_known = leader_known
            self.heartbeat_at_ms = self.now_ms

    def _forward_reports(self) -> None:
        """Send new reports to the uplink, or to the leader (control hosts)."""
        peer = self.leader if self.control else self.report_peer
        if peer == self.local_host:
            self.reports.pending = {}
        elif peer in self.links:
            due = self.reports.take_pending(self.now_ms)
            self._send(peer, messages.Reports(due))

    # Messages

    def on_heartbeat(self, peer: str, heartbeat: messages.Heartbeat) -> None:
        """Compare the digests in a heartbeat with those of this process."""
        self.config.on_peer_revision(
            peer, heartbeat.revision, heartbeat.config_digest, self.now_ms
        )
        link = self.links.get(peer)
        if link is not None:
            if heartbeat.led and not link.leader_known:
                # Queries sent before a leader was known got no reply.
                self.config.query_floor_if_needed(peer)
            link.leader_known = bool(heartbeat.led)
            self._compare_records(link, heartbeat.records_digest)

    def on_reports(self, peer: str, message: messages.Reports) -> None:
        """Store reports of the revision in force at hosts."""
        link = self.links.get(peer)
        from_control = self.control and link is not None and link.control
        for report in message.reports:
            is_new = self.reports.add(report, self.now_ms)
            if is_new and from_control:
                # Two control hosts that each consider the other the leader
                # would otherwise send a report back and forth.
                self.reports.pending.pop(report.host, None)

    def _compare_records(self, link: Link, digest: int) -> None:
        """Send a summary if records differ and none changed recently."""
        records = self.members.records
        stable = self.now_ms - records.last_change_ms >= RECORDS_STABLE_MS
        if digest == records.digest or not stable:
            link.mismatches = 0
            return
        link.mismatches += 1
        due = self.now_ms >= link.summary_ms + SUMMARY_INTERVAL_MS
        if link.mismatches < 2 or not due:
            return
        link.summary_ms = self.now_ms
        summary = records.summary(
            self.now_ms,
            recent_only=link.mismatches < 8,
            reply_wanted=True,
        )
        self._send(link.host, summary)

    def on_summary(self, peer: str, summary: messages.RecordsSummary) -> None:
        """Send the records a peer lacks and request those it has newer."""
        records = self.members.records
        newer = records.newer_than(
            summary.versions,
            self.now_ms,
            recent_only=not summary.whole,
        )
        size = memberships.RECORDS_PER_FRAME
        for start in range(0, len(newer), size):
            delta = messages.RecordsDelta(newer[start : start + size])
            self._send(peer, delta)
        if summary.reply_wanted and self._is_behind(summary):
            reply = records.summary(
                self.now_ms, recent_only=False, reply_wanted=False
            )
            self._send(peer, reply)

    def _is_behind(self, summary: messages.RecordsSummary) -> bool:
        unknown = (-1, -1, -1)
        for peer_version in summary.versions:
            own = self.members.records.get(peer_version.host)
            own_version = record_store.version_of(own) if own else unknown
            if (
                peer_version.incarnation,
                peer_version.sequence,
                peer_version.state,
            ) > own_version:
                return True
        return False

    def on_floor_query(self, peer: str, query: messages.FloorQuery) -> None:
        """Reply with a seed's own confirmation and query the leader."""
        if self.control or self._control_link():
            self.relay_nonce += 1
            self.floor_relays[self.relay_nonce] = messages.FloorQuery(
                nonce=query.nonce, host=peer
            )
            self.floor_relays.pop(self.relay_nonce - MAX_FLOOR_RELAYS, None)
            if self.control:
                self.pending_effects.append(
                    effects.AskFloor(self.relay_nonce, self.local_host)
                )
            else:
                forwarded = messages.FloorQuery(
                    self.relay_nonce, self.local_host
                )
                self._send(self._control_link(), forwarded)
        revision = self.config.confirmed_revision()
        if revision >= 0:
            self._send(
                peer,
                messages.FloorReply(
                    query.nonce, revision, False, self.local_host
                ),
            )

    def _control_link(self) -> str:
        for link in self.links.values():
            if link.control:
                return link.host
        return ""

    def on_floor_reply(self, reply: messages.FloorReply) -> None:
        """Use a floor reply for this process, or relay it."""
        if reply.nonce == self.config.floor_nonce:
            self.config.on_floor_reply(reply, self.now_ms)
        elif reply.certain:
            self._relay_floor(reply.nonce, reply.revision)

    def _relay_floor(self, nonce: int, revision: int) -> None:
        query = self.floor_relays.pop(nonce, None)
        if query is not None:
            self._send(
                query.host,
                messages.FloorReply(
                    query.nonce, revision, True, self.local_host
                ),
            )


@functools.singledispatch
def handle_message(message: typing.Any, node: Node, peer: str) -> None:
    """Handle a message between fleet cores; other types are ignored."""


@handle_message.register
def _(message: messages.Heartbeat, node: Node, peer: str) -> None:
    node.on_heartbeat(peer, message)


@handle_message.register
def _(message: messages.Reports, node: Node, peer: str) -> None:
    node.on_reports(peer, message)


@handle_message.register
def _(message: messages.ConfigDelta, node: Node, peer: str) -> None:
    node.config.on_delta(peer, message, node.now_ms)


@handle_message.register
def _(message: messages.ConfigPull, node: Node, peer: str) -> None:
    node.config.on_pull(peer, message)


@handle_message.register
def _(message: messages.HeldNotice, node: Node, peer: str) -> None:
    node.config.on_peer_revision(peer, message.revision, 0, node.now_ms)


@handle_message.register
def _(message: messages.RecordsDelta, node: Node, peer: str) -> None:
    updates = node.members.on_delta(message, node.now_ms)
    if updates:
        node._queue_updates(updates, peer)


@handle_message.register
def _(message: messages.RecordsSummary, node: Node, peer: str) -> None:
    node.on_summary(peer, message)


@handle_message.register
def _(message: messages.FloorQuery, node: Node, peer: str) -> None:
    node.on_floor_query(peer, message)


@handle_message.register
def _(message: messages.ControlHosts, node: Node, peer: str) -> None:
    node._update_controls(message, peer)


@handle_message.register
def _(message: messages.FloorReply, node: Node, peer: str) -> None:
    node.on_floor_reply(message)
