"""Logs a proxy that serves an older revision than its peers name."""

import typing

from trefoil_model import effects as common

if typing.TYPE_CHECKING:
    from . import proxy_process

# A change reaches every connected proxy well within this time.
NORMAL_LAG_MS = 1000
NOTE_INTERVAL_MS = 1000


class ConfigLag:
    """Watches how far a proxy is behind the newest revision it heard of.

    The line names what callers get, what the core has put in force and what
    it holds, and the links: no links, links that break at once and a revision
    that was put in force only in part look alike to callers.

    Args:
        process: The proxy process.
    """

    __slots__ = ("process", "since_ms", "noted_ms", "links_opened")

    def __init__(self, process: "proxy_process.ProxyProcess") -> None:
        self.process = process
        self.since_ms = 0
        self.noted_ms = 0
        self.links_opened = 0

    @property
    def newest(self) -> int:
        """Return the newest revision that a peer has named."""
        return self.process.node.config.newest_named

    @property
    def served_revision(self) -> int:
        """Return the revision that callers are served by, 0 for none."""
        table = self.process.entry.placement.table
        return table.revision if table is not None else 0

    def tick(self, now_ms: int) -> None:
        """Log once each interval while callers get an old revision."""
        served = self.served_revision
        if not served or served >= self.newest:
            self.since_ms = 0
            self.links_opened = 0
            return
        self.since_ms = self.since_ms or now_ms
        due_ms = max(
            self.since_ms + NORMAL_LAG_MS, self.noted_ms + NOTE_INTERVAL_MS
        )
        if now_ms >= due_ms:
            self.noted_ms = now_ms
            self._note(now_ms)

    def _note(self, now_ms: int) -> None:
        node = self.process.node
        fields = {
            "newest": self.newest,
            "served": self.served_revision,
            "in_force": node.config.in_force.revision,
            "held": node.config.held.revision,
            "behind_ms": now_ms - self.since_ms,
            "links": len(node.links),
            "links_opened": self.links_opened,
        }
        self.links_opened = 0
        self.process.driver.note(
            common.Note("config.behind", fields, "warning")
        )
