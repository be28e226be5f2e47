"""Announcements of targets to the proxy of their host, and their leases."""

import dataclasses
import json
import typing

from trefoil_model import errors
from trefoil_settings import schema
from trefoil_wire import messages

from . import sendable

MAX_SLOTS = 10_000
STATES = {
    "cold": messages.TargetState.COLD,
    "ready": messages.TargetState.READY,
    "draining": messages.TargetState.DRAINING,
}
MAX_TARGETS = 64
MAX_DEREGISTRATIONS = 256
MAX_FLOORS = 64
MAX_RESOURCES = 256
# As many resources as are allowed take a third of it.
MAX_ANNOUNCEMENT_BYTES = 64 * 1024
# A delayed announcement arrives within seconds.
MAX_ANNOUNCEMENT_DELAY_MS = 15_000
# Above the sequence of any announcement.
LAST_SEQUENCE = (1 << 63) - 1


@dataclasses.dataclass(slots=True)
class Announcement:
    """What a target announces about itself.

    Args:
        record: The part that is passed on to other hosts.
        port: Port on this host where the target accepts requests.
        incarnation: When the target started, Unix time in milliseconds; 0
            if not given.
        sequence: Increases with each announcement of an incarnation; 0 if
            not given.
        warmup_left_ms: How much longer it is cold; 0 if it is warm or the
            duration is unknown.
    """

    record: messages.TargetRecord
    port: int
    incarnation: int = 0
    sequence: int = 0
    warmup_left_ms: int = 0

    def __post_init__(self) -> None:
        self.record.started_ms = self.incarnation or None

    @property
    def order(self) -> tuple[int, int]:
        """Return a key that orders the announcements of a target."""
        return self.incarnation, self.sequence

    @property
    def floor(self) -> messages.AnnouncementFloor:
        """Return the floor below which others of the target are outdated."""
        return messages.AnnouncementFloor(
            self.record.name, self.incarnation, self.sequence
        )


def parse(name: str, body: bytes) -> Announcement:
    """Parse an announcement.

    Args:
        name: Name of the target.
        body: The announcement as JSON.

    Raises:
        ProtocolError: It is malformed; the reason lists every finding.
    """
    if len(body) > MAX_ANNOUNCEMENT_BYTES:
        raise errors.ProtocolError(400, "the announcement is too long")
    try:
        text = body.decode("utf-8")
        fields = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise errors.ProtocolError(400, f"not JSON: {error}")
    _check_numbers(fields)
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
    announcement = reader.parse(text, kind)
    if (
        announcement is not None
        and len(announcement.record.resources) > MAX_RESOURCES
    ):
        raise errors.ProtocolError(400, "too many resources")
    if reader.findings:
        raise errors.ProtocolError(400, str(reader.findings))
    sendable.checked_target(announcement.record)
    return announcement


def _check_numbers(fields: typing.Any) -> None:
    """Check that numbers are no text, which the schema would read alike.

    Raises:
        ProtocolError: One of them is.
    """
    if not isinstance(fields, dict):
        raise errors.ProtocolError(400, "expected a mapping")
    for name in ("slots", "port"):
        if isinstance(fields.get(name), str):
            raise errors.ProtocolError(400, f"{name} must be a number")


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
class Deregistration:
    """A target's notice that it leaves.

    Args:
        max_incarnation: The latest incarnation that it applies to.
        until_ms: When it expires, on the runtime's clock; 0 for never.
    """

    max_incarnation: int
    until_ms: int = 0


class Announcements:
    """The targets of this host and their leases.

    Args:
        lease_ms: How long an announcement is valid without a renewal.
    """

    __slots__ = (
        "lease_ms",
        "by_name",
        "until_ms",
        "deregistrations",
        "floors",
        "floor_until_ms",
    )

    def __init__(self, lease_ms: int) -> None:
        self.lease_ms = lease_ms
        self.deregistrations: dict[str, Deregistration] = {}
        self.by_name: dict[str, Announcement] = {}
        self.until_ms: dict[str, int] = {}
        self.floors: dict[str, messages.AnnouncementFloor] = {}
        self.floor_until_ms: dict[str, int] = {}

    def put(self, announcement: Announcement, now_ms: int) -> bool:
        """Store an announcement or renewal.

        Returns:
            Whether the target is new or its record or port has changed.

        Raises:
            ProtocolError: The host has too many targets.
        """
        name = announcement.record.name
        if name not in self.by_name and len(self.by_name) >= MAX_TARGETS:
            raise errors.ProtocolError(429, "too many targets on this host")
        if self.is_stale(announcement, now_ms):
            return False
        old = self.by_name.get(name)
        if announcement.record.state == messages.TargetState.DRAINING:
            if old is None or old.record.state != announcement.record.state:
                self._raise_floor(announcement.floor, now_ms)
        self.by_name[name] = announcement
        self.until_ms[name] = now_ms + self.lease_ms
        if old is None:
            return True
        return (old.record, old.port) != (
            announcement.record,
            announcement.port,
        )

    def is_stale(self, announcement: Announcement, now_ms: int) -> bool:
        """Return whether an announcement is outdated.

        A delayed announcement may arrive after its target has deregistered,
        or has crashed and another one uses its port. If it were accepted,
        requests would go to a target that is not there.
        """
        name = announcement.record.name
        if not announcement.incarnation:
            return False
        self._drop_old_floors(now_ms)
        floor = self.floors.get(name)
        if floor is not None and announcement.order < _order(floor):
            return True
        deregistration = self.deregistrations.get(name)
        if (
            deregistration is not None
            and announcement.incarnation <= deregistration.max_incarnation
        ):
            if not deregistration.until_ms or now_ms < deregistration.until_ms:
                return True
        return any(
            announcement.order < other.order
            for other in self.by_name.values()
            if other.record.name == name or other.port == announcement.port
        )

    def replaced_by(self, announcement: Announcement) -> list[str]:
        """Return the targets that an announcement replaces at its port."""
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
        """Record that a target leaves.

        A proxy that restarted while a target kept running may receive the
        deregistration before any announcement. The incarnation is then
        unknown, and a delayed announcement would register the target again
        after its deregistration was acknowledged: requests would go to a
        target that is leaving. So every incarnation that began before the
        deregistration counts as ended, but only for as long as such an
        announcement may be delayed: this host's time of day may be ahead of
        the start time that the next incarnation reports.

        Args:
            name: Its name.
            incarnation: The incarnation that ends; 0 for the known one.
            now_ms: The time on the runtime's clock.
            wall_ms: The time of day, Unix time in milliseconds.

        Returns:
            False if a later incarnation is known.
        """
        known = self.by_name.get(name)
        if known is not None and incarnation:
            if incarnation < known.incarnation:
                return False
        max_incarnation = incarnation or (known.incarnation if known else 0)
        if max_incarnation:
            deregistration = Deregistration(max_incarnation)
        else:
            deregistration = Deregistration(
                wall_ms, now_ms + MAX_ANNOUNCEMENT_DELAY_MS
            )
        earlier = self.deregistrations.get(name)
        if (
            earlier is None
            or earlier.until_ms
            or earlier.max_incarnation < max_incarnation
        ):
            self.deregistrations[name] = deregistration
        while len(self.deregistrations) > MAX_DEREGISTRATIONS:
            del self.deregistrations[next(iter(self.deregistrations))]
        ended = messages.AnnouncementFloor(
            name, deregistration.max_incarnation, LAST_SEQUENCE
        )
        self._raise_floor(ended, now_ms)
        return True

    def published_floors(
        self, now_ms: int
    ) -> list[messages.AnnouncementFloor]:
        """Return what a restart of this process must not forget, by name."""
        self._drop_old_floors(now_ms)
        return [self.floors[name] for name in sorted(self.floors)]

    def _drop_old_floors(self, now_ms: int) -> None:
        for name, until_ms in list(self.floor_until_ms.items()):
            if now_ms >= until_ms:
                del self.floors[name], self.floor_until_ms[name]

    def restore_floors(
        self, floors: list[messages.AnnouncementFloor], now_ms: int
    ) -> list[str]:
        """Add what this process published before it restarted.

        Returns:
            The targets that an outdated announcement has brought back.
        """
        for floor in floors:
            self._raise_floor(floor, now_ms)
        return [
            name
            for name, entry in self.by_name.items()
            if self.is_stale(entry, now_ms)
        ]

    def _raise_floor(
        self, floor: messages.AnnouncementFloor, now_ms: int
    ) -> None:
        known = self.floors.get(floor.name)
        if known is not None and _order(known) >= _order(floor):
            return
        self.floors[floor.name] = floor
        self.floor_until_ms[floor.name] = now_ms + MAX_ANNOUNCEMENT_DELAY_MS
        while len(self.floors) > MAX_FLOORS:
            oldest = next(iter(self.floors))
            del self.floors[oldest], self.floor_until_ms[oldest]

    def remove(self, name: str) -> bool:
        """Remove a target; return whether it was known."""
        self.until_ms.pop(name, None)
        return self.by_name.pop(name, None) is not None

    def expired(self, now_ms: int) -> list[str]:
        """Return the names of the targets whose lease has expired."""
        return [
            name
            for name, until_ms in self.until_ms.items()
            if now_ms >= until_ms
        ]

    def records(self) -> list[messages.TargetRecord]:
        """Return the records for other hosts, in order of name."""
        return [self.by_name[name].record for name in sorted(self.by_name)]

    def describe(
        self, count_running: typing.Callable[[str], int]
    ) -> list[typing.Any]:
        """Return the targets as rows for operators.

        Args:
            count_running: Returns how many requests a target is running.
        """
        names = {number: text for text, number in STATES.items()}
        return [
            {
                "name": name,
                "service": entry.record.service_name,
                "version": entry.record.version,
                "slots": entry.record.slots,
                "running": count_running(name),
                "state": names[entry.record.state],
            }
            for name, entry in sorted(self.by_name.items())
        ]


def _order(floor: messages.AnnouncementFloor) -> tuple[int, int]:
    return floor.incarnation, floor.sequence
