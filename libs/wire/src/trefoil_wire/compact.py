"""Compact frames: messages without what the receiver knows already.

Messages of one connection repeat names, headers and addresses, and documents
of hundreds of routes differ in one of them. Each direction of a connection
has a history that both ends share, since the frames arrive in order; it is
dropped with the connection. A frame that does not fit the history closes the
connection and nothing else.

A compact frame is a four-byte length, one byte for the type, one for the form
and the message in that form.
"""

import enum
import struct
import typing
import zlib

from trefoil_model import errors

from . import frames
from . import messages
from . import patches

HEADER = struct.Struct(">IBB")
TAIL = struct.Struct(">H")
# Messages up to this size are compressed as a part of one stream. Their bodies
# are left out: callers' data is mostly compressed already.
MAX_STREAMED_BYTES = 8 * 1024
# The stream of a link for callers' requests refers back to the last few
# messages, in 6 KB of memory; a proxy may have a link to every other.
REQUEST_WINDOW_BITS = 10
REQUEST_MEMORY_LEVEL = 1
# Links between processes are few and carry records of many hosts.
SUBSCRIBED_WINDOW_BITS = 13
SUBSCRIBED_MEMORY_LEVEL = 6
SYNC_MARK = b"\x00\x00\xff\xff"
# Messages that carry whole documents, and differ little from the one before.
PATCHED_TYPES = frozenset(
    (
        messages.AppendRequest,
        messages.CommandRequest,
        messages.QueryReply,
    )
)
TYPES_WITH_BODY = frozenset((messages.Request, messages.Answer))


class Form(enum.IntEnum):
    """How a message is written in a compact frame."""

    PLAIN = 0
    DEFLATED = 1
    STREAMED = 2
    PATCHED = 3


class Encoder:
    """Writes the compact frames of one direction of a connection.

    Args:
        subscribed: Whether it is a subscribed link.
    """

    __slots__ = ("stream", "last")

    def __init__(self, subscribed: bool) -> None:
        bits = _window_bits(subscribed)
        level = SUBSCRIBED_MEMORY_LEVEL if subscribed else REQUEST_MEMORY_LEVEL
        self.stream = zlib.compressobj(
            zlib.Z_DEFAULT_COMPRESSION, zlib.DEFLATED, -bits, level
        )
        self.last: dict[type, bytes] = {}

    def encode(self, message: typing.Any) -> bytes:
        """Return a message as one compact frame.

        A message that fails leaves the shared history as it is.

        Raises:
            EncodeError: No frame can hold it.
        """
        kind = type(message)
        if kind in TYPES_WITH_BODY:
            return self._streamed(message)
        data = frames.pack(message)
        if len(data) <= MAX_STREAMED_BYTES:
            return _frame(kind, Form.STREAMED, self._deflate(data))
        frames.check_size(kind, len(data))
        base = self.last.get(kind)
        if kind in PATCHED_TYPES:
            self.last[kind] = data
        if base is not None:
            patch = frames.pack(patches.make(base, data))
            return _frame(kind, Form.PATCHED, zlib.compress(patch, 1))
        return _frame(kind, Form.DEFLATED, zlib.compress(data, 1))

    def _streamed(self, message: typing.Any) -> bytes:
        """Return a message whose body stays as it is."""
        kind = type(message)
        body, message.body = message.body, b""
        try:
            data = frames.pack(message)
        finally:
            message.body = body
        frames.check_size(kind, len(data) + len(body or b""))
        if len(data) > MAX_STREAMED_BYTES:
            return _frame(kind, Form.PLAIN, frames.pack(message))
        head = self._deflate(data)
        payload = TAIL.pack(len(head)) + head + (body or b"")
        return _frame(kind, Form.STREAMED, payload)

    def _deflate(self, data: bytes) -> bytes:
        written = self.stream.compress(data)
        written += self.stream.flush(zlib.Z_SYNC_FLUSH)
        return written.removesuffix(SYNC_MARK)


def _window_bits(subscribed: bool) -> int:
    return SUBSCRIBED_WINDOW_BITS if subscribed else REQUEST_WINDOW_BITS


def _frame(kind: type, form: Form, payload: bytes) -> bytes:
    return HEADER.pack(len(payload) + 2, frames.CODES[kind], form) + payload


class Decoder:
    """Reads the compact frames of one direction of a connection.

    Args:
        subscribed: Whether it is a subscribed link.
    """

    __slots__ = ("stream", "last")

    def __init__(self, subscribed: bool) -> None:
        self.stream = zlib.decompressobj(-_window_bits(subscribed))
        self.last: dict[type, bytes] = {}

    def decode(self, code: int, data: bytes) -> typing.Any:
        """Return the message of a frame.

        Args:
            code: Code of its type.
            data: The form and the message in it.

        Raises:
            FrameError: The frame is malformed or does not fit the history.
        """
        if not data or not 0 <= code < len(frames.TYPES):
            raise errors.FrameError("malformed compact frame")
        kind = frames.TYPES[code]
        form, payload = data[0], data[1:]
        match form:
            case Form.PLAIN:
                return frames.unpack(kind, payload)
            case Form.DEFLATED:
                return self._remembered(kind, frames.decompress(payload))
            case Form.PATCHED:
                return self._remembered(kind, self._patched(kind, payload))
            case Form.STREAMED:
                return self._streamed(kind, payload)
        raise errors.FrameError(f"unknown form of a frame: {form}")

    def _remembered(self, kind: type, data: bytes) -> typing.Any:
        if kind in PATCHED_TYPES:
            self.last[kind] = data
        return frames.unpack(kind, data)

    def _patched(self, kind: type, payload: bytes) -> bytes:
        base = self.last.get(kind)
        if base is None:
            raise errors.FrameError("a patch without a base")
        patch = frames.unpack(messages.Patch, frames.decompress(payload))
        return patches.apply(base, patch)

    def _streamed(self, kind: type, payload: bytes) -> typing.Any:
        if kind not in TYPES_WITH_BODY:
            return frames.unpack(kind, self._inflate(payload))
        if len(payload) < TAIL.size:
            raise errors.FrameError("malformed compact frame")
        head_end = TAIL.size + TAIL.unpack_from(payload)[0]
        message = frames.unpack(
            kind, self._inflate(payload[TAIL.size : head_end])
        )
        message.body = payload[head_end:]
        return message

    def _inflate(self, data: bytes) -> bytes:
        try:
            inflated = self.stream.decompress(
                data + SYNC_MARK, MAX_STREAMED_BYTES
            )
        except zlib.error as error:
            raise errors.FrameError(f"malformed compression: {error}")
        if self.stream.unconsumed_tail or self.stream.eof:
            raise errors.FrameError("a compact message is too large")
        return inflated
