"""Large bodies on their way to one host, piece by piece.

The load that this answers: uploads of tens of kilobytes on the thin link of a
host whose target also serves calls of some hundred bytes. Sent with their
requests, a few bodies fill the link for a second, and the small calls of all
other proxies wait behind them. So a body stays with its sender until its
request has been taken, bodies come one after the other, and only a little of
one is on its way at a time: that is what a small call waits behind.
"""

import collections
import dataclasses
import statistics

from trefoil_wire import messages

# What is larger waits at its sender; smaller ones are sent as one packet or a
# few, and asking for them would take as long.
LARGE_BYTES = 16 * 1024
# A piece takes 12 ms on a link of 5.5 Mbit/s; two of them keep the link busy
# while the next is asked for.
CHUNK_BYTES = 8 * 1024
CHUNKS_AHEAD = 2
# Before a body came a link is taken for a fast one, 80 Mbit/s.
INITIAL_BYTES_PER_MS = 10_000.0
# A link that other traffic fills is noticed after four bodies; a slow sender
# among faster ones is not taken for one.
RATE_SAMPLES = 7
OUTLIERS_PER_END = 2
# Some ten bodies on a link of 5.5 Mbit/s.
UTILIZATION_WINDOW_MS = 1000
MIN_FREE_SHARE = 0.001
# A sender that is cut off or stands still must not hold up the others.
STALL_TIMEOUT_MS = 300
# A sender that takes twice the time leaves half of the link unused.
SLOW_FACTOR = 2.0
MIN_SLOW_MS = 30
# A small call waits behind a piece of each, and one more.
MAX_ACTIVE_BODIES = 3


def is_large(body: bytes) -> bool:
    """Tell whether a body waits until it is asked for."""
    return len(body) >= LARGE_BYTES


@dataclasses.dataclass(slots=True, eq=False)
class IncomingBody:
    """A body on its way.

    Args:
        request_id: Its request.
        origin: Where it is asked for.
        size: Its whole length in bytes.
        due_ms: When it must be here for its answer to be in time.
        data: What is here.
        asked: How much was asked for.
        had: How much was here when its turn came.
        began_ms: When its turn came.
        moved_ms: When something was asked for or came last.
        slow: Whether it comes too slowly to fill the link.
        stalled: Whether its sender went silent.
    """

    request_id: int
    origin: str
    size: int
    due_ms: float
    data: bytearray = dataclasses.field(default_factory=bytearray)
    requested: int = 0
    start_bytes: int = 0
    turn_started_ms: int = 0
    last_progress_ms: int = 0
    slow: bool = False
    stalled: bool = False

    @property
    def remaining_bytes(self) -> int:
        """Return how many bytes are still to come."""
        return self.size - len(self.data)

    def begin(self, now_ms: int) -> None:
        """Begin its turn."""
        self.start_bytes = len(self.data)
        self.turn_started_ms = now_ms
        self.last_progress_ms = now_ms
        self.slow = False

    def rank(
        self, now_ms: int, bytes_per_ms: float
    ) -> tuple[bool, bool, float]:
        """Return its turn, the least first.

        A body that comes too late for its answer to be in time would make
        the next one late too.
        """
        return self.stalled, self.is_late(now_ms, bytes_per_ms), self.due_ms

    def is_late(self, now_ms: int, bytes_per_ms: float) -> bool:
        """Tell whether it is late even if nothing comes before it."""
        return now_ms + self.remaining_bytes / bytes_per_ms > self.due_ms


@dataclasses.dataclass(slots=True, frozen=True)
class BodyEstimate:
    """What becomes of a request whose body would be asked for now.

    Args:
        body_ms: Until its body is here, after those that can be in time.
        last_ms: The same, after all others that come meanwhile.
        slot_ms: Until a slot is free for it.
        run_ms: How long its run takes as a rule.
        safe_run_ms: A time within which most such runs are done.
        latency_target_ms: Time left until its answer is late.
        deadline_ms: Time left until nobody waits for it.
    """

    body_ms: float
    last_ms: float
    slot_ms: float
    run_ms: float
    safe_run_ms: float
    latency_target_ms: float
    deadline_ms: float

    @property
    def starts_at_once(self) -> bool:
        """Tell whether a slot is free, and its answer in time as a rule."""
        ends_ms = self.body_ms + self.run_ms
        return not self.slot_ms and ends_ms <= self.latency_target_ms

    @property
    def meets_latency_target(self) -> bool:
        """Tell whether its answer is surely in time."""
        starts_ms = max(self.body_ms, self.slot_ms)
        return starts_ms + self.safe_run_ms <= self.latency_target_ms

    @property
    def meets_deadline(self) -> bool:
        """Tell whether its caller gets an answer, if a late one."""
        starts_ms = max(self.last_ms, self.slot_ms)
        return starts_ms + self.run_ms <= self.deadline_ms


@dataclasses.dataclass(slots=True)
class ChunkRequest:
    """Ask the sender of a body for a piece of it."""

    origin: str
    pull: messages.BodyPull


class LinkRate:
    """How fast the last bodies came over a link.

    Counted from when the link was last without a body, or a body was whole:
    bodies that come beside each other count together.
    """

    __slots__ = ("samples", "received_bytes", "since_ms")

    def __init__(self) -> None:
        self.samples: collections.deque[float] = collections.deque(
            maxlen=RATE_SAMPLES
        )
        self.received_bytes = 0
        self.since_ms = 0

    def begin(self, now_ms: int) -> None:
        """Count anew from now on."""
        self.received_bytes = 0
        self.since_ms = now_ms

    def finish_sample(self, now_ms: int) -> float:
        """Learn from what came; return the bytes that come in a millisecond.

        The slowest and the fastest of them are left out.
        """
        self.samples.append(
            self.received_bytes / max(now_ms - self.since_ms, 1)
        )
        self.begin(now_ms)
        typical = sorted(self.samples)[OUTLIERS_PER_END:-OUTLIERS_PER_END]
        return statistics.fmean(typical or self.samples)


class IncomingBodies:
    """The bodies that one host waits for.

    The one that is due first has the link to itself. While its sender is too
    slow to fill it, others come beside it.
    """

    __slots__ = (
        "waiting",
        "active",
        "bytes_per_ms",
        "link_rate",
        "utilization",
        "utilization_updated_ms",
        "out",
    )

    def __init__(self) -> None:
        self.bytes_per_ms = INITIAL_BYTES_PER_MS
        self.link_rate = LinkRate()
        self.utilization = 0.0
        self.utilization_updated_ms = 0
        self.waiting: dict[int, IncomingBody] = {}
        self.active: list[IncomingBody] = []
        self.out: list[ChunkRequest] = []

    def add(
        self,
        request_id: int,
        origin: str,
        size: int,
        due_ms: float,
        now_ms: int,
    ) -> list[ChunkRequest]:
        """Have a body sent, after those that are due sooner."""
        body = IncomingBody(request_id, origin, size, due_ms)
        self.waiting[request_id] = body
        self._request_chunks(now_ms)
        return self._flush()

    def expected_ms(self, now_ms: int, size: int = 0) -> int:
        """Return when a body is expected to be here that is asked for now.

        Args:
            now_ms: The time on the runtime's clock.
            size: Its length; 0 for the wait before its turn.
        """
        ahead = sum(
            body.remaining_bytes
            for body in self.waiting.values()
            if body in self.active or not self._is_late(body, now_ms)
        )
        return int((ahead + size) / self.bytes_per_ms)

    def expected_last_ms(self, size: int = 0) -> int:
        """Return when a body is expected to be here that comes after all.

        Bodies that come meanwhile and can be in time go before it; it gets
        what they leave of the link (Cobham, "Priority Assignment in Waiting
        Line Problems", 1954).
        """
        ahead = sum(body.remaining_bytes for body in self.waiting.values())
        free_share = max(1 - self.utilization, MIN_FREE_SHARE)
        return int((ahead + size) / self.bytes_per_ms / free_share)

    def waits_for(self, request_id: int) -> bool:
        """Tell whether a request's body is still on its way."""
        return request_id in self.waiting

    def is_busy(self, now_ms: int) -> bool:
        """Tell whether the link is taken by bodies that can be in time."""
        return any(
            not self._is_late(body, now_ms) for body in self.waiting.values()
        )

    def is_deferred(self, request_id: int, now_ms: int) -> bool:
        """Tell whether a body is late, and others go before it."""
        body = self.waiting[request_id]
        return body not in self.active and self._is_late(body, now_ms)

    def receive(
        self, chunk: messages.BodyPiece, now_ms: int
    ) -> tuple[bytes | None, list[ChunkRequest]]:
        """Take a piece.

        Returns:
            The whole body with its last piece, else None, and what is asked
            for next. A piece that is not the next one is dropped.
        """
        body = self.waiting.get(chunk.request_id)
        if body is None or chunk.offset != len(body.data):
            return None, []
        body.data += chunk.data or b""
        body.slow = self._is_slow(body, now_ms)
        body.last_progress_ms = now_ms
        self.link_rate.received_bytes += len(chunk.data or b"")
        body.stalled = False
        complete = None
        if not body.remaining_bytes:
            complete = bytes(body.data)
            self.bytes_per_ms = self.link_rate.finish_sample(now_ms)
            self._remove(body.request_id)
        self._request_chunks(now_ms)
        return complete, self._flush()

    def remove(self, request_id: int, now_ms: int) -> list[ChunkRequest]:
        """Forget a body that nobody needs any more."""
        self._remove(request_id)
        self._request_chunks(now_ms)
        return self._flush()

    def tick(self, now_ms: int) -> list[ChunkRequest]:
        """Let the next body come if the present ones are slow or stall."""
        self._update_utilization(now_ms)
        for body in list(self.active):
            body.slow = body.slow or self._is_slow(body, now_ms)
            if now_ms - body.last_progress_ms >= STALL_TIMEOUT_MS:
                body.stalled = True
                body.requested = len(body.data)
                self.active.remove(body)
        self._request_chunks(now_ms)
        return self._flush()

    def _update_utilization(self, now_ms: int) -> None:
        """Learn which part of the time bodies in time take the link."""
        weight = min(
            (now_ms - self.utilization_updated_ms) / UTILIZATION_WINDOW_MS, 1.0
        )
        self.utilization_updated_ms = now_ms
        self.utilization += weight * (self.is_busy(now_ms) - self.utilization)

    def _is_slow(self, body: IncomingBody, now_ms: int) -> bool:
        """Tell whether it comes more slowly than the link carries."""
        received_bytes = len(body.data) - body.start_bytes
        expected_ms = (received_bytes + CHUNK_BYTES) / self.bytes_per_ms
        slow_ms = max(SLOW_FACTOR * expected_ms, MIN_SLOW_MS)
        return now_ms - body.turn_started_ms >= slow_ms

    def _remove(self, request_id: int) -> None:
        body = self.waiting.pop(request_id, None)
        if body in self.active:
            self.active.remove(body)

    def _request_chunks(self, now_ms: int) -> None:
        """Ask for as much as may be on its way."""
        if not self.active:
            self.link_rate.begin(now_ms)
        while body := self._next_body(now_ms):
            body.begin(now_ms)
            self.active.append(body)
        for body in self.active:
            self._request_ahead(body)

    def _next_body(self, now_ms: int) -> IncomingBody | None:
        """Return a body that may begin to come, beside those that do."""
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
        # What a stalled sender was asked for may have come after all.
        body.requested = max(body.requested, len(body.data))
        ahead = 1 if body.slow else CHUNKS_AHEAD
        bound = len(body.data) + ahead * CHUNK_BYTES
        while body.requested < min(body.size, bound):
            length = min(CHUNK_BYTES, body.size - body.requested)
            pull = messages.BodyPull(body.request_id, body.requested, length)
            body.requested += length
            self.out.append(ChunkRequest(body.origin, pull))

    def _is_late(self, body: IncomingBody, now_ms: int) -> bool:
        return body.is_late(now_ms, self.bytes_per_ms)

    def _flush(self) -> list[ChunkRequest]:
        out = self.out
        self.out = []
        return out
