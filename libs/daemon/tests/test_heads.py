"""Heads that are no heads, in requests and in answers.

A line that two readers read differently lets one message hide another.
"""

import itertools

import pytest

from trefoil_daemon import _http
from trefoil_model import errors

MAX_BODY = 1000
TOKEN_SIGNS = b"!#$%&'*+-.^_`|~"
TOKEN_BYTES = TOKEN_SIGNS + bytes(
    byte
    for byte in range(0x30, 0x7B)
    if chr(byte).isascii() and chr(byte).isalnum()
)
# What is no part of a name, but for the colon, which ends one.
ODD_NAME_BYTES = bytes(sorted({*range(256)} - {*TOKEN_BYTES} - {ord(":")}))
ODD_VALUE_BYTES = bytes([*range(9), *range(10, 32), 0x7F])
START_LINES = {
    _http.REQUEST: b"GET / HTTP/1.1\r\nHost: x\r\n",
    _http.RESPONSE: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
}
KINDS = tuple(START_LINES)


def read(kind: int, head: bytes) -> _http.Message | None:
    """Return the message of a head."""
    return _http.MessageReader(kind, MAX_BODY).feed(head)


def read_field(kind: int, line: bytes) -> _http.Message | None:
    """Return the message of a head with one more line."""
    return read(kind, START_LINES[kind] + line + b"\r\n\r\n")


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("name", [b"%ca", b"a%cb", b"a%c"])
def test_a_byte_that_no_name_may_hold_is_refused(
    kind: int, name: bytes
) -> None:
    """A blank or control byte in a name reached the other side in a line."""
    for byte in ODD_NAME_BYTES:
        with pytest.raises(errors.ProtocolError):
            read_field(kind, name % byte + b": 1")


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("value", [b"%ca", b"a%cb", b"a%c"])
def test_a_control_byte_in_a_value_is_refused(kind: int, value: bytes) -> None:
    """A bare line end in a value began a field of its own elsewhere."""
    for byte in ODD_VALUE_BYTES:
        with pytest.raises(errors.ProtocolError):
            read_field(kind, b"A: " + value % byte)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("name", [b"Content Length", b"Content-Length\x0b"])
def test_a_name_that_others_take_for_a_length_is_refused(
    kind: int, name: bytes
) -> None:
    """Two readers disagreed on where the body ends."""
    line = START_LINES[kind].partition(b"\r\n")[0] + b"\r\n"
    with pytest.raises(errors.ProtocolError):
        read(kind, line + name + b": 2\r\n\r\nab")


@pytest.mark.parametrize("kind", KINDS)
def test_a_sound_head_stays_sound(kind: int) -> None:
    """Tabs, bytes above 0x7f and empty values are allowed."""
    names = [b"a%cb" % byte for byte in TOKEN_BYTES]
    values = [b"", b" ", b"a\tb", b"\t a \t", b"\x80\xff", b'a:b;c="d"']
    for name, value in itertools.product(names, values):
        line = name + b":" + value
        message = read_field(kind, line)
        assert message.fields[name.lower()] == value.strip(b" \t")
        assert line + b"\r\n" in message.headers


@pytest.mark.parametrize("status", [100, 199, 200, 226, 404, 418, 599])
def test_a_status_of_a_known_class_is_read(status: int) -> None:
    """No sound answer is taken for a malformed one."""
    head = b"HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n" % status
    assert read(_http.RESPONSE, head).status == status


@pytest.mark.parametrize(
    "line",
    [
        b"HTTP/1.1 000 OK",
        b"HTTP/1.1 099 OK",
        b"HTTP/1.1 600 OK",
        b"HTTP/1.1 999 OK",
        b"HTTP/01.1 200 OK",
        b"HTTP/1.01 200 OK",
        b"HTTP/1.1  200 OK",
        b"HTTP/1.1\t200 OK",
        b" HTTP/1.1 200 OK",
        b"HTTP/1.2 200 OK",
        b"http/1.1 200 OK",
    ],
)
def test_a_line_that_is_no_status_line_is_refused(line: bytes) -> None:
    """Clients got an answer with the status 000."""
    with pytest.raises(errors.ProtocolError):
        read(_http.RESPONSE, line + b"\r\nContent-Length: 0\r\n\r\n")


@pytest.mark.parametrize(
    "line",
    [
        b"GET / HTTP/01.1",
        b"GET / HTTP/1.01",
        b"GET  / HTTP/1.1",
        b"GET / HTTP/1.1 ",
        b" GET / HTTP/1.1",
        b"GET\t/ HTTP/1.1",
        b"G\x0bT / HTTP/1.1",
        b"GET /a\x0bb HTTP/1.1",
        b"GET /a\nb HTTP/1.1",
        b"GET /a\x00 HTTP/1.1",
        b"GET /\nX: y HTTP/1.1",
        b"G(T / HTTP/1.1",
    ],
)
def test_a_line_that_is_no_request_line_is_refused(line: bytes) -> None:
    """A line end in a path began a field of its own at the target."""
    with pytest.raises(errors.ProtocolError):
        read(_http.REQUEST, line + b"\r\nHost: x\r\n\r\n")


@pytest.mark.parametrize(
    "lines",
    [
        b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        b"Content-Length: 0\r\nContent-Length: 0",
        b"Transfer-Encoding: \x0bchunked",
        b"Transfer-Encoding: chunked\x0c",
    ],
)
@pytest.mark.parametrize("kind", KINDS)
def test_an_unclear_length_is_refused(kind: int, lines: bytes) -> None:
    """The last of several codings was taken for the only one."""
    line = START_LINES[kind].partition(b"\r\n")[0] + b"\r\n"
    with pytest.raises(errors.ProtocolError):
        read(kind, line + lines + b"\r\n\r\n0\r\n\r\n")


@pytest.mark.parametrize("kind", KINDS)
def test_chunks_in_a_version_without_them_are_refused(kind: int) -> None:
    """A reader of HTTP/1.0 takes the chunks for the body."""
    line = START_LINES[kind].partition(b"\r\n")[0].replace(b"1.1", b"1.0")
    with pytest.raises(errors.ProtocolError):
        read(kind, line + b"\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")


def test_a_second_host_is_refused() -> None:
    """A request was routed by one host and run by its target as another."""
    with pytest.raises(errors.ProtocolError):
        read_field(_http.REQUEST, b"Host: y")


@pytest.mark.parametrize("path", [b"/a%c", b"/%c/a", b"/a%cb?c=%%20"])
def test_each_byte_of_a_path_is_kept(path: bytes) -> None:
    """A last byte that is a blank in Latin-1 was dropped: another path ran."""
    for byte in [*range(0x21, 0x7F), *range(0x80, 0x100)]:
        target = path % byte
        head = b"GET " + target + b" HTTP/1.1\r\nHost: x\r\n\r\n"
        message = read(_http.REQUEST, head)
        assert message.path.encode("latin-1") == target
        assert message.method == "GET"
