"""Keepers of quotas in control processes that were restarted."""

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


def test_a_loan_for_an_earlier_keeper_is_void() -> None:
    """Tokens of any age were spent: numbers began anew at each start."""
    net = network_with_a_quota()
    name = keeper_of(net)
    before = net.processes[name].quotas.keeper.last_ask_id
    restart(net, name)
    assert net.processes[name].quotas.keeper.last_ask_id != before
