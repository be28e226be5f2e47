"""Keepers of quotas in control processes that were restarted."""

import typing

from trefoil_daemon import control_process
from trefoil_emulator import control_net
from trefoil_wire import frames
from trefoil_wire import messages

PROXY = "10.0.1.1"
UNLIMITED = messages.Account("alice", [b"a" * 16], 0, 0.0, 0.0)
LIMITED = messages.Account("alice", [b"a" * 16], 0, 5.0, 5.0)
SNAPSHOT_ENTRIES = 10


def put_accounts(
    net: control_net.Network, number: int, *accounts: messages.Account
) -> None:
    """Put a configuration with accounts in force."""
    body = messages.ApplyConfiguration(
        services=[messages.Service("tables", [], "v1")],
        routes=[],
        accounts=list(accounts),
    )
    kind, data = frames.pack_any(body)
    command = messages.Command(f"c{number}", "ann", 0, kind, data)
    net.processes[net.leaders()[0]].submit(command, lambda reply: None)
    net.run(500)


def network_with_a_quota() -> control_net.Network:
    """Return a network whose snapshots are older than an account's quota."""
    net = control_net.Network()
    for name in control_net.FOUNDERS:
        net.start(name, found=True, snapshot_entries=SNAPSHOT_ENTRIES)
    net.start_proxy(PROXY)
    net.run(4000)
    put_accounts(net, 0, UNLIMITED)
    for number in range(1, SNAPSHOT_ENTRIES):
        other = messages.Account("bob", [b"b" * 16], 0, float(number))
        put_accounts(net, number, UNLIMITED, other)
    put_accounts(net, SNAPSHOT_ENTRIES, LIMITED)
    return net


def restart(net: control_net.Network, *names: str) -> None:
    """Kill control processes together and start them on their disks."""
    for name in names:
        net.stop(name)
    for name in names:
        net.start(name, found=False, snapshot_entries=SNAPSHOT_ENTRIES)


def keeper_of(net: control_net.Network) -> str:
    """Return the control host that keeps the quotas of the only domain."""
    return min(control_net.FOUNDERS)


def record_replies(
    process: control_process.ControlProcess,
) -> list[messages.TokenReply]:
    """Return the list that the process's replies to proxies go to."""
    replies: list[typing.Any] = []
    process.driver.reply = lambda origin, message: replies.append(message)
    return replies


def ask(process: control_process.ControlProcess, wanted: int) -> None:
    """Ask the keeper for tokens as an entry proxy does."""
    wish = messages.TokenWish("alice", wanted, wanted, wanted)
    process.quotas.on_ask(PROXY, messages.TokenAsk(1, [wish]))


def granted(replies: list[messages.TokenReply]) -> float:
    """Return how many tokens some replies grant."""
    return sum(grant.granted for r in replies for grant in r.grants)


def test_a_loan_for_an_earlier_keeper_is_void() -> None:
    """Tokens of any age were spent: numbers began anew at each start."""
    net = network_with_a_quota()
    name = keeper_of(net)
    before = net.processes[name].quotas.keeper.last_ask_id
    restart(net, name)
    assert net.processes[name].quotas.keeper.last_ask_id != before


def test_a_keeper_that_has_just_started_grants_nothing() -> None:
    """It granted all that was asked, by the quotas of its last snapshot."""
    net = network_with_a_quota()
    name = keeper_of(net)
    restart(net, *control_net.FOUNDERS)
    for other in set(control_net.FOUNDERS) - {name}:
        net.stop(other)
    net.run(1000)
    process = net.processes[name]
    assert process.state.items.get("account/alice").rate_per_s == 0
    replies = record_replies(process)
    ask(process, 1000)
    assert granted(replies) == 0


def test_a_keeper_grants_by_the_newest_quotas_once_it_knows_them() -> None:
    """All control processes were killed together."""
    net = network_with_a_quota()
    name = keeper_of(net)
    restart(net, *control_net.FOUNDERS)
    process = net.processes[name]
    replies = record_replies(process)
    for _ in range(40):
        net.run(control_net.STEP_MS)
        ask(process, 1000)
    assert 0 < granted(replies) <= process.quotas.keeper.terms.allowed(5, 5)


def test_a_keeper_whose_disk_was_full_goes_on_by_the_quotas_it_knew() -> None:
    """Its state falls back to the last snapshot within one lifetime."""
    net = network_with_a_quota()
    name = keeper_of(net)
    process = net.processes[name]
    net.partition(set(control_net.FOUNDERS) - {name}, {name, PROXY})
    process._suspend("No space left on device")
    process._retry_disk(net.clock.now_ms())
    net.run(500)
    assert process.state.items.get("account/alice").rate_per_s == 0
    replies = record_replies(process)
    ask(process, 1000)
    assert 0 < granted(replies) <= process.quotas.keeper.terms.allowed(5, 5)
