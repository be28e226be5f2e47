"""Framing of messages between processes.

A frame is a four-byte length, a byte that names the type of the struct and
the struct itself, which may be compressed. The length counts the bytes after
it. A frame that is too large, malformed or of an unknown type raises
``FrameError``; the connection must then be closed, since the start of the
next frame is unknown.
"""

import struct
import typing
import zlib

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from trefoil_model import errors

from . import messages

MAX_FRAME_BYTES = 4 * 1024 * 1024
HEADER = struct.Struct(">IB")
HEADER_BYTES = HEADER.size
# The length of a frame also counts what is before and around the message.
MAX_MESSAGE_BYTES = MAX_FRAME_BYTES - 1024

# The index of a type is its code on the wire: append, never reorder.
TYPES: tuple[type, ...] = (
    messages.ConfigDelta,
    messages.ConfigPull,
    messages.VoteRequest,
    messages.VoteReply,
    messages.AppendRequest,
    messages.AppendReply,
    messages.SnapshotRequest,
    messages.JoinRequest,
    messages.CommandRequest,
    messages.CommandReply,
    messages.Query,
    messages.QueryReply,
    messages.Hello,
    messages.HelloReply,
    messages.Heartbeat,
    messages.RecordsDelta,
    messages.RecordsSummary,
    messages.FloorQuery,
    messages.FloorReply,
    messages.HeldNotice,
    messages.HeldAck,
    messages.EvidenceReport,
    messages.Request,
    messages.Answer,
    messages.Cancel,
    messages.Ping,
    messages.Pong,
    messages.CrashNotice,
    messages.Claim,
    messages.ClaimReply,
    messages.ClaimDone,
    messages.ClaimRelease,
    messages.LedgerPull,
    messages.LedgerPush,
    messages.ApplyConfiguration,
    messages.StartMove,
    messages.StepMove,
    messages.EndMove,
    messages.ReverseMove,
    messages.DrainHost,
    messages.CancelCommand,
    messages.Noop,
    messages.ChangeVoters,
    messages.Report,
    messages.Reports,
    messages.ControlHosts,
    messages.AdoptVersion,
    messages.BodyPull,
    messages.BodyPiece,
    messages.RepeatArrived,
    messages.EvacuateDomain,
    messages.RevisionQuery,
    messages.RevisionReply,
    messages.TokenAsk,
    messages.TokenReply,
    messages.LoadReport,
    messages.DomainLoads,
    messages.AnnouncementFloors,
    messages.DeadlineUpdate,
)
# Configurations and lists of hosts repeat the same names hundreds of times.
# The documents that operators read and write make up a third of the bytes
# between failure domains at low load; compression shrinks them to a tenth.
# Callers' requests and answers are not compressed, which would add latency.
COMPRESSED_TYPES = frozenset(
    (
        messages.ConfigDelta,
        messages.CommandRequest,
        messages.QueryReply,
        messages.RecordsDelta,
        messages.RecordsSummary,
        messages.EvidenceReport,
        messages.Reports,
    )
)
COMPRESS_MIN_BYTES = 512
COMPRESSED_FLAG = 0x80
CODES: dict[type, int] = {kind: code for code, kind in enumerate(TYPES)}
PROTOCOL_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES,
    container_length_limit=MAX_FRAME_BYTES,
)


def pack(record: typing.Any) -> bytes:
    """Return a struct in Thrift's compact protocol, without a frame.

    Raises:
        EncodeError: A field holds text that is no Unicode, a number that is
            too large for it or a value of another type.
    """
    buffer = TTransport.TMemoryBuffer()
    try:
        record.write(PROTOCOL_FACTORY.getProtocol(buffer))
    except (ValueError, TypeError, OverflowError) as error:
        raise errors.EncodeError(
            f"{type(record).__name__} cannot be encoded: {error}"
        )
    return buffer.getvalue()


def unpack(kind: type, data: bytes) -> typing.Any:
    """Read a struct of a given type.

    Raises:
        FrameError: The bytes are not a struct of this type.
    """
    record = kind()
    try:
        record.read(
            PROTOCOL_FACTORY.getProtocol(TTransport.TMemoryBuffer(data))
        )
    except Exception as error:
        # On malformed input the accelerated decoder raises various errors
        # (EOFError, TypeError, TProtocolException, UnicodeDecodeError).
        raise errors.FrameError(f"malformed {kind.__name__}: {error}")
    return record


def check_size(kind: type, size: int) -> None:
    """Check that a receiver accepts this many bytes of a message.

    Raises:
        EncodeError: There are too many.
    """
    if size > MAX_MESSAGE_BYTES:
        raise errors.EncodeError(f"{kind.__name__} has {size} bytes")


def encode(message: typing.Any) -> bytes:
    """Return a message as one frame.

    Raises:
        EncodeError: No frame can hold it.
    """
    body = pack(message)
    check_size(type(message), len(body))
    code = CODES[type(message)]
    if type(message) in COMPRESSED_TYPES and len(body) >= COMPRESS_MIN_BYTES:
        body = zlib.compress(body, 1)
        code |= COMPRESSED_FLAG
    return HEADER.pack(len(body) + 1, code) + body


def decompress(data: bytes) -> bytes:
    """Return a decompressed body.

    Raises:
        FrameError: The data is malformed, truncated or decompresses to more
            than ``MAX_FRAME_BYTES``.
    """
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise errors.FrameError(f"malformed compression: {error}")
    if not decompressor.eof:
        # A few bytes can decompress to gigabytes; without the limit the
        # process would run out of memory.
        raise errors.FrameError(
            "compressed body is truncated or decompresses to more than a frame"
        )
    return body


def pack_any(message: typing.Any) -> tuple[int, bytes]:
    """Return a message's type code and its bytes, to be stored separately."""
    return CODES[type(message)], pack(message)


def unpack_any(code: int, data: bytes) -> typing.Any:
    """Read a struct by its type code.

    Raises:
        FrameError: The code is unknown or the bytes are malformed.
    """
    if not 0 <= code < len(TYPES):
        raise errors.FrameError(f"unknown message code {code}")
    return unpack(TYPES[code], data)


class Decoder(typing.Protocol):
    """Reads the frames after a greeting that switches their form."""

    def decode(self, code: int, data: bytes) -> typing.Any:
        """Return the message of a frame."""


class FrameReader:
    """Decodes messages from a byte stream, in bounded memory.

    Args:
        limit: Largest accepted length of a frame, in bytes.
        first_limit: The same of the first frame; 0 for no other one.
        make_decoder: Makes the decoder of the frames after a greeting that
            switches their form; without one, such a greeting is an error.

    ``held_bytes`` is what has been received of an incomplete frame,
    ``expected_bytes`` its length, 0 while that is not known.
    """

    __slots__ = (
        "pieces",
        "held_bytes",
        "expected_bytes",
        "limit",
        "later_limit",
        "make_decoder",
        "decoder",
    )

    def __init__(
        self,
        limit: int = MAX_FRAME_BYTES,
        first_limit: int = 0,
        make_decoder: typing.Callable[[], Decoder] | None = None,
    ) -> None:
        self.pieces: list[bytes] = []
        self.held_bytes = 0
        self.expected_bytes = 0
        self.limit = first_limit or limit
        self.later_limit = limit
        self.make_decoder = make_decoder
        self.decoder: Decoder | None = None

    def feed(self, data: bytes) -> list[typing.Any]:
        """Add received bytes and return the messages that are now complete.

        Raises:
            FrameError: A frame is invalid; the stream cannot be read further.
        """
        self.held_bytes += len(data)
        if self.held_bytes < self.expected_bytes:
            # To join them each time would copy a long frame many times.
            self.pieces.append(data)
            return []
        buffer = b"".join((*self.pieces, data)) if self.pieces else data
        decoded = []
        start = 0
        self.expected_bytes = 0
        end = len(buffer)
        while end - start >= HEADER_BYTES:
            length, code = HEADER.unpack_from(buffer, start)
            if not 1 <= length <= self.limit:
                raise errors.FrameError(
                    f"invalid frame length: {length} bytes"
                )
            frame_end = start + 4 + length
            if frame_end > end:
                self.expected_bytes = frame_end - start
                break
            body = buffer[start + HEADER_BYTES : frame_end]
            decoded.append(self._decode(code, body))
            self.limit = self.later_limit
            start = frame_end
        self.held_bytes = end - start
        self.pieces = [buffer[start:]] if start < end else []
        return decoded

    def drop(self) -> None:
        """Forget an incomplete frame; nothing more will come."""
        self.pieces = []
        self.held_bytes = self.expected_bytes = 0

    def _decode(self, code: int, body: bytes) -> typing.Any:
        if self.decoder is not None:
            return self.decoder.decode(code, body)
        if code & COMPRESSED_FLAG:
            code, body = code & ~COMPRESSED_FLAG, decompress(body)
        message = unpack_any(code, body)
        if isinstance(message, messages.Hello) and message.switches:
            if self.make_decoder is None:
                raise errors.FrameError("compact frames are not read here")
            self.decoder = self.make_decoder()
        return message
