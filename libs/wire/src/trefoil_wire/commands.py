"""Commands of log entries: a type code and a message, compressed on disk."""

import lzma
import typing
import zlib

from trefoil_model import errors

from . import frames

ZLIB_MIN_BYTES = 2048
# zlib finds no repetition beyond its window of 32 KiB. A configuration names
# each route twice, in the submitted document and in its parsed form, so larger
# commands are compressed with LZMA.
LZMA_MIN_BYTES = 32 * 1024
XZ_MAGIC = b"\xfd7zXZ\x00"
# The top bit of the type code, which is free: there are far fewer than 128
# message types.
COMPRESSED_FLAG = 0x80


def encode(message: typing.Any) -> bytes:
    """Return a message as the command of a log entry.

    It is not compressed: between processes, a command is sent as a patch of
    the one before it.
    """
    code, body = frames.pack_any(message)
    return bytes((code,)) + body


def compress(command: bytes) -> bytes:
    """Return a command as it is stored on disk.

    This shrinks a configuration of hundreds of routes to a tenth.
    """
    code, body = command[0], command[1:]
    if code & COMPRESSED_FLAG or len(body) < ZLIB_MIN_BYTES:
        return command
    if len(body) < LZMA_MIN_BYTES:
        return bytes((code | COMPRESSED_FLAG,)) + zlib.compress(body, 1)
    return bytes((code | COMPRESSED_FLAG,)) + lzma.compress(body, preset=0)


def decompress(command: bytes) -> bytes:
    """Return a command as it is kept in memory.

    Raises:
        FrameError: The command is malformed.
    """
    if not command[0] & COMPRESSED_FLAG:
        return command
    body = command[1:]
    try:
        is_xz = body.startswith(XZ_MAGIC)
        body = lzma.decompress(body) if is_xz else zlib.decompress(body)
    except (lzma.LZMAError, zlib.error) as error:
        raise errors.FrameError(f"cannot decompress log entry: {error}")
    return bytes((command[0] & ~COMPRESSED_FLAG,)) + body


def type_code(command: bytes) -> int:
    """Return the type code of a command's message."""
    return command[0] & ~COMPRESSED_FLAG


def decode(command: bytes) -> typing.Any:
    """Return the message of a command.

    Raises:
        FrameError: The command is malformed.
    """
    plain = decompress(command)
    return frames.unpack_any(plain[0], plain[1:])
