"""Flow control of large request bodies on the link of one host.

Uploads of tens of kilobytes share the narrow link of a host with calls of some
hundred bytes to the same target. If bodies were sent with their requests, a
few of them would fill the link for a second, and the small calls of all other
proxies would wait behind them. A body therefore stays with its sender until
its request has been accepted. Bodies are transferred one after the other in
chunks, and only a few chunks are in flight at a time, which bounds the wait
of a small call.
"""

import collections
import dataclasses
import io
import statistics

from trefoil_model import buffers
from trefoil_wire import messages

# Bodies from this size on wait at their senders. Smaller ones take one packet
# or a few, and requesting them would take as long as sending them.
LARGE_BYTES = 16 * 1024
# On a narrow link, bodies wait at their senders if sending them takes longer
# than this, about a round trip within a region.
ROUND_TRIP_MS = 4
MIN_LARGE_BYTES = 1024
BYTES_PER_MS_PER_MBIT = 125
# A chunk takes 12 ms on a link of 5.5 Mbit/s; two of them keep the link busy
# while the next one is requested.
CHUNK_BYTES = 8 * 1024
CHUNKS_AHEAD = 2
# Assumed rate of a link before the first body: 80 Mbit/s.
INITIAL_BYTES_PER_MS = 10_000.0
# Other traffic on the link is detected after four bodies. A slow sender among
# faster ones is an outlier and does not lower the rate.
RATE_SAMPLES = 7
OUTLIERS_PER_END = 2
# Enough for about ten bodies on a link of 5.5 Mbit/s.
UTILIZATION_WINDOW_MS = 1000
MIN_FREE_SHARE = 0.001
# A sender that is partitioned or suspended must not block the others.
STALL_TIMEOUT_MS = 300
# A sender that takes this many times the expected time leaves half of the link
# unused.
SLOW_FACTOR = 2.0
MIN_SLOW_MS = 30
# A small call waits for one chunk of each active body and one more.
MAX_ACTIVE_BODIES = 3


def large_from(link_mbps: float) -> int:
    """Return the size from which on bodies are sent only on request.

    In an overload a request is refused by several full targets. Its body would
    pass the sender's link for each of them.

    Args:
        link_mbps: Rate of the sender's link in Mbit/s, 0 if unknown.
    """
    if not link_mbps:
        return LARGE_BYTES
    sent_bytes = int(link_mbps * BYTES_PER_MS_PER_MBIT * ROUND_TRIP_MS)
    return min(max(sent_bytes, MIN_LARGE_BYTES), LARGE_BYTES)


@dataclasses.dataclass(slots=True, eq=False)
class IncomingBody:
    """A body that is received in chunks.

    Args:
        request_id: Id of its request.
        origin: The sender, which its chunks are requested from.
        size: Total length in bytes.
        due_ms: When it must be complete for its answer to be in time.
        content: The bytes received so far, None before the first.
        requested: Number of bytes requested so far.
        start_bytes: Number of bytes received before its turn started.
        turn_started_ms: When its turn started.
        last_progress_ms: When its turn started or its last chunk arrived.
        slow: Whether its sender is too slow to fill the link.
        stalled: Whether its sender stopped sending.
    """

    request_id: int
    origin: str
    size: int
    due_ms: float
    content: io.BytesIO | None = None
    requested: int = 0
    start_bytes: int = 0
    turn_started_ms: int = 0
    last_progress_ms: int = 0
    slow: bool = False
    stalled: bool = False

    @property
    def received(self) -> int:
        """Return the number of bytes received so far."""
        return self.content.tell() if self.content is not None else 0

    def add(self, data: bytes) -> None:
        """Add received bytes."""
        if self.content is None:
            self.content = buffers.for_length(self.size)
        self.content.write(data)

    @property
    def remaining_bytes(self) -> int:
        """Return the number of bytes not yet received."""
        return self.size - self.received

    def begin(self, now_ms: int) -> None:
        """Start its turn on the link."""
        self.start_bytes = self.received
        self.turn_started_ms = now_ms
        self.last_progress_ms = now_ms
        self.slow = False

    def rank(
        self, now_ms: int, bytes_per_ms: float
    ) -> tuple[bool, bool, float]:
        """Return its sort key; the smallest is transferred first.

        Bodies too late for an answer in time come after the others, which
        they would make late too.
        """
        return self.stalled, self.is_late(now_ms, bytes_per_ms), self.due_ms

    def is_late(self, now_ms: int, bytes_per_ms: float) -> bool:
        """Return whether it would be late even if it were transferred now."""
        return now_ms + self.remaining_bytes / bytes_per_ms > self.due_ms


@dataclasses.dataclass(slots=True, frozen=True)
class BodyEstimate:
    """Timing of a request if its body were requested now.

    Args:
        body_ms: Time until its body is complete if it comes after the bodies
            that can be in time.
        deferred_ms: Time until its body is complete if it comes after all
            other bodies, including those that arrive meanwhile.
        slot_ms: Time until a slot is free for it.
        run_ms: Mean run time of such requests.
        safe_run_ms: Time within which most such requests end.
        latency_target_ms: Time left until its latency target.
        deadline_ms: Time left until its deadline.
    """

    body_ms: float
    deferred_ms: float
    slot_ms: float
    run_ms: float
    safe_run_ms: float
    latency_target_ms: float
    deadline_ms: float

    @property
    def starts_at_once(self) -> bool:
        """Return whether a slot is free and a mean run meets the target."""
        ends_ms = self.body_ms + self.run_ms
        return not self.slot_ms and ends_ms <= self.latency_target_ms

    @property
    def meets_latency_target(self) -> bool:
        """Return whether most such requests would meet their target."""
        starts_ms = max(self.body_ms, self.slot_ms)
        return starts_ms + self.safe_run_ms <= self.latency_target_ms

    @property
    def meets_deadline(self) -> bool:
        """Return whether it is answered before its deadline, even if late."""
        starts_ms = max(self.deferred_ms, self.slot_ms)
        return starts_ms + self.run_ms <= self.deadline_ms


@dataclasses.dataclass(slots=True)
class ChunkRequest:
    """Request a chunk of a body from its sender."""

    origin: str
    pull: messages.BodyPull


class LinkRate:
    """Transfer rate of the latest bodies on a link.

    Each sample starts when the link was last idle or a body was completed, so
    bodies that are transferred in parallel count together.
    """

    __slots__ = ("samples", "received_bytes", "since_ms")

    def __init__(self) -> None:
        self.samples: collections.deque[float] = collections.deque(
            maxlen=RATE_SAMPLES
        )
        self.received_bytes = 0
        self.since_ms = 0

    def begin(self, now_ms: int) -> None:
        """Start a new sample."""
        self.received_bytes = 0
        self.since_ms = now_ms

    def finish_sample(self, now_ms: int) -> float:
        """Finish a sample; return the mean rate in bytes per millisecond.

        The slowest and the fastest samples are excluded as outliers.
        """
        self.samples.append(
            self.received_bytes / max(now_ms - self.since_ms, 1)
        )
        self.begin(now_ms)
        typical = sorted(self.samples)[OUTLIERS_PER_END:-OUTLIERS_PER_END]
        return statistics.fmean(typical or self.samples)


class IncomingBodies:
    """The large bodies that one host receives.

    The body that is due first is transferred alone. While its sender is too
    slow to fill the link, others are transferred in parallel.
    """

    __slots__ = (
        "waiting",
        "active",
        "bytes_per_ms",
        "link_rate",
        "utilization",
        "utilization_updated_ms",
        "pending_effects",
    )

    def __init__(self) -> None:
        self.bytes_per_ms = INITIAL_BYTES_PER_MS
        self.link_rate = LinkRate()
        self.utilization = 0.0
        self.utilization_updated_ms = 0
        self.waiting: dict[int, IncomingBody] = {}
        self.active: list[IncomingBody] = []
        self.pending_effects: list[ChunkRequest] = []

    def add(
        self,
        request_id: int,
        origin: str,
        size: int,
        due_ms: float,
        now_ms: int,
    ) -> list[ChunkRequest]:
        """Add a body; it is transferred after those that are due sooner.

        Args:
            request_id: Id of its request.
            origin: The sender, which its chunks are requested from.
            size: Total length in bytes.
            due_ms: When it must be complete for its answer to be in time.
            now_ms: The time on the runtime's clock.
        """
        body = IncomingBody(request_id, origin, size, due_ms)
        self.waiting[request_id] = body
        self._request_chunks(now_ms)
        return self._flush()

    def expected_ms(self, now_ms: int, size: int = 0) -> int:
        """Return the expected time until a body requested now is complete.

        Args:
            now_ms: The time on the runtime's clock.
            size: Its length in bytes; 0 gives the wait before its turn.
        """
        ahead = sum(
            body.remaining_bytes
            for body in self.waiting.values()
            if body in self.active or not self._is_late(body, now_ms)
        )
        return int((ahead + size) / self.bytes_per_ms)

    def expected_deferred_ms(self, size: int = 0) -> int:
        """Return the expected time until a body after all others is complete.

        Bodies that arrive meanwhile and can be in time go before it, so it
        gets only the rest of the link (Cobham, "Priority Assignment in Waiting
        Line Problems", 1954).
        """
        ahead = sum(body.remaining_bytes for body in self.waiting.values())
        free_share = max(1 - self.utilization, MIN_FREE_SHARE)
        return int((ahead + size) / self.bytes_per_ms / free_share)

    def waits_for(self, request_id: int) -> bool:
        """Return whether the body of a request is still incomplete."""
        return request_id in self.waiting

    def is_busy(self, now_ms: int) -> bool:
        """Return whether another body would wait for those in time.

        It does not wait long for what one chunk carries.
        """
        return self._in_time_bytes(now_ms) > CHUNK_BYTES

    def _in_time_bytes(self, now_ms: int) -> int:
        """Return what is left of the bodies that can be in time."""
        return sum(
            body.remaining_bytes
            for body in self.waiting.values()
            if not self._is_late(body, now_ms)
        )

    def is_deferred(self, request_id: int, now_ms: int) -> bool:
        """Return whether a body is late and waits behind all others."""
        body = self.waiting[request_id]
        return body not in self.active and self._is_late(body, now_ms)

    def receive(
        self, chunk: messages.BodyPiece, now_ms: int
    ) -> tuple[bytes | None, list[ChunkRequest]]:
        """Receive a chunk; a chunk that is not the next one is dropped.

        Returns:
            The complete body after its last chunk, otherwise None, and the
            next chunks to request.
        """
        body = self.waiting.get(chunk.request_id)
        if body is None or chunk.offset != body.received:
            return None, []
        body.add(chunk.data or b"")
        body.slow = self._is_slow(body, now_ms)
        body.last_progress_ms = now_ms
        self.link_rate.received_bytes += len(chunk.data or b"")
        body.stalled = False
        complete = None
        if not body.remaining_bytes:
            complete = body.content.getvalue()
            self.bytes_per_ms = self.link_rate.finish_sample(now_ms)
            self._remove(body.request_id)
        self._request_chunks(now_ms)
        return complete, self._flush()

    def remove(self, request_id: int, now_ms: int) -> list[ChunkRequest]:
        """Remove a body that is no longer needed."""
        self._remove(request_id)
        self._request_chunks(now_ms)
        return self._flush()

    def tick(self, now_ms: int) -> list[ChunkRequest]:
        """Start the next body if the active ones are slow or stalled."""
        self._update_utilization(now_ms)
        for body in list(self.active):
            body.slow = body.slow or self._is_slow(body, now_ms)
            if now_ms - body.last_progress_ms >= STALL_TIMEOUT_MS:
                body.stalled = True
                body.requested = body.received
                self.active.remove(body)
        self._request_chunks(now_ms)
        return self._flush()

    def _update_utilization(self, now_ms: int) -> None:
        """Update the share of time in which bodies in time use the link."""
        weight = min(
            (now_ms - self.utilization_updated_ms) / UTILIZATION_WINDOW_MS, 1.0
        )
        self.utilization_updated_ms = now_ms
        in_use = self._in_time_bytes(now_ms) > 0
        self.utilization += weight * (in_use - self.utilization)

    def _is_slow(self, body: IncomingBody, now_ms: int) -> bool:
        """Return whether its sender is slower than the link."""
        received_bytes = body.received - body.start_bytes
        expected_ms = (received_bytes + CHUNK_BYTES) / self.bytes_per_ms
        slow_ms = max(SLOW_FACTOR * expected_ms, MIN_SLOW_MS)
        return now_ms - body.turn_started_ms >= slow_ms

    def _remove(self, request_id: int) -> None:
        body = self.waiting.pop(request_id, None)
        if body in self.active:
            self.active.remove(body)

    def _request_chunks(self, now_ms: int) -> None:
        """Start bodies and request the chunks that may be in flight."""
        if not self.active:
            self.link_rate.begin(now_ms)
        while body := self._next_body(now_ms):
            body.begin(now_ms)
            self.active.append(body)
        for body in self.active:
            self._request_ahead(body)

    def _next_body(self, now_ms: int) -> IncomingBody | None:
        """Return a body that may start beside the active ones."""
        is_link_filled = any(not body.slow for body in self.active)
        if is_link_filled or len(self.active) >= MAX_ACTIVE_BODIES:
            return None
        candidates = [
            body
            for body in self.waiting.values()
            if body not in self.active and not (body.stalled and self.active)
        ]
        return min(
            candidates,
            key=lambda body: body.rank(now_ms, self.bytes_per_ms),
            default=None,
        )

    def _request_ahead(self, body: IncomingBody) -> None:
        # Chunks requested from a stalled sender may still have arrived.
        body.requested = max(body.requested, body.received)
        ahead = 1 if body.slow else CHUNKS_AHEAD
        bound = body.received + ahead * CHUNK_BYTES
        while body.requested < min(body.size, bound):
            length = min(CHUNK_BYTES, body.size - body.requested)
            pull = messages.BodyPull(body.request_id, body.requested, length)
            body.requested += length
            self.pending_effects.append(ChunkRequest(body.origin, pull))

    def _is_late(self, body: IncomingBody, now_ms: int) -> bool:
        return body.is_late(now_ms, self.bytes_per_ms)

    def _flush(self) -> list[ChunkRequest]:
        pending_effects = self.pending_effects
        self.pending_effects = []
        return pending_effects
