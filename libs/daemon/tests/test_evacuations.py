"""Evacuation calls that are submitted to a control process."""

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
    """A caller that may disconnect before it is answered."""

    def __init__(self) -> None:
        self.is_waiting = True
        self.replies: list[messages.CommandReply] = []

    def ask(
        self,
        net: control_net.Network,
        at: str,
        evacuated: bool = True,
        domain: str = DOMAIN,
    ) -> None:
        """Send an evacuation call to a control process."""
        request = messages.EvacuateDomain(domain, evacuated)
        call = evacuations.EvacuationCall(
            request, "ann", lambda: self.is_waiting, self.replies.append
        )
        net.processes[at].evacuations.ask(call)

    @property
    def outcomes(self) -> list[int]:
        """Return the outcomes that were received."""
        return [reply.outcome for reply in self.replies]


def evacuated(net: control_net.Network, at: str) -> bool:
    """Return whether the domain is evacuated in the state of a process."""
    key = item_store.EVACUATION + DOMAIN
    return net.processes[at].state.items.get(key) is not None


def follower_of(net: control_net.Network) -> str:
    """Return the name of a process that is not the leader."""
    (leader,) = net.leaders()
    return next(name for name in net.processes if name != leader)


def test_any_control_process_accepts_an_evacuation() -> None:
    net = control_net.founded_network()
    caller = Caller()
    caller.ask(net, follower_of(net))
    net.run(500)
    assert caller.outcomes == [Outcome.DONE]
    assert all(evacuated(net, name) for name in net.processes)


def test_a_domain_can_be_evacuated_again_after_a_withdrawal() -> None:
    """If calls were identified by content, the second would be ignored."""
    net = control_net.founded_network()
    at = follower_of(net)
    for expected in (True, False, True):
        caller = Caller()
        caller.ask(net, at, expected)
        net.run(500)
        assert caller.outcomes == [Outcome.DONE]
        assert evacuated(net, at) == expected


def test_a_lagging_process_retries_for_its_caller() -> None:
    """Its revision is older than the domain's evacuation."""
    net = control_net.founded_network()
    (leader,) = net.leaders()
    at = follower_of(net)
    Caller().ask(net, leader)
    net.run(500)
    items = net.processes[at].state.items
    items.revision = 1
    caller = Caller()
    caller.ask(net, at, False)
    net.run(500)
    assert caller.outcomes == [Outcome.DONE]
    assert not evacuated(net, leader)


def test_a_call_whose_caller_disconnected_is_not_run() -> None:
    """The host was suspended; another answered and the caller disconnected."""
    net = control_net.founded_network()
    caller = Caller()
    caller.ask(net, follower_of(net))
    caller.is_waiting = False
    net.run(500)
    assert caller.replies == []
    assert not any(evacuated(net, name) for name in net.processes)


def test_an_unknown_domain_is_refused() -> None:
    """A typo must not be acknowledged as the evacuation of a domain."""
    net = control_net.founded_network()
    for process in net.processes.values():
        process.settings.domains = [DOMAIN, "ariana"]
    caller = Caller()
    caller.ask(net, follower_of(net), domain="la-mersa")
    net.run(500)
    (reply,) = caller.replies
    assert reply.outcome == Outcome.NOT_RUN
    assert reply.cause == messages.Cause.INVALID


@pytest.mark.parametrize("wiped_disks", [0, 1])
def test_an_acknowledged_evacuation_survives_a_power_loss_of_all(
    wiped_disks: int,
) -> None:
    """All hosts lose power right after the answer; one may lose its disk."""
    net = control_net.founded_network("10.0.0.9")
    caller = Caller()
    caller.ask(net, follower_of(net))
    while not caller.replies:
        net.run(control_net.STEP_MS)
    names = list(net.processes)
    for name in names:
        net.stop(name)
    for name in names[:wiped_disks]:
        net.disks[name] = disks.MemoryDisk()
    for name in names:
        net.start(name, found=False)
    net.run(8000)
    assert net.leaders()
    assert all(evacuated(net, name) for name in names)


def test_an_evacuation_without_a_leader_is_answered_pending() -> None:
    """It may still be agreed once there is a leader, so not "not run"."""
    net = control_net.founded_network()
    at = follower_of(net)
    net.partition({at}, set(net.processes) - {at})
    caller = Caller()
    caller.ask(net, at)
    net.run(4000)
    assert caller.outcomes == [Outcome.PENDING]


def test_show_evacuations_lists_evacuated_domains() -> None:
    net = control_net.founded_network()
    (leader,) = net.leaders()
    Caller().ask(net, leader)
    net.run(500)
    process = net.processes[leader]
    context = queries.QueryContext(
        process.state, process.node, process.raft, net.clock.now_ms()
    )
    (row,) = queries.answer(statements.ShowEvacuations(), context)
    assert (row["domain"], row["by"]) == (DOMAIN, "ann")
    assert row["since"].endswith("Z")


def test_a_restarted_process_uses_no_id_of_the_one_before() -> None:
    """With the clock set back, its call was taken for one of then."""
    net = control_net.founded_network()
    at = follower_of(net)
    before = net.processes[at].evacuations.ids.next()
    net.stop(at)
    net.start(at, found=False)
    assert net.processes[at].evacuations.ids.next() != before
