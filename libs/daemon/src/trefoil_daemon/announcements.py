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
MAX_RESOURCES = 256


@dataclasses.dataclass(slots=True)
class Announcement:
    """A target's word about itself.

    Args:
        record: What other hosts learn.
        port: Where the target takes requests on this host.
    """

    record: messages.TargetRecord
    port: int


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


class Announcements:
    """The targets of this host and their leases.

    Args:
        lease_ms: How long an announcement counts without a renewal.
    """

    __slots__ = ("lease_ms", "by_name", "until_ms")

    def __init__(self, lease_ms: int) -> None:
        self.lease_ms = lease_ms
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
        old = self.by_name.get(name)
        self.by_name[name] = announcement
        self.until_ms[name] = now_ms + self.lease_ms
        return old is None or old != announcement

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
