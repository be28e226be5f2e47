"""Tests of the log line for a proxy that serves an old revision."""

import random

import pytest

from trefoil_daemon import proxy_process
from trefoil_fleet import items as item_store
from trefoil_model import clock as clocks
from trefoil_model import effects as common
from trefoil_settings import settings as setting_store
from trefoil_wire import messages

SETTINGS = """\
host: 127.0.0.1
domain: ariana
callers: 127.0.0.1:0
peers: 127.0.0.1:0
admin: 127.0.0.1:0
join: ["10.0.0.1:8000"]
"""
CONTROL = "10.0.0.1"


class Driver:
    """Records log lines and ignores all other effects."""

    def __init__(self) -> None:
        self.notes: list[common.Note] = []

    def __getattr__(self, name: str) -> object:
        return lambda *args: None

    def note(self, note: common.Note) -> None:
        """Record a log line."""
        self.notes.append(note)


class Proxy:
    """A proxy engine at revision 4 with a paused clock."""

    def __init__(self) -> None:
        self.clock = clocks.PausedClock()
        self.driver = Driver()
        parsed = setting_store.parse(SETTINGS, "proxy")
        assert parsed.is_ok(), str(parsed.error)
        self.process = proxy_process.ProxyProcess(
            parsed.ok,
            peers_address="127.0.0.1:1",
            driver=self.driver,
            clock=self.clock,
            rng=random.Random(1),
        )
        self.put_in_force(item_store.Items(4))

    def put_in_force(self, items: item_store.Items) -> None:
        """Serve a revision."""
        config = self.process.node.config
        config.held = config.in_force = items
        self.process.put_in_force(items)

    def link(self) -> None:
        """Open a link to a control host that names revision 7."""
        hello = messages.Hello(CONTROL, "ariana", "c:1", 1, True, 7)
        self.process.link_up(CONTROL, hello, False)

    def run(self, duration_ms: int) -> list[dict[str, object]]:
        """Let time pass; return the fields of the lines on the lag."""
        self.driver.notes.clear()
        for _ in range(duration_ms // 50):
            self.clock.advance(50)
            self.process.tick()
        return [
            dict(note.fields)
            for note in self.driver.notes
            if note.event == "config.behind"
        ]


def test_links_that_break_at_once_show_in_the_lag() -> None:
    """The revision is known but never arrives."""
    proxy = Proxy()
    lines = []
    for _ in range(30):
        proxy.link()
        proxy.process.link_down(CONTROL, 0)
        lines += proxy.run(100)
    assert len(lines) == 2
    assert lines[0] == {
        "newest": 7,
        "served": 4,
        "in_force": 4,
        "held": 4,
        "behind_ms": 1000,
        "links": 0,
        "links_opened": 11,
    }


def test_a_revision_in_force_for_the_core_alone_shows_in_the_lag() -> None:
    """An effect was lost: callers are still served by the older revision."""
    proxy = Proxy()
    proxy.link()
    config = proxy.process.node.config
    config.held = config.in_force = item_store.Items(7)
    (line,) = proxy.run(1100)
    assert (line["served"], line["in_force"], line["held"]) == (4, 7, 7)
    assert line["links"] == 1


@pytest.mark.parametrize("lag_ms", [0, 500])
def test_a_change_that_arrives_in_time_logs_nothing(lag_ms: int) -> None:
    proxy = Proxy()
    proxy.link()
    assert not proxy.run(lag_ms)
    proxy.put_in_force(item_store.Items(7))
    assert not proxy.run(2000)
