"""Tests of large bodies and small calls on one narrow link."""

import heapq
import itertools
import random
import typing

import pytest

from trefoil_requests import bodies
from trefoil_wire import messages

LINK_BYTES_PER_MS = 687.5
PROPAGATION_MS = 1.5
SMALL_BYTES = 300
BODY_BYTES = 60_000
SENDERS = 8


class Link:
    """Simulated link of a host, 5.5 Mbit/s, first in first out.

    Args:
        seed: Seed of the arrival times of calls and bodies.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.numbers = itertools.count(1)
        self.events: list[tuple[float, int, typing.Any]] = []
        self.now_ms = 0.0
        self.free_at_ms = 0.0
        self.incoming_bodies = bodies.IncomingBodies()
        self.sent_ms: dict[int, float] = {}
        self.call_times_ms: list[float] = []
        self.upload_times_ms: list[float] = []

    def at(self, at_ms: float, action: typing.Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self.events, (at_ms, next(self.numbers), action))

    def send(self, size: int, deliver: typing.Callable[[], None]) -> None:
        """Send bytes to the host; call ``deliver`` when they arrive."""
        self.free_at_ms = max(self.free_at_ms, self.now_ms + PROPAGATION_MS)
        self.free_at_ms += size / LINK_BYTES_PER_MS
        self.at(self.free_at_ms, deliver)

    def call(self) -> None:
        """Send a small call."""
        since_ms = self.now_ms
        self.send(
            SMALL_BYTES,
            lambda: self.call_times_ms.append(self.now_ms - since_ms),
        )

    def upload_with_request(self) -> None:
        """Send a request together with its body."""
        since_ms = self.now_ms
        self.send(
            BODY_BYTES,
            lambda: self.upload_times_ms.append(self.now_ms - since_ms),
        )

    def upload_on_request(self) -> None:
        """Send a request whose body is sent on request only."""
        number = next(self.numbers)
        self.sent_ms[number] = self.now_ms
        origin = f"h{self.rng.randrange(SENDERS)}"
        self.send(SMALL_BYTES, lambda: self.accept(number, origin))

    def accept(self, number: int, origin: str) -> None:
        """Receive the request and request its body."""
        now_ms = int(self.now_ms)
        chunk_requests = self.incoming_bodies.add(
            number, origin, BODY_BYTES, now_ms + 1000, now_ms
        )
        self.request_chunks(chunk_requests)

    def request_chunks(
        self, chunk_requests: list[bodies.ChunkRequest]
    ) -> None:
        """Send chunk requests to the senders, and their chunks back."""
        for request in chunk_requests:
            self.at(
                self.now_ms + PROPAGATION_MS,
                lambda pull=request.pull: self.send_chunk(pull),
            )

    def send_chunk(self, pull: messages.BodyPull) -> None:
        """Send a chunk."""
        chunk = messages.BodyPiece(
            pull.request_id, pull.offset, bytes(pull.length)
        )
        self.send(pull.length + 30, lambda: self.receive(chunk))

    def receive(self, chunk: messages.BodyPiece) -> None:
        """Receive a chunk."""
        complete, chunk_requests = self.incoming_bodies.receive(
            chunk, int(self.now_ms)
        )
        if complete is not None:
            assert len(complete) == BODY_BYTES
            took_ms = self.now_ms - self.sent_ms[chunk.request_id]
            self.upload_times_ms.append(took_ms)
        self.request_chunks(chunk_requests)

    def run(
        self, upload: typing.Callable[[], None], lasts_ms: int = 20_000
    ) -> typing.Self:
        """Simulate 7 uploads and 40 small calls a second until all end."""
        for action, per_s in ((upload, 7), (self.call, 40)):
            at_ms = 0.0
            while at_ms < lasts_ms:
                at_ms += self.rng.expovariate(per_s / 1000)
                self.at(at_ms, action)
        while self.events:
            self.now_ms, _, action = heapq.heappop(self.events)
            action()
        return self


def quantile(values: list[float], share: float) -> float:
    """Return the quantile of some values at a share from 0 to 1."""
    return sorted(values)[int(share * len(values))]


def test_small_calls_do_not_wait_behind_large_bodies() -> None:
    """Uploads use 0.6 of the link of a host that also serves small calls.

    If bodies are sent with their requests, one small call in ten is delayed by
    389 ms, twice its latency target; with chunks on request, by 22 ms. A body
    takes a sixth longer.
    """
    before = Link(1)
    before.run(before.upload_with_request)
    after = Link(1)
    after.run(after.upload_on_request)
    assert quantile(before.call_times_ms, 0.9) >= 250
    assert quantile(after.call_times_ms, 0.9) <= 35
    assert quantile(after.call_times_ms, 0.99) <= 60
    assert len(after.upload_times_ms) == len(before.upload_times_ms)
    assert quantile(after.upload_times_ms, 0.5) <= 1.3 * quantile(
        before.upload_times_ms, 0.5
    )


def test_the_body_that_is_due_first_is_transferred_first() -> None:
    """The active body is completed; the next is chosen by its due time."""
    incoming = bodies.IncomingBodies()
    first, second = incoming.add(1, "a", 20_000, 900, 0)
    assert (first.pull.offset, second.pull.offset) == (0, 8192)
    assert incoming.add(2, "b", 20_000, 800, 1) == []
    assert incoming.add(3, "c", 20_000, 700, 2) == []
    for pull in (first.pull, second.pull):
        chunk = messages.BodyPiece(1, pull.offset, bytes(pull.length))
        complete, chunk_requests = incoming.receive(chunk, 10)
    rest = messages.BodyPiece(1, 16_384, bytes(3616))
    complete, chunk_requests = incoming.receive(rest, 20)
    assert len(complete) == 20_000
    assert {r.origin for r in chunk_requests} == {"c"}


def test_a_stalled_sender_does_not_block_others() -> None:
    """Its proxy is suspended in the middle of a body and resumes later."""
    incoming = bodies.IncomingBodies()
    incoming.add(1, "a", 30_000, 500, 0)
    incoming.add(2, "b", 30_000, 900, 0)
    assert incoming.tick(bodies.MIN_SLOW_MS - 1) == []
    assert {r.origin for r in incoming.tick(bodies.MIN_SLOW_MS)} == {"b"}
    assert incoming.tick(bodies.STALL_TIMEOUT_MS) == []
    chunk_requests = incoming.remove(2, 400)
    assert [(r.origin, r.pull.offset) for r in chunk_requests] == [
        ("a", 0),
        ("a", 8192),
    ]


def test_chunks_of_a_stalled_sender_are_not_requested_again() -> None:
    """Guards against a resumed sender that transfers chunks twice."""
    incoming = bodies.IncomingBodies()
    incoming.add(1, "a", 30_000, 500, 0)
    incoming.add(2, "b", 30_000, 900, 0)
    incoming.tick(bodies.STALL_TIMEOUT_MS)
    incoming.receive(messages.BodyPiece(1, 0, bytes(8192)), 350)
    chunk_requests = incoming.remove(2, 400)
    assert [r.pull.offset for r in chunk_requests] == [
        8192,
        16_384,
    ]


def deliver_chunk(
    incoming: bodies.IncomingBodies, number: int, now_ms: int
) -> list[bodies.ChunkRequest]:
    """Deliver the next chunk of a body; return the next chunk requests."""
    body = incoming.waiting[number]
    length = min(bodies.CHUNK_BYTES, body.remaining_bytes)
    chunk = messages.BodyPiece(number, body.received, bytes(length))
    return incoming.receive(chunk, now_ms)[1]


def test_bodies_are_transferred_beside_one_with_a_slow_sender() -> None:
    """A sender at a tenth of the link's rate would block it for 0.9 s."""
    incoming = bodies.IncomingBodies()
    incoming.bytes_per_ms = LINK_BYTES_PER_MS
    for number, origin in enumerate("abcde"):
        incoming.add(number, origin, BODY_BYTES, 800 + number, 0)
    assert {r.origin for r in deliver_chunk(incoming, 0, 12)} == {"a"}
    assert {r.origin for r in deliver_chunk(incoming, 0, 132)} == {"b"}
    assert {r.origin for r in deliver_chunk(incoming, 0, 252)} == {"a"}
    assert {r.origin for r in deliver_chunk(incoming, 1, 264)} == {"c"}
    assert {r.origin for r in deliver_chunk(incoming, 1, 396)} == {"b"}
    assert deliver_chunk(incoming, 2, 408) == []
    assert {r.origin for r in deliver_chunk(incoming, 2, 420)} == {"c"}


def test_a_slow_sender_is_not_taken_for_a_slow_link() -> None:
    """Guards against refusal of all bodies after a slow one that took 0.9 s.

    It occurs if the slow sender's rate is counted as the rate of the link.
    """
    incoming = bodies.IncomingBodies()
    now_ms = 0
    for number in range(1, 13):
        each_ms = 120 if number % 6 == 0 else 12
        incoming.add(number, "a", BODY_BYTES, now_ms + 5000, now_ms)
        while incoming.waits_for(number):
            now_ms += each_ms
            deliver_chunk(incoming, number, now_ms)
    assert incoming.bytes_per_ms == pytest.approx(LINK_BYTES_PER_MS, rel=0.2)


@pytest.mark.parametrize("offset", [8192, -1, 99])
def test_a_chunk_that_is_not_the_next_one_is_dropped(offset: int) -> None:
    """Chunks that were requested twice arrive twice."""
    incoming = bodies.IncomingBodies()
    incoming.add(1, "a", 20_000, 900, 0)
    assert incoming.receive(messages.BodyPiece(1, offset, b"x"), 0) == (
        None,
        [],
    )
    assert incoming.receive(messages.BodyPiece(7, 0, b"x"), 0) == (None, [])


def test_the_wait_for_the_link_is_estimated() -> None:
    """The rate of the link is known; two bodies are in transfer."""
    incoming = bodies.IncomingBodies()
    incoming.bytes_per_ms = LINK_BYTES_PER_MS
    for number in (1, 2):
        incoming.add(number, "a", BODY_BYTES, 1000, 0)
    assert incoming.expected_ms(0) == 174
    assert incoming.expected_ms(0, BODY_BYTES) == 261
    incoming.receive(messages.BodyPiece(1, 0, bytes(8192)), 12)
    assert incoming.expected_ms(12) == 162


def test_the_rate_follows_the_link() -> None:
    """Other traffic starts to use half of the link."""
    incoming = bodies.IncomingBodies()
    now_ms = 0
    for number in range(12):
        incoming.add(number, "a", 16_384, now_ms + 1000, now_ms)
        now_ms += 48
        for offset in (0, 8192):
            incoming.receive(
                messages.BodyPiece(number, offset, bytes(8192)), now_ms
            )
    assert incoming.bytes_per_ms == pytest.approx(16_384 / 48, rel=0.5)


def estimate(**fields: float) -> bodies.BodyEstimate:
    """Return the estimate of a body that is sent to a free target."""
    given = {
        "body_ms": 90.0,
        "deferred_ms": 90.0,
        "slot_ms": 0.0,
        "run_ms": 140.0,
        "safe_run_ms": 300.0,
        "latency_target_ms": 800.0,
        "deadline_ms": 3000.0,
    }
    return bodies.BodyEstimate(**given | fields)


@pytest.mark.parametrize(
    ("fields", "in_time"),
    [
        ({}, True),
        ({"body_ms": 500.0}, True),
        ({"body_ms": 501.0}, False),
        ({"slot_ms": 501.0}, False),
        ({"body_ms": 400.0, "slot_ms": 400.0}, True),
        ({"deferred_ms": 60_000.0}, True),
        ({"latency_target_ms": 389.0}, False),
    ],
)
def test_estimates_that_meet_the_latency_target(
    fields: dict[str, float], in_time: bool
) -> None:
    """The waits for the link and for a slot run in parallel."""
    assert estimate(**fields).meets_latency_target == in_time


@pytest.mark.parametrize(
    ("fields", "answered"),
    [
        ({"latency_target_ms": 1.0}, True),
        ({"latency_target_ms": 1.0, "deferred_ms": 2860.0}, True),
        ({"latency_target_ms": 1.0, "deferred_ms": 2861.0}, False),
        ({"latency_target_ms": 1.0, "slot_ms": 2861.0}, False),
    ],
)
def test_estimates_that_meet_the_deadline(
    fields: dict[str, float], answered: bool
) -> None:
    """A late answer is worth less than one in time but more than none."""
    assert estimate(**fields).meets_deadline == answered


def test_late_bodies_are_transferred_after_those_in_time() -> None:
    """If it went first, a late body would make all bodies after it late."""
    incoming = bodies.IncomingBodies()
    incoming.bytes_per_ms = LINK_BYTES_PER_MS
    incoming.add(1, "a", 8192, 900, 0)
    incoming.add(2, "late", 20_000, 20, 1)
    incoming.add(3, "b", 20_000, 700, 2)
    assert incoming.expected_ms(2) == 41
    assert incoming.expected_deferred_ms() == 70
    complete, chunk_requests = incoming.receive(
        messages.BodyPiece(1, 0, bytes(8192)), 12
    )
    assert complete is not None
    assert {r.origin for r in chunk_requests} == {"b"}


@pytest.mark.parametrize(
    ("taken_ms", "least_ms", "most_ms"),
    [(0, 87, 87), (500, 140, 160), (5000, 5000, 90_000)],
)
def test_a_late_body_gets_the_rest_of_the_link(
    taken_ms: int, least_ms: int, most_ms: int
) -> None:
    """In a long overload such a body would wait and never be transferred."""
    incoming = bodies.IncomingBodies()
    incoming.bytes_per_ms = LINK_BYTES_PER_MS
    incoming.add(1, "a", 8192, 1_000_000, 0)
    for now_ms in range(0, taken_ms + 1, 20):
        incoming.tick(now_ms)
    incoming.remove(1, taken_ms)
    assert least_ms <= incoming.expected_deferred_ms(BODY_BYTES) <= most_ms


def test_late_bodies_do_not_make_the_link_busy() -> None:
    """Otherwise calls are sent elsewhere because of one late body."""
    incoming = bodies.IncomingBodies()
    incoming.bytes_per_ms = LINK_BYTES_PER_MS
    incoming.add(1, "late", BODY_BYTES, 10, 0)
    assert not incoming.is_busy(0)
    incoming.add(2, "a", BODY_BYTES, 900, 0)
    assert incoming.is_busy(0)
    assert not incoming.is_deferred(1, 0)
    incoming.add(3, "late", BODY_BYTES, 10, 0)
    assert incoming.is_deferred(3, 0)


@pytest.mark.parametrize(
    ("link_mbps", "size"),
    [
        (0, 16384),
        (1000, 16384),
        (5.5, 2750),
        (2.65, 1325),
        (2, 1024),
        (0.1, 1024),
    ],
)
def test_bodies_wait_at_their_senders_on_narrow_links(
    link_mbps: float, size: int
) -> None:
    """Guards a narrow link against bodies that full targets refuse."""
    assert bodies.large_from(link_mbps) == size
