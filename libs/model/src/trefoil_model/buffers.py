"""Buffers for bodies that arrive piece by piece."""

import io

# Shorter bodies are copied faster than they are announced.
MIN_LENGTH = 64 * 1024


def for_length(length: int) -> io.BytesIO:
    """Return an empty buffer for a body.

    The buffer of a long body has its length from the start: one that grows
    moves each time, and the gaps that it leaves take as much memory as the
    bodies. The system provides its pages when they are written.

    Args:
        length: Length of the body in bytes, or less if it is not known.
    """
    if length < MIN_LENGTH:
        return io.BytesIO()
    # Nobody else refers to these bytes, so they are written in place.
    return io.BytesIO(bytes(length))
