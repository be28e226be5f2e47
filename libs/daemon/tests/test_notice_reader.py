"""Tests of the statements that targets make in the headers of answers."""

import pytest

from trefoil_daemon import _http
from trefoil_daemon import dialect as dialects
from trefoil_daemon import notice_reader
from trefoil_requests import notices


def read(*lines: str) -> notices.Notice:
    """Return what an answer with some header lines states."""
    head = "".join(f"{line}\r\n" for line in lines)
    reader = _http.MessageReader(_http.RESPONSE, 1024)
    message = reader.feed(
        f"HTTP/1.1 200 OK\r\n{head}Content-Length: 0\r\n\r\n".encode()
    )
    return notice_reader.read(message, dialects.DEFAULT)


def test_an_answer_without_the_headers_states_nothing() -> None:
    assert read("Server: some") is notices.NONE


@pytest.mark.parametrize(
    ("stated", "per_s"),
    [("9.6", 9.6), ("15", 15.0), ("0", 0.0), ("0.25", 0.25), ("7.", 7.0)],
)
def test_a_decimal_number_is_a_limit(stated: str, per_s: float) -> None:
    notice = read(f"x-trefoil-rate-limit: {stated}")
    assert notice == notices.Notice(per_s)


@pytest.mark.parametrize(
    "stated",
    ["", "nine", "-1", "nan", "inf", "1e9", "9" * 400, "1,5,x", "٣", "0x10"],
)
def test_what_is_no_decimal_number_is_no_limit(stated: str) -> None:
    notice = read(f"X-Trefoil-Rate-Limit: {stated}")
    assert notice.limit_per_s is None
    assert notice.malformed_limit


def test_of_two_limits_in_one_answer_the_lowest_applies() -> None:
    first = "X-Trefoil-Rate-Limit: 12"
    second = "X-Trefoil-Rate-Limit: 4.5"
    assert read(first, second).limit_per_s == 4.5
    assert read(second, first).limit_per_s == 4.5
    assert read("X-Trefoil-Rate-Limit: 12, 4.5").limit_per_s == 4.5


def test_a_leaving_target_says_so_beside_its_limit() -> None:
    notice = read("X-Trefoil-Leaving: 1", "X-Trefoil-Rate-Limit: 3")
    assert notice == notices.Notice(3.0, leaving=True)
    assert not read("X-Trefoil-Leaving: 0").leaving
