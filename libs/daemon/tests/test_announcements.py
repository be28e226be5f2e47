"""Announcements that are reordered, delayed or sent after a restart."""

import pytest

from trefoil_daemon import announcements
from trefoil_model import errors
from trefoil_wire import messages

LEASE_MS = 3000


def announcement(
    name: str, incarnation: int, sequence: int, port: int = 8080
) -> announcements.Announcement:
    """Return a target's announcement."""
    record = messages.TargetRecord(
        name, "tables", "v1", [], 4, messages.TargetState.READY
    )
    return announcements.Announcement(record, port, incarnation, sequence)


@pytest.mark.parametrize(
    ("late", "accepted"),
    [
        (announcement("a", 10, 5), True),
        (announcement("a", 10, 3), False),
        (announcement("a", 11, 1), True),
        (announcement("a", 9, 99), False),
        (announcement("b", 9, 1), False),
        (announcement("b", 9, 1, port=8081), True),
    ],
)
def test_a_stale_announcement_is_dropped(
    late: announcements.Announcement, accepted: bool
) -> None:
    """An announcement is delayed while its target goes on or is replaced.

    If it were accepted, requests for a crashed target would be sent to a
    port that another target uses by then.
    """
    registry = announcements.Announcements(LEASE_MS)
    registry.put(announcement("a", 10, 4), 0)
    registry.put(late, 2000)
    name = late.record.name
    assert (registry.until_ms.get(name) == 2000 + LEASE_MS) is accepted


def test_an_announcement_sent_before_deregistration_is_dropped() -> None:
    """A target deregisters; its last renewal arrives after that."""
    registry = announcements.Announcements(LEASE_MS)
    registry.put(announcement("a", 10, 4), 0)
    assert registry.deregister("a", 0, 50, 20)
    registry.remove("a")
    registry.put(announcement("a", 10, 5), 100)
    assert registry.by_name == {}
    registry.put(announcement("a", 11, 1), 200)
    assert list(registry.by_name) == ["a"]


def test_deregistration_of_an_unknown_target_is_recorded() -> None:
    """A proxy restarts while a target runs that then deregisters.

    The proxy acknowledges the deregistration before it knows the target; two
    seconds later an earlier announcement arrives. If it were accepted, the
    leaving target would get requests again.
    """
    registry = announcements.Announcements(LEASE_MS)
    assert registry.deregister("a", 0, now_ms=100, wall_ms=5000)
    registry.put(announcement("a", 4000, 9), 2300)
    assert registry.by_name == {}


def test_a_target_can_return_after_its_deregistration() -> None:
    """A target returns under its name; its clock may be behind."""
    registry = announcements.Announcements(LEASE_MS)
    registry.deregister("a", 0, now_ms=100, wall_ms=5000)
    registry.put(announcement("a", 5001, 1), 2300)
    assert list(registry.by_name) == ["a"]
    registry.deregister("b", 0, now_ms=100, wall_ms=5000)
    registry.put(announcement("b", 4900, 1, port=8081), 2300)
    assert list(registry.by_name) == ["a"]
    later_ms = 100 + announcements.MAX_ANNOUNCEMENT_DELAY_MS
    registry.put(announcement("b", 4900, 8, port=8081), later_ms)
    assert list(registry.by_name) == ["a", "b"]


def test_a_late_deregistration_does_not_end_the_next_incarnation() -> None:
    registry = announcements.Announcements(LEASE_MS)
    registry.put(announcement("a", 11, 1), 0)
    assert not registry.deregister("a", 10, 0, 20)
    assert registry.deregister("a", 11, 0, 20)


def test_a_target_that_started_later_replaces_one_at_its_port() -> None:
    registry = announcements.Announcements(LEASE_MS)
    registry.put(announcement("a", 10, 4), 0)
    assert registry.replaced_by(announcement("b", 12, 1)) == ["a"]
    assert registry.replaced_by(announcement("b", 9, 1)) == []


@pytest.mark.parametrize(
    "fields",
    [
        '"slots": 2, "port": "80"',
        '"slots": "2", "port": 80',
        '"slots": 2, "port": 65536',
        '"slots": 2, "port": 0',
        '"slots": 2, "port": ' + "9" * 5000,
        '"slots": 2, "port": ' + "[" * 900 + "]" * 900,
        '"slots": 2, "port": ' + "[" * 100_000,
        '"slots": 1e300, "port": 80',
        '"slots": 2, "port": 80' + " " * 70_000,
    ],
    ids=lambda fields: fields[:26],
)
def test_an_odd_announcement_is_refused(fields: str) -> None:
    """A port in text was taken, as if another writer's entry were sound."""
    body = '{"service": "tables", "version": "v1", %s}' % fields
    with pytest.raises(errors.ProtocolError) as raised:
        announcements.parse("t1", body.encode())
    assert raised.value.status == 400


def test_an_announcement_that_is_no_mapping_is_refused() -> None:
    with pytest.raises(errors.ProtocolError):
        announcements.parse("t1", b"[]")
