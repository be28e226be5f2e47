"""Frames: a length, the type of the struct, the struct, compressed or not.

The length counts what follows it. A frame that is too large, of an unknown
type or malformed raises ``FrameError``; the connection is then closed, since
nothing after such a frame can be told apart.
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

# The position of a type is its code on the wire: append, never reorder.
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
)
# Configurations and lists of hosts repeat the same names hundreds of times:
# documents that operators read and write were a third of what crossed between
# failure domains on a calm day, and shrink to a tenth. Callers' requests and
# answers are left as they are, for their latency.
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
COMPRESS_BYTES = 512
COMPRESSED = 0x80
CODES: dict[type, int] = {kind: code for code, kind in enumerate(TYPES)}
FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES,
    container_length_limit=MAX_FRAME_BYTES,
)


def pack(record: typing.Any) -> bytes:
    """Return a struct in the compact protocol, without a frame."""
    buffer = TTransport.TMemoryBuffer()
    record.write(FACTORY.getProtocol(buffer))
    return buffer.getvalue()


def unpack(kind: type, data: bytes) -> typing.Any:
    """Read a struct of a known type.

    Raises:
        FrameError: The bytes are not such a struct.
    """
    record = kind()
    try:
        record.read(FACTORY.getProtocol(TTransport.TMemoryBuffer(data)))
    except Exception as error:
        # The accelerated decoder raises whatever the damage leads to
        # (EOFError, TypeError, TProtocolException, UnicodeDecodeError).
        raise errors.FrameError(f"malformed {kind.__name__}: {error}")
    return record


def encode(message: typing.Any) -> bytes:
    """Return a message as one frame."""
    body = pack(message)
    code = CODES[type(message)]
    if type(message) in COMPRESSED_TYPES and len(body) >= COMPRESS_BYTES:
        body = zlib.compress(body, 1)
        code |= COMPRESSED
    return HEADER.pack(len(body) + 1, code) + body


def _inflate(data: bytes) -> bytes:
    """Return a compressed body, unless it is larger than a frame may be."""
    inflater = zlib.decompressobj()
    try:
        body = inflater.decompress(data, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise errors.FrameError(f"malformed compression: {error}")
    if not inflater.eof:
        # A few bytes may inflate to gigabytes; a process that took them all
        # would run out of memory.
        raise errors.FrameError("cut off, or larger than a frame may be")
    return body


def pack_any(message: typing.Any) -> tuple[int, bytes]:
    """Return a message's code and its bytes, for storing apart."""
    return CODES[type(message)], pack(message)


def unpack_any(code: int, data: bytes) -> typing.Any:
    """Read a struct by its code.

    Raises:
        FrameError: The code is unknown or the bytes are malformed.
    """
    if not 0 <= code < len(TYPES):
        raise errors.FrameError(f"unknown message code {code}")
    return unpack(TYPES[code], data)


class FrameReader:
    """Cuts a byte stream into messages, in bounded memory.

    Args:
        limit: Largest frame in bytes.
    """

    __slots__ = ("buffer", "limit")

    def __init__(self, limit: int = MAX_FRAME_BYTES) -> None:
        self.buffer = b""
        self.limit = limit

    def feed(self, data: bytes) -> list[typing.Any]:
        """Take bytes and return the messages that are now whole.

        Raises:
            FrameError: The stream can no longer be read.
        """
        buffer = self.buffer + data if self.buffer else data
        found = []
        start = 0
        end = len(buffer)
        while end - start >= HEADER_BYTES:
            length, code = HEADER.unpack_from(buffer, start)
            if not 1 <= length <= self.limit:
                raise errors.FrameError(f"frame of {length} bytes")
            stop = start + 4 + length
            if stop > end:
                break
            body = buffer[start + HEADER_BYTES : stop]
            if code & COMPRESSED:
                code, body = code & ~COMPRESSED, _inflate(body)
            found.append(unpack_any(code, body))
            start = stop
        self.buffer = buffer[start:]
        return found
