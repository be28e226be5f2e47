"""Streams that stay open until their peer has received what was written.

The kernel resets a connection that is closed while received bytes are unread,
or to which bytes come after the close. The reset discards what the kernel has
accepted and not delivered: the last answers to a peer that sends ahead. A
stream therefore closes its own side first, discards what still comes, and is
closed when its peer has closed.
"""

import dataclasses
import typing

# How long a peer that has received everything may take to close its side.
PEER_CLOSE_MS = 1000
# How long a peer may take to acknowledge further bytes.
STALLED_MS = 2000


class Stream(typing.Protocol):
    """What is needed of a stream whose own side is closed."""

    @property
    def unacknowledged(self) -> int:
        """Return the bytes that the peer has not acknowledged."""

    def close(self) -> None:
        """Close immediately."""


@dataclasses.dataclass(slots=True)
class Delivery:
    """How much of what was written has been received.

    Args:
        unacknowledged: Bytes that the peer had not acknowledged last time.
        progress_ms: When that number last changed.
    """

    unacknowledged: int
    progress_ms: int

    def has_ended(self, unacknowledged: int, now_ms: int) -> bool:
        """Return whether waiting longer for the peer is of no use.

        Args:
            unacknowledged: Bytes that the peer has not acknowledged.
            now_ms: The time on the runtime's clock.
        """
        if unacknowledged != self.unacknowledged:
            self.unacknowledged = unacknowledged
            self.progress_ms = now_ms
        limit_ms = STALLED_MS if unacknowledged else PEER_CLOSE_MS
        return now_ms - self.progress_ms >= limit_ms


class LingeringStreams:
    """The streams of a process whose own side is closed."""

    __slots__ = ("added", "deliveries")

    def __init__(self) -> None:
        self.added: list[Stream] = []
        self.deliveries: dict[Stream, Delivery] = {}

    def add(self, stream: Stream) -> None:
        """Add a stream; its time starts at the next ``tick``."""
        self.added.append(stream)

    def discard(self, stream: Stream) -> None:
        """Forget a stream that was closed."""
        self.deliveries.pop(stream, None)
        if stream in self.added:
            self.added.remove(stream)

    def tick(self, now_ms: int) -> None:
        """Close the streams that are waited for no longer."""
        for stream in self.added:
            delivery = Delivery(stream.unacknowledged, now_ms)
            self.deliveries[stream] = delivery
        self.added = []
        for stream, delivery in list(self.deliveries.items()):
            if delivery.has_ended(stream.unacknowledged, now_ms):
                stream.close()
