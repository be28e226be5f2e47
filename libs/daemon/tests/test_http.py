"""HTTP messages cut out of a byte stream, and what is refused."""

import pytest

from trefoil_daemon import _http
from trefoil_model import errors

MAX_BODY = 1000


def reader(kind: int = _http.REQUEST) -> _http.MessageReader:
    return _http.MessageReader(kind, MAX_BODY)


@pytest.mark.parametrize("size", [1, 3, 17, 4000])
def test_pieces_make_the_same_message(size: int) -> None:
    data = (
        b"POST /a?b=c HTTP/1.1\r\nHost: x\r\nX-Odd: a\\nb \xe9\r\n"
        b"Set: 1\r\nSet: 2\r\nConnection: close, X-Hop\r\nX-Hop: y\r\n"
        b"Content-Length: 5\r\n\r\nhello"
    )
    cutter = reader()
    found = [
        message
        for start in range(0, len(data), size)
        if (message := cutter.feed(data[start : start + size]))
    ]
    (message,) = found
    assert (message.method, message.path) == ("POST", "/a?b=c")
    assert message.body == b"hello"
    assert not message.keep_alive
    # Header values go through untouched, hop-by-hop ones stay behind.
    assert message.headers == (
        b"Host: x\r\nX-Odd: a\\nb \xe9\r\nSet: 1\r\nSet: 2\r\n"
    )


def test_requests_that_follow_at_once_are_kept_apart() -> None:
    cutter = reader()
    one = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab"
    first = cutter.feed(one + one.replace(b"ab", b"cd"))
    second = cutter.next()
    assert (first.body, second.body) == (b"ab", b"cd")
    assert cutter.next() is None


def test_chunks_are_joined() -> None:
    cutter = reader()
    head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    assert cutter.feed(head + b"3\r\nabc\r\n") is None
    message = cutter.feed(b"2\r\nde\r\n0\r\n\r\n")
    assert message.body == b"abcde"


@pytest.mark.parametrize(
    ("case", "data", "status"),
    [
        ("noise", b"\x16\x03\x01\x02\x00\r\n\r\n", 400),
        ("no version", b"GET /\r\n\r\n", 400),
        ("HTTP/2", b"PRI * HTTP/2.0\r\n\r\n", 505),
        ("whole URL", b"GET http://x/ HTTP/1.1\r\nHost: x\r\n\r\n", 400),
        (
            "two lengths",
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\n"
            b"Content-Length: 2\r\n\r\n",
            400,
        ),
        (
            "length and chunks",
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n",
            400,
        ),
        (
            "other coding",
            b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
            400,
        ),
        ("bad length", b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (
            "space before colon",
            b"GET / HTTP/1.1\r\nHost : x\r\n\r\n",
            400,
        ),
        (
            "folded line",
            b"GET / HTTP/1.1\r\nHost: x\r\n y: z\r\n\r\n",
            400,
        ),
        (
            "large body",
            b"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n",
            413,
        ),
        ("endless head", b"GET / HTTP/1.1\r\nX: " + b"a" * 40_000, 431),
    ],
)
def test_malformed_requests_are_refused(
    case: str, data: bytes, status: int
) -> None:
    with pytest.raises(errors.ProtocolError) as found:
        reader().feed(data)
    assert found.value.status == status


def test_endless_chunks_are_refused() -> None:
    cutter = reader()
    cutter.feed(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
    with pytest.raises(errors.ProtocolError):
        for _ in range(3000):
            cutter.feed(b"40\r\n" + b"a" * 64 + b"\r\n")


def test_an_answer_that_is_cut_is_never_whole() -> None:
    """A target breaks off in the middle of an answer of known length."""
    cutter = reader(_http.RESPONSE)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"
    assert cutter.feed(head + b"12345") is None
    assert cutter.end() is None


def test_an_answer_without_a_length_ends_with_its_connection() -> None:
    cutter = reader(_http.RESPONSE)
    assert cutter.feed(b"HTTP/1.1 200 OK\r\n\r\nabc") is None
    message = cutter.end()
    assert (message.body, message.keep_alive) == (b"abc", False)


@pytest.mark.parametrize("status", [204, 304])
def test_answers_without_a_body(status: int) -> None:
    cutter = reader(_http.RESPONSE)
    data = f"HTTP/1.1 {status} x\r\nContent-Length: 7\r\n\r\n".encode()
    assert cutter.feed(data).body == b""
