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
    assert made.take_farewell("a", 0)
    made.remove("a")
    made.put(announcement("a", 10, 5), 100)
    assert made.by_name == {}
    made.put(announcement("a", 11, 1), 200)
    assert list(made.by_name) == ["a"]


def test_a_late_farewell_does_not_end_the_next_life() -> None:
    made = announcements.Announcements(LEASE_MS)
    made.put(announcement("a", 11, 1), 0)
    assert not made.take_farewell("a", 10)
    assert made.take_farewell("a", 11)


def test_one_that_started_later_takes_the_port() -> None:
    made = announcements.Announcements(LEASE_MS)
    made.put(announcement("a", 10, 4), 0)
    assert made.replaced_by(announcement("b", 12, 1)) == ["a"]
    assert made.replaced_by(announcement("b", 9, 1)) == []
