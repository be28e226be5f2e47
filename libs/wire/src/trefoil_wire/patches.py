"""Differences between two byte strings that have long parts in common."""

import re

from trefoil_model import errors
from trefoil_model import hashing

from . import messages

# A structure in Thrift's compact protocol ends with a zero byte, an object of
# a JSON document with a brace, and an item of a YAML document with its line.
PART = re.compile(rb"[^\x00}\n]{0,511}[\x00}\n]|[^\x00}\n]{1,512}")


def make(base: bytes, new: bytes) -> messages.Patch:
    """Return what turns one byte string into another."""
    position_of = _positions(base)
    pieces: list[messages.PatchPiece] = []
    literal = bytearray()
    for part in _parts(new):
        last = pieces[-1] if pieces and not literal else None
        if last is not None and last.length:
            end = last.offset + last.length
            if base.startswith(part, end):
                last.length += len(part)
                continue
        offset = position_of.get(part)
        if offset is None:
            literal += part
            continue
        if literal:
            pieces.append(messages.PatchPiece(0, 0, bytes(literal)))
            literal.clear()
        pieces.append(messages.PatchPiece(offset, len(part), b""))
    if literal:
        pieces.append(messages.PatchPiece(0, 0, bytes(literal)))
    return messages.Patch(pieces, hashing.hash64(new))


def apply(base: bytes, patch: messages.Patch) -> bytes:
    """Return the byte string that a patch makes of its base.

    Raises:
        FrameError: The patch was made for another base.
    """
    made = bytearray()
    for piece in patch.pieces:
        if piece.length:
            made += base[piece.offset : piece.offset + piece.length]
        else:
            made += piece.literal
    new = bytes(made)
    if hashing.hash64(new) != patch.digest:
        raise errors.FrameError("a patch does not fit its base")
    return new


def _parts(data: bytes) -> list[bytes]:
    """Return the parts of a byte string, cut where its content says so."""
    return PART.findall(data)


def _positions(data: bytes) -> dict[bytes, int]:
    """Return where each part of a byte string begins."""
    positions: dict[bytes, int] = {}
    position = 0
    for part in _parts(data):
        positions.setdefault(part, position)
        position += len(part)
    return positions
