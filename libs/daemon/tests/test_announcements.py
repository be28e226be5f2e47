"""Announcements that cross, come late or follow a restart."""

import pytest

from trefoil_daemon import announcements
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
    ("late", "taken"),
    [
        (announcement("a", 10, 5), True),
        (announcement("a", 10, 3), False),
        (announcement("a", 11, 1), True),
        (announcement("a", 9, 99), False),
        (announcement("b", 9, 1), False),
        (announcement("b", 9, 1, port=8081), True),
    ],
)
def test_a_late_word_is_dropped(
    late: announcements.Announcement, taken: bool
) -> None:
    """A word was held up while its target went on or made room.

    Taken at its word, a crashed target would get requests again, at an
    address where another one runs by now.
    """
    made = announcements.Announcements(LEASE_MS)
    made.put(announcement("a", 10, 4), 0)
    made.put(late, 2000)
    name = late.record.name
    assert (made.until_ms.get(name) == 2000 + LEASE_MS) is taken


def test_a_word_from_before_the_farewell_is_dropped() -> None:
    """A target says farewell; its last renewal arrives after that."""
    made = announcements.Announcements(LEASE_MS)
    made.put(announcement("a", 10, 4), 0)
    assert made.deregister("a", 0, 50, 20)
    made.remove("a")
    made.put(announcement("a", 10, 5), 100)
    assert made.by_name == {}
    made.put(announcement("a", 11, 1), 200)
    assert list(made.by_name) == ["a"]


def test_a_farewell_binds_a_proxy_that_did_not_know_the_target() -> None:
    """A proxy restarts beside a target that then says farewell.

    It hears the farewell first and acknowledges it; two seconds later an
    announcement from before arrives. Taken at its word, the target that
    leaves would get its callers' requests again.
    """
    made = announcements.Announcements(LEASE_MS)
    assert made.deregister("a", 0, now_ms=100, wall_ms=5000)
    made.put(announcement("a", 4000, 9), 2300)
    assert made.by_name == {}


def test_a_farewell_leaves_room_for_the_next_life() -> None:
    """A target comes back under its name, by a clock that is behind."""
    made = announcements.Announcements(LEASE_MS)
    made.deregister("a", 0, now_ms=100, wall_ms=5000)
    made.put(announcement("a", 5001, 1), 2300)
    assert list(made.by_name) == ["a"]
    made.deregister("b", 0, now_ms=100, wall_ms=5000)
    made.put(announcement("b", 4900, 1, port=8081), 2300)
    assert list(made.by_name) == ["a"]
    later_ms = 100 + announcements.MAX_ANNOUNCEMENT_DELAY_MS
    made.put(announcement("b", 4900, 8, port=8081), later_ms)
    assert list(made.by_name) == ["a", "b"]


def test_a_late_farewell_does_not_end_the_next_life() -> None:
    made = announcements.Announcements(LEASE_MS)
    made.put(announcement("a", 11, 1), 0)
    assert not made.deregister("a", 10, 0, 20)
    assert made.deregister("a", 11, 0, 20)


def test_one_that_started_later_takes_the_port() -> None:
    made = announcements.Announcements(LEASE_MS)
    made.put(announcement("a", 10, 4), 0)
    assert made.replaced_by(announcement("b", 12, 1)) == ["a"]
    assert made.replaced_by(announcement("b", 9, 1)) == []
