"""Evacuations on their way through the control processes."""

import pytest

from trefoil_daemon import evacuations
from trefoil_daemon import queries
from trefoil_emulator import control_net
from trefoil_fleet import items as item_store
from trefoil_language import statements
from trefoil_store import disk as disks
from trefoil_wire import messages

Outcome = messages.Outcome
DOMAIN = "la-marsa"


class Caller:
    """Someone who calls, and may hang up."""

    def __init__(self) -> None:
        self.waits = True
        self.replies: list[messages.CommandReply] = []

    def ask(
        self,
        net: control_net.Net,
        at: str,
        evacuated: bool = True,
        domain: str = DOMAIN,
    ) -> None:
        """Call a control process."""
        wanted = messages.EvacuateDomain(domain, evacuated)
        call = evacuations.EvacuationCall(
            wanted, "ann", lambda: self.waits, self.replies.append
        )
        net.processes[at].evacuations.ask(call)

    @property
    def outcomes(self) -> list[int]:
        """Return what came of the call."""
        return [reply.outcome for reply in self.replies]


def evacuated(net: control_net.Net, at: str) -> bool:
    """Tell whether a process knows the domain as evacuated."""
    key = item_store.EVACUATION + DOMAIN
    return net.processes[at].state.items.get(key) is not None


def follower_of(net: control_net.Net) -> str:
    """Return a process that does not lead."""
    (leader,) = net.leaders()
    return next(name for name in net.processes if name != leader)


def test_any_control_process_takes_an_evacuation() -> None:
    net = control_net.founded()
    caller = Caller()
    caller.ask(net, follower_of(net))
    net.run(500)
    assert caller.outcomes == [Outcome.DONE]
    assert all(evacuated(net, name) for name in net.processes)


def test_the_same_call_comes_anew_after_a_withdrawal() -> None:
    """Known by its content, the second evacuation would change nothing."""
    net = control_net.founded()
    at = follower_of(net)
    for wanted in (True, False, True):
        caller = Caller()
        caller.ask(net, at, wanted)
        net.run(500)
        assert caller.outcomes == [Outcome.DONE]
        assert evacuated(net, at) == wanted


def test_a_process_that_lags_asks_once_more_for_its_caller() -> None:
    """It has not heard that the domain was evacuated before."""
    net = control_net.founded()
    (leader,) = net.leaders()
    at = follower_of(net)
    Caller().ask(net, leader)
    net.run(500)
    behind = net.processes[at].state.items
    behind.revision = 1
    caller = Caller()
    caller.ask(net, at, False)
    net.run(500)
    assert caller.outcomes == [Outcome.DONE]
    assert not evacuated(net, leader)


def test_a_call_that_stood_unread_is_not_run() -> None:
    """Its host was frozen; another has answered, and the caller hung up."""
    net = control_net.founded()
    caller = Caller()
    caller.ask(net, follower_of(net))
    caller.waits = False
    net.run(500)
    assert caller.replies == []
    assert not any(evacuated(net, name) for name in net.processes)


def test_a_slip_in_the_name_is_refused() -> None:
    """Acknowledged, the domain that was meant would go on getting calls."""
    net = control_net.founded()
    for process in net.processes.values():
        process.settings.domains = [DOMAIN, "ariana"]
    caller = Caller()
    caller.ask(net, follower_of(net), domain="la-mersa")
    net.run(500)
    (reply,) = caller.replies
    assert reply.outcome == Outcome.NOT_RUN
    assert reply.cause == messages.Cause.INVALID


@pytest.mark.parametrize("wiped", [0, 1])
def test_an_acknowledged_evacuation_outlives_the_loss_of_all(
    wiped: int,
) -> None:
    """All lose power right after the answer, one its disk as well."""
    net = control_net.founded("10.0.0.9")
    caller = Caller()
    caller.ask(net, follower_of(net))
    while not caller.replies:
        net.run(control_net.STEP_MS)
    names = list(net.processes)
    for name in names:
        net.stop(name)
    for name in names[:wiped]:
        net.disks[name] = disks.MemoryDisk()
    for name in names:
        net.start(name, found=False)
    net.run(8000)
    assert net.leaders()
    assert all(evacuated(net, name) for name in names)


def test_an_evacuation_without_a_leader_is_answered_pending() -> None:
    """Not run would be a guess: it may be agreed once there is a leader."""
    net = control_net.founded()
    at = follower_of(net)
    net.cut({at}, set(net.processes) - {at})
    caller = Caller()
    caller.ask(net, at)
    net.run(4000)
    assert caller.outcomes == [Outcome.PENDING]


def test_the_status_tells_what_is_evacuated() -> None:
    net = control_net.founded()
    (leader,) = net.leaders()
    Caller().ask(net, leader)
    net.run(500)
    process = net.processes[leader]
    knowledge = queries.QueryContext(
        process.state, process.node, process.raft, net.clock.now_ms()
    )
    (row,) = queries.answer(statements.ShowEvacuations(), knowledge)
    assert (row["domain"], row["by"]) == (DOMAIN, "ann")
    assert row["since"].endswith("Z")
