"""The facade that a whole process is driven through.

A process engine (``ProxyProcess``, ``ControlProcess``) does no input or
output of its own. A daemon gives it a ``Carrier`` over circuits; a test or a
bench gives it one in memory, with its own clock, random generator and disk.
"""

import typing

from trefoil_model import effects as common
from trefoil_requests import call as calls
from trefoil_requests import effects as request_effects
from trefoil_wire import messages


class Driver(typing.Protocol):
    """What a process engine needs carried."""

    def link_send(self, host: str, message: typing.Any) -> None:
        """Send on a subscribed link; dropped if there is none."""

    def dial(self, host: str, address: str) -> None:
        """Open a subscribed link."""

    def close_link(self, host: str) -> None:
        """Close a subscribed link."""

    def probe(self, host: str, address: str) -> None:
        """Connect to a peer once and call the engine's ``on_probe_result``."""

    def request_send(
        self, host: str, address: str, message: typing.Any
    ) -> bool:
        """Send on a request link; False if the peer can't be reached."""

    def reply(self, origin: str, message: typing.Any) -> None:
        """Answer on the connection that a message came by."""

    def finish(self, final: calls.Final) -> None:
        """Give a caller its final answer."""

    def dispatch(self, effect: request_effects.Dispatch) -> None:
        """Run a request on a local target."""

    def abort(self, request_id: int) -> None:
        """Stop waiting for a local target."""

    def limit_callers(self, limits: messages.CallerLimits) -> None:
        """Take the configuration's limits for callers."""

    def check_target(self, effect: request_effects.CheckTarget) -> None:
        """Find out whether a local target takes connections.

        The engine's ``target_checked`` is told.
        """

    def check_warmup(
        self, effect: request_effects.CheckWarmup, path: str
    ) -> None:
        """Ask a local target how much longer it is cold.

        The engine's ``target_warmup`` is told.
        """

    def note(self, note: common.Note) -> None:
        """Write a log line."""

    def count(self, count: common.Count) -> None:
        """Add to a metric."""

    def observe(self, effect: request_effects.Observe) -> None:
        """Record a latency by tenant."""
