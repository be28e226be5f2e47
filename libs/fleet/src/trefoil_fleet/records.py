"""Records of hosts, ordered by incarnation and sequence.

Only the host itself publishes new versions of its record. Other hosts may
only change its state from alive to suspect or dead.
"""

import collections.abc

from trefoil_model import hashing
from trefoil_wire import messages

SUSPECT_TIMEOUT_MS = 3000
ABSENT_RETENTION_MS = 60_000
RECENT_CHANGE_MS = 30_000

State = messages.HostState
ABSENT_STATES = (State.LEFT, State.DEAD)


def version_of(record: messages.HostRecord) -> tuple[int, int, int]:
    """Return the sort key of a host's records; the greatest one wins.

    At equal incarnation and sequence the worse state wins, so a suspicion
    remains until the host itself refutes it with a higher sequence.
    """
    return record.incarnation, record.sequence, record.state


def hash_of(record: messages.HostRecord) -> int:
    """Return a record's part of the digest, 0 for a host that left or died.

    Suspicion is not part of it: it lasts seconds and then ends by itself.
    """
    if record.state in ABSENT_STATES:
        return 0
    text = f"{record.host}\0{record.incarnation}\0{record.sequence}"
    return hashing.hash64(text.encode())


def with_state(record: messages.HostRecord, state: int) -> messages.HostRecord:
    """Return a copy of a record in another state."""
    return messages.HostRecord(
        host=record.host,
        domain=record.domain,
        region=record.region,
        address=record.address,
        incarnation=record.incarnation,
        sequence=record.sequence,
        state=state,
        targets=record.targets,
        announcement_floors=record.announcement_floors,
    )


class Records:
    """The records of all hosts known to this process."""

    __slots__ = ("by_host", "digest", "changed_ms", "last_change_ms")

    def __init__(self) -> None:
        self.by_host: dict[str, messages.HostRecord] = {}
        self.changed_ms: dict[str, int] = {}
        self.digest = 0
        self.last_change_ms = 0

    def put(self, record: messages.HostRecord, now_ms: int) -> bool:
        """Store a record if it is newer; return whether it was."""
        old = self.by_host.get(record.host)
        if old is not None:
            if version_of(old) >= version_of(record):
                return False
            self.digest ^= hash_of(old)
        self.by_host[record.host] = record
        self.digest ^= hash_of(record)
        self.changed_ms[record.host] = now_ms
        self.last_change_ms = now_ms
        return True

    def get(self, host: str) -> messages.HostRecord | None:
        """Return a host's record, None if the host is unknown."""
        return self.by_host.get(host)

    def present(self) -> list[messages.HostRecord]:
        """Return the records of hosts that neither left nor died."""
        return [
            r for r in self.by_host.values() if r.state not in ABSENT_STATES
        ]

    def mark(
        self, host: str, state: int, now_ms: int
    ) -> messages.HostRecord | None:
        """Store and return a host's record with a worse state.

        Returns:
            None if the host is unknown or its state is already as bad.
        """
        old = self.by_host.get(host)
        if old is None or old.state >= state:
            return None
        marked = with_state(old, state)
        self.put(marked, now_ms)
        return marked

    def expire(self, now_ms: int) -> list[str]:
        """Declare suspected hosts dead and remove old records.

        A host is dead after ``SUSPECT_TIMEOUT_MS`` of suspicion. The record
        of one that left or died is removed after ``ABSENT_RETENTION_MS``.

        Returns:
            The hosts whose state changed.
        """
        changed = []
        for host, record in list(self.by_host.items()):
            age_ms = now_ms - self.changed_ms[host]
            if record.state == State.SUSPECT and age_ms >= SUSPECT_TIMEOUT_MS:
                self.mark(host, State.DEAD, now_ms)
                changed.append(host)
            elif (
                record.state in ABSENT_STATES and age_ms >= ABSENT_RETENTION_MS
            ):
                del self.by_host[host]
                del self.changed_ms[host]
        return changed

    def summary(
        self, now_ms: int, *, recent_only: bool, reply_wanted: bool
    ) -> messages.RecordsSummary:
        """Return the versions of all records or of recently changed ones."""
        return messages.RecordsSummary(
            versions=[
                messages.RecordVersion(
                    r.host, r.incarnation, r.sequence, r.state
                )
                for r in self._selected(now_ms, recent_only)
            ],
            reply_wanted=reply_wanted,
            whole=not recent_only,
        )

    def newer_than(
        self,
        versions: collections.abc.Iterable[messages.RecordVersion],
        now_ms: int,
        *,
        recent_only: bool,
    ) -> list[messages.HostRecord]:
        """Return the records that a summary lacks or has in older versions."""
        peer_versions = {
            v.host: (v.incarnation, v.sequence, v.state) for v in versions
        }
        unknown = (-1, -1, -1)
        newer = [
            self.by_host[host]
            for host, version in peer_versions.items()
            if host in self.by_host
            and version_of(self.by_host[host]) > version
        ]
        newer.extend(
            record
            for record in self._selected(now_ms, recent_only)
            if peer_versions.get(record.host, unknown) == unknown
        )
        return newer

    def _selected(
        self, now_ms: int, recent_only: bool
    ) -> list[messages.HostRecord]:
        if not recent_only:
            return list(self.by_host.values())
        since = now_ms - RECENT_CHANGE_MS
        return [
            record
            for host, record in self.by_host.items()
            if self.changed_ms[host] >= since
        ]
