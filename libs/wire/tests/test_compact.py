"""Compact frames: round trips, histories, malformed and lost frames."""

import json
import random
import tracemalloc
import typing

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from trefoil_model import errors
from trefoil_wire import compact
from trefoil_wire import frames
from trefoil_wire import messages
from trefoil_wire import patches


class Direction:
    """One direction of a connection that uses compact frames."""

    def __init__(self, subscribed: bool = False) -> None:
        self.encoder = compact.Encoder(subscribed)
        self.reader = frames.FrameReader(
            make_decoder=lambda: compact.Decoder(subscribed)
        )
        switch = frames.encode(messages.Hello(switches=True))
        self.reader.feed(switch)

    def pass_on(self, message: typing.Any) -> typing.Any:
        """Send a message; return what is received."""
        (received,) = self.reader.feed(self.encoder.encode(message))
        return received


def request(number: int, body: bytes = b"") -> messages.Request:
    """Return a request as a caller's proxy sends it."""
    rng = random.Random(number)
    caller_id = f"{rng.getrandbits(64):016x}"
    headers = (
        b"Host: shop.example\r\nUser-Agent: client/1.9.3\r\nAccept: */*\r\n"
        b"X-Id: " + caller_id.encode() + b"\r\n"
    )
    return messages.Request(
        request_id=(1 << 60) + number,
        route="browse",
        method="GET",
        path=f"/browse/kitchens/{rng.getrandbits(24):06x}",
        headers=headers,
        body=body,
        deadline_ms=rng.randrange(500, 3000),
        target="tables-7f3a91c2",
        fingerprint=rng.getrandbits(63),
        version="v1",
        caller_id=caller_id,
        aim_ms=rng.randrange(100, 600),
        services_key="tables",
        account="alice",
    )


def document(routes: int, changed: int = 0) -> messages.CommandRequest:
    """Return a command with a large document."""
    listed = [
        {"name": f"r{n}", "prefix": f"/p{n}/", "timeout": 1000}
        for n in range(routes)
    ]
    listed[routes // 2]["timeout"] += changed
    text = json.dumps(listed).encode()
    command = messages.Command(f"c{changed}", "ann", 1, 5, text)
    return messages.CommandRequest(command, 0)


SAMPLES = [
    messages.Heartbeat(1, 2, 3),
    messages.Ping(7),
    request(1),
    request(2, b"x" * 20_000),
    request(3, b""),
    messages.Answer(
        request_id=5, status=200, reason="OK", body=b"\x00" * 9, ran=True
    ),
    document(400),
    document(400, 5),
    document(3),
    messages.RecordsSummary([], True, False),
    messages.Cancel(9),
]


@pytest.mark.parametrize("subscribed", [False, True])
def test_messages_arrive_as_they_were_sent(subscribed: bool) -> None:
    direction = Direction(subscribed)
    for message in SAMPLES * 3:
        received = direction.pass_on(message)
        if hasattr(message, "body") and message.body is None:
            received.body = received.body or None
        assert received == message


@settings(max_examples=100)
@given(
    st.lists(
        st.tuples(st.integers(0, 50), st.binary(max_size=300)), max_size=30
    ),
    st.integers(1, 60),
)
def test_frames_may_arrive_in_pieces(
    sent: list[tuple[int, bytes]], piece: int
) -> None:
    direction = Direction()
    wanted = [request(number, body) for number, body in sent]
    data = b"".join(direction.encoder.encode(message) for message in wanted)
    received = []
    for start in range(0, len(data), piece):
        received += direction.reader.feed(data[start : start + piece])
    assert received == wanted


def test_a_request_takes_a_third_of_its_plain_frame() -> None:
    direction = Direction()
    plain = short = 0
    for number in range(100):
        message = request(number)
        plain += len(frames.encode(message))
        short += len(direction.encoder.encode(message))
    assert short < plain / 3


def test_a_changed_document_takes_a_hundredth_of_the_whole() -> None:
    direction = Direction(True)
    direction.pass_on(document(1500))
    whole = len(frames.encode(document(1500, 7)))
    assert len(direction.encoder.encode(document(1500, 7))) < whole / 30
    plain = len(frames.pack(document(1500, 7)))
    assert len(direction.encoder.encode(document(1500, 8))) < plain / 100


def test_a_frame_without_the_one_before_it_is_refused() -> None:
    """Guards against a message that is put together from two histories."""
    direction = Direction(True)
    direction.pass_on(document(400))
    direction.encoder.encode(document(420))
    with pytest.raises(errors.FrameError):
        direction.reader.feed(direction.encoder.encode(document(420, 1)))


def test_a_patch_without_a_base_is_refused() -> None:
    direction = Direction(True)
    other = Direction(True)
    direction.encoder.encode(document(400))
    with pytest.raises(errors.FrameError):
        other.reader.feed(direction.encoder.encode(document(400, 1)))


@settings(max_examples=300)
@given(st.binary(max_size=200))
def test_malformed_frames_raise_frame_errors_only(data: bytes) -> None:
    decoder = compact.Decoder(False)
    for code in (0, 22, 23, len(frames.TYPES) - 1, 255):
        try:
            decoder.decode(code, data)
        except errors.FrameError:
            pass


def test_a_few_bytes_do_not_become_a_large_message() -> None:
    """Guards against memory that a small frame could take."""
    big = messages.Query("q", "x" * 100_000)
    direction = Direction()
    data = direction.encoder._deflate(frames.pack(big))
    with pytest.raises(errors.FrameError):
        direction.reader.decoder._inflate(data)


def test_a_switch_is_refused_where_it_is_not_read() -> None:
    switch = frames.encode(messages.Hello(switches=True))
    with pytest.raises(errors.FrameError):
        frames.FrameReader().feed(switch)


def test_histories_of_many_links_fit_into_a_small_host() -> None:
    """Two hundred links in both directions may take 8 MB."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    directions = [Direction() for _ in range(400)]
    for direction in directions:
        direction.pass_on(request(1))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert after - before < 8 * 1024 * 1024


@settings(max_examples=300)
@given(
    st.lists(st.sampled_from([b"{a}", b"b\n", b"\x00", b"cd", b"e" * 600])),
    st.lists(st.sampled_from([b"{a}", b"b\n", b"\x00", b"cd", b"f"])),
)
def test_a_patch_makes_the_new_bytes(
    base: list[bytes], new: list[bytes]
) -> None:
    old_bytes, new_bytes = b"".join(base), b"".join(new)
    patch = patches.make(old_bytes, new_bytes)
    assert patches.apply(old_bytes, patch) == new_bytes


def test_a_patch_of_another_base_is_refused() -> None:
    patch = patches.make(b"{one}{two}", b"{one}{three}")
    with pytest.raises(errors.FrameError):
        patches.apply(b"{six}{two}", patch)
