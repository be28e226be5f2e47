"""Encoding, decoding and limits of frames between processes."""

import json
import zlib

import pytest

from trefoil_model import errors
from trefoil_wire import frames
from trefoil_wire import messages

ROUTE = {"name": "list-slots", "prefix": "/slots/", "timeout": "1.5s"}
REQUEST = messages.Request(
    request_id=7,
    route="list-slots",
    method="POST",
    path="/slots?day=1",
    headers=b"X-A: \xff\\n\r\n",
    body=b"\x00\x01" * 50,
    deadline_ms=900,
    target="tables-1",
    fingerprint=-5,
    version="v1",
)


@pytest.mark.parametrize("kind", frames.TYPES, ids=lambda kind: kind.__name__)
def test_an_empty_struct_of_every_type_is_decoded(kind: type) -> None:
    encoded = frames.encode(kind())
    assert frames.FrameReader().feed(encoded) == [kind()]


@pytest.mark.parametrize("size", [1, 2, 5, 7, 64])
def test_frames_split_at_any_byte_are_decoded(size: int) -> None:
    data = frames.encode(REQUEST) * 3
    reader = frames.FrameReader()
    decoded = []
    for start in range(0, len(data), size):
        decoded.extend(reader.feed(data[start : start + size]))
    assert decoded == [REQUEST] * 3
    assert (reader.pieces, reader.held_bytes) == ([], 0)


@pytest.mark.parametrize(
    ("case", "data"),
    [
        ("zero length", b"\x00\x00\x00\x00\x00"),
        ("too long", b"\x7f\xff\xff\xff\x00"),
        ("unknown type", b"\x00\x00\x00\x02\xff\x00"),
        ("truncated struct", frames.HEADER.pack(3, 22) + b"\x18\x05"),
        ("not a struct", frames.HEADER.pack(9, 22) + b"\xff" * 8),
    ],
)
def test_malformed_frames_are_refused(case: str, data: bytes) -> None:
    with pytest.raises(errors.FrameError):
        frames.FrameReader().feed(data)


def test_memory_is_bounded_by_the_limit() -> None:
    reader = frames.FrameReader(limit=1000)
    with pytest.raises(errors.FrameError):
        reader.feed(frames.HEADER.pack(1001, 22) + b"x" * 10)


def test_a_large_reply_to_an_operator_is_compressed() -> None:
    """An operator reads a document of three hundred routes via another host.

    The document repeats the same names. Uncompressed, such replies would be
    a large part of the bytes between failure domains.
    """
    reply = messages.QueryReply(body=json.dumps([ROUTE] * 300))
    encoded = frames.encode(reply)
    assert len(encoded) < len(reply.body) / 10
    assert frames.FrameReader().feed(encoded) == [reply]


def test_callers_bytes_are_not_compressed() -> None:
    answer = messages.Answer(request_id=1, body=bytes(10_000))
    assert len(frames.encode(answer)) > 10_000


@pytest.mark.parametrize(
    ("case", "body"),
    [
        ("not compressed", b"plain bytes"),
        ("truncated", zlib.compress(b"x" * 1000)[:-4]),
        ("zip bomb", zlib.compress(bytes(frames.MAX_FRAME_BYTES + 1))),
    ],
)
def test_bad_compression_is_refused(case: str, body: bytes) -> None:
    code = frames.CODES[messages.QueryReply] | frames.COMPRESSED_FLAG
    data = frames.HEADER.pack(len(body) + 1, code) + body
    with pytest.raises(errors.FrameError):
        frames.FrameReader().feed(data)
