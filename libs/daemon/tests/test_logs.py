"""Log lines: quoting, parsing, dropped lines and the rate limit."""

import os

import pytest

from trefoil_daemon import logs
from trefoil_model import effects as common


@pytest.mark.parametrize(
    "value",
    ["plain", "", "two words", 'a "quote"', "line\nbreak", "k=v", "é", 7],
)
def test_values_parse_back(value: object) -> None:
    line = f"event=x value={logs.quote(value)} last=1"
    assert logs.parse(line) == {
        "event": "x",
        "value": str(value),
        "last": "1",
    }
    assert "\n" not in line


class Pipe:
    """A pipe whose reader need not read."""

    def __init__(self) -> None:
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)

    def read(self) -> str:
        """Return what has been written since the last read."""
        try:
            return os.read(self.reader, 1 << 20).decode()
        except BlockingIOError:
            return ""


def test_a_blocked_output_drops_and_counts_lines() -> None:
    """The log collector stops reading while callers are served.

    A blocking write would stop the process from serving them. Once the
    collector reads again, every line must be complete and the number of
    dropped lines be logged.
    """
    pipe = Pipe()
    now_s = [0.0]
    stream = logs.DroppingStream(pipe.writer)
    log = logs.EventLog("p", stream=stream, clock=lambda: now_s[0])
    for number in range(2000):
        now_s[0] += 1.0
        log.note(common.Note("x", {"number": number, "pad": "y" * 100}))
    text = pipe.read()
    now_s[0] += 1.0
    log.note(common.Note("x", {"number": "last"}))
    lines = (text + pipe.read()).splitlines()
    assert len(lines) < 1500
    events = [logs.parse(line) for line in lines]
    assert events[-1]["number"] == "last"
    summaries = [e for e in events if e["event"] == "log.left_out"]
    assert sum(int(e.get("dropped", 0)) for e in summaries) > 500


def test_a_burst_of_one_event_is_rate_limited() -> None:
    """Of 1000 events in a second, the excess is only counted and logged."""
    pipe = Pipe()
    now_s = [0.0]
    stream = logs.DroppingStream(pipe.writer)
    log = logs.EventLog("p", stream=stream, clock=lambda: now_s[0])
    for _ in range(1000):
        log.note(common.Note("request.refused"))
    log.note(common.Note("config.in_force", {"revision": 3}))
    now_s[0] = 1.5
    log.note(common.Note("request.refused"))
    events = [logs.parse(line) for line in pipe.read().splitlines()]
    names = [event["event"] for event in events]
    assert names.count("request.refused") == logs.MAX_LINES_PER_SECOND + 1
    assert "config.in_force" in names
    (summary,) = [e for e in events if e["event"] == "log.left_out"]
    assert summary["request.refused"] == str(1000 - logs.MAX_LINES_PER_SECOND)


def test_a_value_of_any_length_makes_a_line_of_bounded_length() -> None:
    """Callers name their requests, and a crowd of them filled the log."""
    pipe = Pipe()
    log = logs.EventLog("p", stream=logs.DroppingStream(pipe.writer))
    log.note(common.Note("request.refused", {"id": "x" * 30_000, "last": 1}))
    event = logs.parse(pipe.read().splitlines()[0])
    assert len(event["id"]) <= logs.MAX_VALUE_CHARS + 3
    assert event["last"] == "1"
