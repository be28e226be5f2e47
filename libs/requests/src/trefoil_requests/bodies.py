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
PIECE_BYTES = 8 * 1024
PIECES_AHEAD = 2
# Before a body came a link is taken for a fast one, 80 Mbit/s.
FIRST_BYTES_A_MS = 10_000.0
# A link that other traffic fills is noticed after four bodies; a slow sender
# among faster ones is not taken for one.
RATES_KEPT = 7
OUTLIERS = 2
# Some ten bodies on a link of 5.5 Mbit/s.
UTILIZATION_MS = 1000
LEAST_LEFT_OVER = 0.001
# A sender that is cut off or stands still must not hold up the others.
STALLED_MS = 300
# A sender that takes twice the time leaves half of the link unused.
SLOW_TIMES = 2.0
MIN_SLOW_MS = 30
# A small call waits behind a piece of each, and one more.
MOST_AT_ONCE = 3


def is_large(body: bytes) -> bool:
    """Tell whether a body waits until it is asked for."""
    return len(body) >= LARGE_BYTES


@dataclasses.dataclass(slots=True, eq=False)
class Arrival:
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
    asked: int = 0
    had: int = 0
    began_ms: int = 0
    moved_ms: int = 0
    slow: bool = False
    stalled: bool = False

    @property
    def left(self) -> int:
        """Return how many bytes are still to come."""
        return self.size - len(self.data)

    def begin(self, now_ms: int) -> None:
        """Begin its turn."""
        self.had = len(self.data)
        self.began_ms = now_ms
        self.moved_ms = now_ms
        self.slow = False

    def rank(self, now_ms: int, bytes_a_ms: float) -> tuple[bool, bool, float]:
        """Return its turn, the least first.

        A body that comes too late for its answer to be in time would make
        the next one late too.
        """
        return self.stalled, self.is_late(now_ms, bytes_a_ms), self.due_ms

    def is_late(self, now_ms: int, bytes_a_ms: float) -> bool:
        """Tell whether it is late even if nothing comes before it."""
        return now_ms + self.left / bytes_a_ms > self.due_ms


@dataclasses.dataclass(slots=True, frozen=True)
class Prospect:
    """What becomes of a request whose body would be asked for now.

    Args:
        body_ms: Until its body is here, after those that can be in time.
        last_ms: The same, after all others that come meanwhile.
        slot_ms: Until a slot is free for it.
        run_ms: How long its run takes as a rule.
        safe_run_ms: A time within which most such runs are done.
        aim_ms: Time left until its answer is late.
        deadline_ms: Time left until nobody waits for it.
    """

    body_ms: float
    last_ms: float
    slot_ms: float
    run_ms: float
    safe_run_ms: float
    aim_ms: float
    deadline_ms: float

    @property
    def is_served_at_once(self) -> bool:
        """Tell whether a slot is free, and its answer in time as a rule."""
        ends_ms = self.body_ms + self.run_ms
        return not self.slot_ms and ends_ms <= self.aim_ms

    @property
    def is_in_time(self) -> bool:
        """Tell whether its answer is surely in time."""
        starts_ms = max(self.body_ms, self.slot_ms)
        return starts_ms + self.safe_run_ms <= self.aim_ms

    @property
    def is_late_but_welcome(self) -> bool:
        """Tell whether its caller gets an answer, if a late one."""
        starts_ms = max(self.last_ms, self.slot_ms)
        return starts_ms + self.run_ms <= self.deadline_ms


@dataclasses.dataclass(slots=True)
class Ask:
    """Ask the sender of a body for a piece of it."""

    origin: str
    pull: messages.BodyPull


class Rates:
    """How fast the last bodies came over a link.

    Counted from when the link was last without a body, or a body was whole:
    bodies that come beside each other count together.
    """

    __slots__ = ("found", "came", "since_ms")

    def __init__(self) -> None:
        self.found: collections.deque[float] = collections.deque(
            maxlen=RATES_KEPT
        )
        self.came = 0
        self.since_ms = 0

    def begin(self, now_ms: int) -> None:
        """Count anew from now on."""
        self.came = 0
        self.since_ms = now_ms

    def settle(self, now_ms: int) -> float:
        """Learn from what came; return the bytes that come in a millisecond.

        The slowest and the fastest of them are left out.
        """
        self.found.append(self.came / max(now_ms - self.since_ms, 1))
        self.begin(now_ms)
        usual = sorted(self.found)[OUTLIERS:-OUTLIERS]
        return statistics.fmean(usual or self.found)


class Arrivals:
    """The bodies that one host waits for.

    The one that is due first has the link to itself. While its sender is too
    slow to fill it, others come beside it.
    """

    __slots__ = (
        "waiting",
        "coming",
        "bytes_a_ms",
        "rates",
        "utilization",
        "utilized_at_ms",
        "out",
    )

    def __init__(self) -> None:
        self.bytes_a_ms = FIRST_BYTES_A_MS
        self.rates = Rates()
        self.utilization = 0.0
        self.utilized_at_ms = 0
        self.waiting: dict[int, Arrival] = {}
        self.coming: list[Arrival] = []
        self.out: list[Ask] = []

    def want(
        self,
        request_id: int,
        origin: str,
        size: int,
        due_ms: float,
        now_ms: int,
    ) -> list[Ask]:
        """Have a body sent, after those that are due sooner."""
        arrival = Arrival(request_id, origin, size, due_ms)
        self.waiting[request_id] = arrival
        self._proceed(now_ms)
        return self._flush()

    def expected_ms(self, now_ms: int, size: int = 0) -> int:
        """Return when a body is expected to be here that is asked for now.

        Args:
            now_ms: The time on the runtime's clock.
            size: Its length; 0 for the wait before its turn.
        """
        ahead = sum(
            arrival.left
            for arrival in self.waiting.values()
            if arrival in self.coming or not self._is_late(arrival, now_ms)
        )
        return int((ahead + size) / self.bytes_a_ms)

    def expected_last_ms(self, size: int = 0) -> int:
        """Return when a body is expected to be here that comes after all.

        Bodies that come meanwhile and can be in time go before it; it gets
        what they leave of the link (Cobham, "Priority Assignment in Waiting
        Line Problems", 1954).
        """
        ahead = sum(arrival.left for arrival in self.waiting.values())
        left_over = max(1 - self.utilization, LEAST_LEFT_OVER)
        return int((ahead + size) / self.bytes_a_ms / left_over)

    def waits_for(self, request_id: int) -> bool:
        """Tell whether a request's body is still on its way."""
        return request_id in self.waiting

    def is_taken(self, now_ms: int) -> bool:
        """Tell whether the link is taken by bodies that can be in time."""
        return any(
            not self._is_late(arrival, now_ms)
            for arrival in self.waiting.values()
        )

    def is_put_off(self, request_id: int, now_ms: int) -> bool:
        """Tell whether a body is late, and others go before it."""
        arrival = self.waiting[request_id]
        return arrival not in self.coming and self._is_late(arrival, now_ms)

    def take(
        self, piece: messages.BodyPiece, now_ms: int
    ) -> tuple[bytes | None, list[Ask]]:
        """Take a piece.

        Returns:
            The whole body with its last piece, else None, and what is asked
            for next. A piece that is not the next one is dropped.
        """
        arrival = self.waiting.get(piece.request_id)
        if arrival is None or piece.offset != len(arrival.data):
            return None, []
        arrival.data += piece.data or b""
        arrival.slow = self._is_slow(arrival, now_ms)
        arrival.moved_ms = now_ms
        self.rates.came += len(piece.data or b"")
        arrival.stalled = False
        whole = None
        if not arrival.left:
            whole = bytes(arrival.data)
            self.bytes_a_ms = self.rates.settle(now_ms)
            self._forget(arrival.request_id)
        self._proceed(now_ms)
        return whole, self._flush()

    def drop(self, request_id: int, now_ms: int) -> list[Ask]:
        """Forget a body that nobody needs any more."""
        self._forget(request_id)
        self._proceed(now_ms)
        return self._flush()

    def tick(self, now_ms: int) -> list[Ask]:
        """Let the next body come if the present ones are slow or stall."""
        self._note_utilization(now_ms)
        for arrival in list(self.coming):
            arrival.slow = arrival.slow or self._is_slow(arrival, now_ms)
            if now_ms - arrival.moved_ms >= STALLED_MS:
                arrival.stalled = True
                arrival.asked = len(arrival.data)
                self.coming.remove(arrival)
        self._proceed(now_ms)
        return self._flush()

    def _note_utilization(self, now_ms: int) -> None:
        """Learn which part of the time bodies in time take the link."""
        weight = min((now_ms - self.utilized_at_ms) / UTILIZATION_MS, 1.0)
        self.utilized_at_ms = now_ms
        self.utilization += weight * (self.is_taken(now_ms) - self.utilization)

    def _is_slow(self, arrival: Arrival, now_ms: int) -> bool:
        """Tell whether it comes more slowly than the link carries."""
        came = len(arrival.data) - arrival.had
        usual_ms = (came + PIECE_BYTES) / self.bytes_a_ms
        slow_ms = max(SLOW_TIMES * usual_ms, MIN_SLOW_MS)
        return now_ms - arrival.began_ms >= slow_ms

    def _forget(self, request_id: int) -> None:
        arrival = self.waiting.pop(request_id, None)
        if arrival in self.coming:
            self.coming.remove(arrival)

    def _proceed(self, now_ms: int) -> None:
        """Ask for as much as may be on its way."""
        if not self.coming:
            self.rates.begin(now_ms)
        while arrival := self._next(now_ms):
            arrival.begin(now_ms)
            self.coming.append(arrival)
        for arrival in self.coming:
            self._ask(arrival)

    def _next(self, now_ms: int) -> Arrival | None:
        """Return a body that may begin to come, beside those that do."""
        is_filled = any(not arrival.slow for arrival in self.coming)
        if is_filled or len(self.coming) >= MOST_AT_ONCE:
            return None
        others = [
            arrival
            for arrival in self.waiting.values()
            if arrival not in self.coming
            and not (arrival.stalled and self.coming)
        ]
        return min(
            others,
            key=lambda arrival: arrival.rank(now_ms, self.bytes_a_ms),
            default=None,
        )

    def _ask(self, arrival: Arrival) -> None:
        # What a stalled sender was asked for may have come after all.
        arrival.asked = max(arrival.asked, len(arrival.data))
        ahead = 1 if arrival.slow else PIECES_AHEAD
        bound = len(arrival.data) + ahead * PIECE_BYTES
        while arrival.asked < min(arrival.size, bound):
            length = min(PIECE_BYTES, arrival.size - arrival.asked)
            pull = messages.BodyPull(arrival.request_id, arrival.asked, length)
            arrival.asked += length
            self.out.append(Ask(arrival.origin, pull))

    def _is_late(self, arrival: Arrival, now_ms: int) -> bool:
        return arrival.is_late(now_ms, self.bytes_a_ms)

    def _flush(self) -> list[Ask]:
        out = self.out
        self.out = []
        return out
