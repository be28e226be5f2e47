"""Effects that the request cores ask their process to carry out."""

import dataclasses

from trefoil_wire import messages

from . import call as calls
from . import held_memory


@dataclasses.dataclass(slots=True)
class Finish:
    """Give a caller its final answer."""

    final: calls.Final


@dataclasses.dataclass(slots=True)
class Forward:
    """Send a request to the proxy of a target's host."""

    host: str
    address: str
    request: messages.Request


@dataclasses.dataclass(slots=True)
class Send:
    """Send a message to a peer's request link, best effort."""

    host: str
    address: str
    message: object


@dataclasses.dataclass(slots=True)
class AskTokens:
    """Ask the keeper of a failure domain for tokens of accounts."""

    ask: messages.TokenAsk


@dataclasses.dataclass(slots=True)
class Dispatch:
    """Run a request on a target of this host."""

    target: str
    port: int
    request: messages.Request
    deadline_at_ms: int


@dataclasses.dataclass(slots=True)
class Abort:
    """Stop waiting for a target's answer and close its connection."""

    dispatch_id: int


@dataclasses.dataclass(slots=True)
class CheckTarget:
    """Check whether a target of this host accepts connections."""

    target: str
    port: int


@dataclasses.dataclass(slots=True)
class CheckWarmup:
    """Ask a target of this host how much longer it will be cold."""

    target: str
    port: int
    service: str


@dataclasses.dataclass(slots=True)
class Reply:
    """Send an answer back to the proxy that forwarded the request."""

    origin: str
    answer: messages.Answer


@dataclasses.dataclass(slots=True)
class RepeatArrived:
    """Notify the proxy that paid for a repeat that it reached its target."""

    origin: str
    request_id: int


@dataclasses.dataclass(slots=True)
class BroadcastNotice:
    """Broadcast a crash notice over the fleet's links."""

    notice: messages.CrashNotice


@dataclasses.dataclass(slots=True)
class Observe:
    """Record an answer for metrics and for the comparison of versions.

    Args:
        route: Name of the route.
        tenant: The route's tenant or class.
        version: The version that answered.
        domain: Failure domain of its target.
        latency_us: Time from sending the request to the answer.
        run_us: How long the target ran it, without the wait for a slot and
            without network time.
        failed: Whether the answer counts against the version.
        cold: Whether the target is new to this proxy or reports itself cold.
    """

    route: str
    tenant: str
    version: str
    domain: str
    latency_us: int
    run_us: int
    failed: bool
    cold: bool


@dataclasses.dataclass(slots=True)
class ReleaseMemory:
    """Let a holder give up what it holds for a peer."""

    holding: held_memory.Holding
