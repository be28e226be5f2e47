"""Log lines: one event, key=value, and back again."""

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
    """A pipe that its reader may leave full."""

    def __init__(self) -> None:
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)

    def read(self) -> str:
        """Return what has come."""
        try:
            return os.read(self.reader, 1 << 20).decode()
        except BlockingIOError:
            return ""


def test_a_blocked_output_drops_lines_and_counts_them() -> None:
    """The log collector stops reading while callers are served.

    A process that waited for it would answer nobody. Once it reads again,
    every line is whole and the drops are told.
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
    told = [e for e in events if e["event"] == "log.left_out"]
    assert sum(int(e.get("dropped", 0)) for e in told) > 500


def test_a_storm_of_one_event_is_bounded() -> None:
    """A thousand refusals a second; the line after tells how many more."""
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
    assert names.count("request.refused") == logs.RATE_PER_EVENT + 1
    assert "config.in_force" in names
    (left,) = [e for e in events if e["event"] == "log.left_out"]
    assert left["request.refused"] == str(1000 - logs.RATE_PER_EVENT)
