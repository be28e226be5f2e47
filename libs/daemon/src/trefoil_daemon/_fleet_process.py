"""The base class of both process engines: the fleet core and its effects."""

import functools
import typing

from trefoil_fleet import effects as fleet_effects
from trefoil_fleet import node as nodes
from trefoil_model import clock as clocks
from trefoil_model import effects as common
from trefoil_wire import messages

from . import exposition
from . import facade


class FleetProcess:
    """Passes link events to the fleet core and executes its effects.

    Args:
        node: The fleet core.
        driver: Does the input and output of effects.
        clock: The runtime's clock.
    """

    def __init__(
        self,
        node: nodes.Node,
        driver: facade.Driver,
        clock: clocks.Clock,
    ) -> None:
        self.node = node
        self.driver = driver
        self.clock = clock

    def execute(self, effect: typing.Any) -> None:
        """Execute one effect; engines add their own kinds."""
        execute(effect, self)

    def perform(self, effects: list[typing.Any]) -> None:
        """Execute effects in order; a write is synced before the next one."""
        for effect in effects:
            self.execute(effect)

    def families(self) -> list[exposition.Family]:
        """Return the labelled metrics; engines add their own."""
        return []

    def greeting(self, subscribe: bool) -> messages.Hello:
        """Return the ``Hello`` message of this process.

        Args:
            subscribe: Whether it opens a subscribed link.
        """
        hello = self.node.hello()
        hello.subscribe = subscribe
        return hello

    def admit(self, hello: messages.Hello) -> int:
        """Return 0 to accept a peer, else milliseconds until it may retry."""
        return self.node.admit(hello, self.clock.now_ms())

    def link_up(self, host: str, hello: messages.Hello, served: bool) -> None:
        """Handle a subscribed link that was established."""
        self.node.on_hello(hello)
        self.perform(
            self.node.linked(
                host,
                control=bool(hello.control),
                served=served,
                revision=hello.revision or 0,
                now_ms=self.clock.now_ms(),
                incarnation=hello.incarnation or 0,
            )
        )

    def link_down(self, host: str, retry_after_ms: int) -> None:
        """Handle a subscribed link that broke or was refused."""
        self.perform(
            self.node.unlinked(host, self.clock.now_ms(), retry_after_ms)
        )


@functools.singledispatch
def execute(effect: typing.Any, process: FleetProcess) -> None:
    """Execute one effect.

    Raises:
        TypeError: No implementation is registered for its type.
    """
    raise TypeError(f"no such effect: {type(effect).__name__}")


@execute.register
def _(effect: common.Send, process: FleetProcess) -> None:
    process.driver.link_send(effect.to, effect.message)


@execute.register
def _(effect: common.Note, process: FleetProcess) -> None:
    process.driver.note(effect)


@execute.register
def _(effect: common.Count, process: FleetProcess) -> None:
    process.driver.count(effect)


@execute.register
def _(effect: fleet_effects.Dial, process: FleetProcess) -> None:
    process.driver.dial(effect.host, effect.address)


@execute.register
def _(effect: fleet_effects.Disconnect, process: FleetProcess) -> None:
    process.driver.close_link(effect.host)


@execute.register
def _(effect: fleet_effects.Probe, process: FleetProcess) -> None:
    process.driver.probe(effect.host, effect.address)
