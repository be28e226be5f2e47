"""Tests of what waits to be written."""

import hypothesis
from hypothesis import strategies

from trefoil_daemon import _write_queue

LONG = 2 * _write_queue.MAX_JOINED_BYTES


@hypothesis.given(
    strategies.lists(strategies.binary(min_size=1, max_size=50)),
    strategies.lists(strategies.integers(1, 60)),
)
def test_bytes_leave_in_the_order_in_which_they_came(
    data: list[bytes], sizes: list[int]
) -> None:
    """Whatever part of the first piece is written each time."""
    queue = _write_queue.WriteQueue()
    for number, piece in enumerate(data):
        # Every third one is too long to be joined with others.
        queue.append(piece if number % 3 else piece * LONG)
    expected = b"".join(
        piece if number % 3 else piece * LONG
        for number, piece in enumerate(data)
    )
    written = b""
    while queue.size:
        assert queue.size == len(expected) - len(written)
        piece = bytes(queue.first())
        count = min(sizes.pop() if sizes else len(piece), len(piece))
        written += piece[:count]
        queue.remove(count)
    assert written == expected


def test_a_long_body_is_not_copied() -> None:
    """A copy of each body that waits took as much memory again."""
    body = bytes(LONG)
    queue = _write_queue.WriteQueue()
    queue.append(b"head")
    queue.append(body)
    queue.remove(4)
    assert queue.first().obj is body
    queue.remove(10)
    assert queue.first().obj is body


def test_short_pieces_are_written_together() -> None:
    """A write for each message took the loop as long as the messages."""
    queue = _write_queue.WriteQueue()
    for _ in range(100):
        queue.append(b"frame")
    assert bytes(queue.first()) == b"frame" * 100
