"""Targets' announcements at their own proxy: leases, drains, leaving."""

import dataclasses
import json
import typing

from trefoil_model import errors
from trefoil_settings import schema
from trefoil_wire import messages

MAX_SLOTS = 10_000
STATES = {
    "cold": messages.TargetState.COLD,
    "ready": messages.TargetState.READY,
    "draining": messages.TargetState.DRAINING,
}
MAX_TARGETS = 64
MAX_FAREWELLS = 256
MAX_RESOURCES = 256
# An announcement that was held up on its way comes within seconds.
MAX_ANNOUNCEMENT_DELAY_MS = 15_000


@dataclasses.dataclass(slots=True)
class Announcement:
    """A target's word about itself.

    Args:
        record: What other hosts learn.
        port: Where the target takes requests on this host.
        incarnation: When the target started, Unix time in milliseconds; 0
            if it does not say.
        sequence: Grows with each of its announcements; 0 if not told.
        warmup_left_ms: How much longer it is cold; 0 if it is warm, or if
            it only tells that it is cold.
    """

    record: messages.TargetRecord
    port: int
    incarnation: int = 0
    sequence: int = 0
    warmup_left_ms: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Return what tells a later announcement from an earlier one."""
        return self.incarnation, self.sequence


def parse(name: str, body: bytes) -> Announcement:
    """Read an announcement.

    Raises:
        ProtocolError: It is malformed; the reason lists every finding.
    """
    try:
        text = body.decode("utf-8")
        json.loads(text)
    except (ValueError, RecursionError) as error:
        raise errors.ProtocolError(400, f"not JSON: {error}")
    reader = schema.Reader("announcement")
    kind = schema.Record(
        (
            ("service", schema.Field(schema.Name(), required=True)),
            ("version", schema.Field(schema.Name(), required=True)),
            (
                "resources",
                schema.Field(schema.ListOf(schema.Name()), default=[]),
            ),
            (
                "slots",
                schema.Field(schema.Number(1, MAX_SLOTS), required=True),
            ),
            ("port", schema.Field(schema.Number(1, 65535), required=True)),
            (
                "state",
                schema.Field(schema.Text(tuple(STATES)), default="ready"),
            ),
        ),
        lambda **values: _make(name, **values),
    )
    made = reader.parse(text, kind)
    if made is not None and len(made.record.resources) > MAX_RESOURCES:
        raise errors.ProtocolError(400, "too many resources")
    if reader.findings:
        raise errors.ProtocolError(400, str(reader.findings))
    return made


def _make(
    name: str,
    service: str,
    version: str,
    resources: list[str],
    slots: int,
    port: int,
    state: str,
) -> Announcement:
    record = messages.TargetRecord(
        name=name,
        service_name=service,
        version=version,
        resources=sorted(resources),
        slots=slots,
        state=STATES[state],
    )
    return Announcement(record, port)


@dataclasses.dataclass(slots=True)
class Farewell:
    """A target's word that a life of it ends.

    Args:
        ended: Incarnation of the last life that it ends.
        until_ms: How long it counts, on the runtime's clock; 0 for ever.
    """

    ended: int
    until_ms: int = 0


class Announcements:
    """The targets of this host and their leases.

    Args:
        lease_ms: How long an announcement counts without a renewal.
    """

    __slots__ = ("lease_ms", "by_name", "until_ms", "farewells")

    def __init__(self, lease_ms: int) -> None:
        self.lease_ms = lease_ms
        self.farewells: dict[str, Farewell] = {}
        self.by_name: dict[str, Announcement] = {}
        self.until_ms: dict[str, int] = {}

    def put(self, announcement: Announcement, now_ms: int) -> bool:
        """Take an announcement or renewal; return whether it is news.

        Raises:
            ProtocolError: The host has too many targets.
        """
        name = announcement.record.name
        if name not in self.by_name and len(self.by_name) >= MAX_TARGETS:
            raise errors.ProtocolError(429, "too many targets on this host")
        if self.is_stale(announcement, now_ms):
            return False
        old = self.by_name.get(name)
        self.by_name[name] = announcement
        self.until_ms[name] = now_ms + self.lease_ms
        if old is None:
            return True
        return (old.record, old.port) != (
            announcement.record,
            announcement.port,
        )

    def is_stale(self, announcement: Announcement, now_ms: int) -> bool:
        """Tell whether an announcement was overtaken on its way.

        A word that was held up may arrive after its sender has said
        farewell, or crashed and made room for another at its address. Taken
        at its word, it would lead requests to a target that is not there.
        """
        name = announcement.record.name
        if not announcement.incarnation:
            return False
        farewell = self.farewells.get(name)
        if farewell is not None and announcement.incarnation <= farewell.ended:
            if not farewell.until_ms or now_ms < farewell.until_ms:
                return True
        return any(
            announcement.order < other.order
            for other in self.by_name.values()
            if other.record.name == name or other.port == announcement.port
        )

    def replaced_by(self, announcement: Announcement) -> list[str]:
        """Return earlier targets at the port of one that started later."""
        return [
            name
            for name, other in self.by_name.items()
            if name != announcement.record.name
            and other.port == announcement.port
            and other.incarnation < announcement.incarnation
        ]

    def deregister(
        self, name: str, incarnation: int, now_ms: int, wall_ms: int
    ) -> bool:
        """Note that a target leaves for good; False if it is too late.

        A proxy that restarted beside a target may hear its farewell before
        any announcement. Which life ends is then not known, and an
        announcement that was held up would bring the target back after its
        farewell was acknowledged: its callers' requests go to a target that
        is leaving. All lives that began before the farewell count as ended,
        for as long as such an announcement may be on its way; not longer,
        since the time of day may be ahead of the next life's start.

        Args:
            name: Its name.
            incarnation: The life that ends; 0 for the one that is known.
            now_ms: The time on the runtime's clock.
            wall_ms: The time of day, Unix time in milliseconds.
        """
        known = self.by_name.get(name)
        if known is not None and incarnation:
            if incarnation < known.incarnation:
                return False
        ended = incarnation or (known.incarnation if known else 0)
        if ended:
            farewell = Farewell(ended)
        else:
            farewell = Farewell(wall_ms, now_ms + MAX_ANNOUNCEMENT_DELAY_MS)
        earlier = self.farewells.get(name)
        if earlier is None or earlier.until_ms or earlier.ended < ended:
            self.farewells[name] = farewell
        while len(self.farewells) > MAX_FAREWELLS:
            del self.farewells[next(iter(self.farewells))]
        return True

    def remove(self, name: str) -> bool:
        """Drop a target that leaves; return whether it was here."""
        self.until_ms.pop(name, None)
        return self.by_name.pop(name, None) is not None

    def expired(self, now_ms: int) -> list[str]:
        """Return the targets whose lease ran out."""
        return [
            name
            for name, until_ms in self.until_ms.items()
            if now_ms >= until_ms
        ]

    def records(self) -> list[messages.TargetRecord]:
        """Return what other hosts learn, in order of name."""
        return [self.by_name[name].record for name in sorted(self.by_name)]

    def describe(self, busy: typing.Callable[[str], int]) -> list[typing.Any]:
        """Return the targets for people."""
        names = {number: text for text, number in STATES.items()}
        return [
            {
                "name": name,
                "service": entry.record.service_name,
                "version": entry.record.version,
                "slots": entry.record.slots,
                "running": busy(name),
                "state": names[entry.record.state],
            }
            for name, entry in sorted(self.by_name.items())
        ]
