"""Checks of the lines of an HTTP/1 head (RFC 9110, 5; RFC 9112, 3 to 5).

A line that is passed on is read again by the next process. Where the two
readers disagree on a name, a line end or a length, bytes of one message are
taken for another one.
"""

import re
import typing

from trefoil_model import errors

# Spaces and tabs; other white space is part of a value and not allowed there.
BLANKS = b" \t"
TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
# A tab is no control character here: it may stand wherever a space may.
TEXT = rb"[^\x00-\x08\x0a-\x1f\x7f]*+"
FIELD_LINES = re.compile(rb"(?:" + TOKEN + rb":" + TEXT + rb"\r\n)*+")
REQUEST_LINE = re.compile(
    rb"(?P<method>" + TOKEN + rb") (?P<target>[^\x00-\x20\x7f]+) "
    rb"HTTP/(?P<version>[0-9]\.[0-9])"
)
# Statuses above 599 have no class; a client would take them for a 5xx, and a
# proxy cannot tell whether the request ran.
STATUS_LINE = re.compile(
    rb"(HTTP/1\.[01] [1-5][0-9][0-9])(?: (" + TEXT + rb"))?"
)
VERSIONS = (b"1.0", b"1.1")


def split_request_line(line: bytes) -> tuple[bytes, str]:
    """Return a request line without its target, and the target.

    circuits.web takes some bytes of a target for white space and drops them.

    Raises:
        ProtocolError: The line is malformed or of another version.
    """
    matched = REQUEST_LINE.fullmatch(line)
    if matched is None:
        raise errors.ProtocolError(400, "bad request line")
    if matched["version"] not in VERSIONS:
        raise errors.ProtocolError(505, "only HTTP/1.0 and HTTP/1.1")
    rest = b"%s / HTTP/%s" % (matched["method"], matched["version"])
    return rest, matched["target"].decode("latin-1")


def split_status_line(line: bytes) -> tuple[bytes, str]:
    """Return a status line without its reason phrase, and the phrase.

    circuits.web refuses hyphens, dots and other signs in a phrase, such as
    in that of status 203.

    Raises:
        ProtocolError: The line is malformed or has no valid status.
    """
    matched = STATUS_LINE.fullmatch(line)
    if matched is None:
        raise errors.ProtocolError(400, "bad status line")
    return matched[1] + b" ", (matched[2] or b"").decode("latin-1")


def check_field_lines(lines: bytes) -> None:
    """Check the field lines of a head, each with its line end.

    Raises:
        ProtocolError: A name is no token, or a value has control characters.
    """
    if FIELD_LINES.fullmatch(lines) is None:
        raise errors.ProtocolError(400, "bad header line")


def check_no_transfer_coding(fields: typing.Mapping[bytes, bytes]) -> None:
    """Check the fields of a message in HTTP/1.0, which knows no chunks.

    Raises:
        ProtocolError: It claims to have a transfer coding.
    """
    if b"transfer-encoding" in fields:
        raise errors.ProtocolError(400, "unclear length")
