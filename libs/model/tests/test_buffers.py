"""Tests of buffers for bodies."""

import tracemalloc

import pytest

from trefoil_model import buffers

LENGTH = 8 * buffers.MIN_LENGTH


@pytest.mark.parametrize("length", [-1, 0, 10, LENGTH])
def test_a_buffer_holds_what_is_written(length: int) -> None:
    buffer = buffers.for_length(length)
    assert buffer.tell() == 0
    body = bytes(range(256)) * (max(length, 0) // 256)
    for start in range(0, len(body), 1000):
        buffer.write(body[start : start + 1000])
    assert buffer.getvalue() == body


def test_a_body_is_held_once() -> None:
    """A copy of each body took as much memory again."""
    piece = bytes(buffers.MIN_LENGTH)
    tracemalloc.start()
    buffer = buffers.for_length(LENGTH)
    for _ in range(LENGTH // len(piece)):
        buffer.write(piece)
    body = buffer.getvalue()
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert len(body) == LENGTH
    assert peak < 1.1 * LENGTH
