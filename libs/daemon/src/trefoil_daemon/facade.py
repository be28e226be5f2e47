"""The interface between a process engine and its input and output.

A process engine (``ProxyProcess``, ``ControlProcess``) does no input or
output itself. A daemon passes it a ``Driver`` over circuits; a test or a
benchmark passes one in memory, with its own clock, random generator and disk.
"""

import typing

from trefoil_model import effects as common
from trefoil_requests import call as calls
from trefoil_requests import effects as request_effects
from trefoil_wire import messages


class Driver(typing.Protocol):
    """The input and output that a process engine needs."""

    def link_send(self, host: str, message: typing.Any) -> None:
        """Send on a subscribed link; drop the message if there is none."""

    def dial(self, host: str, address: str) -> None:
        """Open a subscribed link."""

    def close_link(self, host: str) -> None:
        """Close a subscribed link."""

    def probe(self, host: str, address: str) -> None:
        """Connect to a peer once.

        Calls the fleet core's ``on_probe_result`` with the result.
        """

    def request_send(
        self, host: str, address: str, message: typing.Any
    ) -> bool:
        """Send on a request link; open one if there is none.

        Returns:
            False if there is neither a link nor an address.
        """

    def reply(self, origin: str, message: typing.Any) -> None:
        """Reply on the connection that a message was received on."""

    def finish(self, final: calls.Final) -> None:
        """Send a caller its final answer."""

    def dispatch(self, effect: request_effects.Dispatch) -> None:
        """Run a request on a local target."""

    def abort(self, request_id: int) -> None:
        """Stop waiting for a local target."""

    def limit_callers(self, limits: messages.CallerLimits) -> None:
        """Apply the configuration's limits for callers."""

    def check_target(self, effect: request_effects.CheckTarget) -> None:
        """Connect to a local target once.

        Calls the engine's ``target_checked`` with the result.
        """

    def check_warmup(
        self, effect: request_effects.CheckWarmup, path: str
    ) -> None:
        """Ask a local target how much longer it is cold.

        Calls the engine's ``target_warmup`` with the answer.
        """

    def note(self, note: common.Note) -> None:
        """Write a log line."""

    def count(self, count: common.Count) -> None:
        """Add to a metric."""

    def observe(self, effect: request_effects.Observe) -> None:
        """Record the latency of a request under its tenant."""
