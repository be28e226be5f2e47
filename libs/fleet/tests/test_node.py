"""The fleet core: revisions in force never decrease, records converge."""

import random
import typing

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from trefoil_fleet import effects
from trefoil_fleet import items as item_store
from trefoil_fleet import node as nodes
from trefoil_fleet import records as record_store
from trefoil_model import effects as common
from trefoil_wire import messages

CONTROLS = {"c1": "c1:1"}
SEEDS = {"s1": "s1:1", "s2": "s2:1", "s3": "s3:1"}
HOSTS = ["s1", "s2", "s3", "p1", "p2"]
ALL_NAMES = ["c1"] + HOSTS
STEP_MS = 100
MAX_MESSAGES = 400


class Net:
    """Simulated fleet whose links break, reorder and repeat messages."""

    def __init__(self, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.incarnations = dict.fromkeys(ALL_NAMES, 0)
        self.nodes: dict[str, nodes.Node] = {}
        self.in_force: dict[str, int] = {}
        self.links: dict[frozenset[str], int] = {}
        self.in_transit: list[tuple[str, str, int, typing.Any]] = []
        self.links_made = 0
        self.cut: set[str] = set()
        self.down: set[str] = set()
        self.items = item_store.Items()
        self.revision = 0
        self.bytes = 0
        for name in ALL_NAMES:
            self.boot(name)

    def boot(self, name: str) -> None:
        """Start a process without any state."""
        self.incarnations[name] += 1
        control = name in CONTROLS
        record = messages.HostRecord(
            host=name,
            domain="d",
            region="r",
            address=f"{name}:1",
            incarnation=self.incarnations[name],
            sequence=1,
            state=messages.HostState.ALIVE,
            targets=[],
        )
        self.nodes[name] = nodes.Node(
            record,
            control=control,
            seeds={} if control else SEEDS,
            controls=CONTROLS,
            now_ms=self.now_ms,
            rng=self.rng,
        )
        self.down.discard(name)
        if control:
            self.perform(
                name, self.nodes[name].publish(self.items, self.now_ms)
            )

    def crash(self, name: str) -> None:
        """End a process; its links break."""
        self.down.add(name)
        for pair in [pair for pair in self.links if name in pair]:
            self.break_link(pair)

    def publish(self) -> None:
        """Publish a new revision at the control process."""
        self.revision += 1
        self.items = self.items.copy()
        drain = messages.Drain(host=f"h{self.revision % 7}")
        self.items.set(self.revision, item_store.DRAIN + drain.host, drain)
        node = self.nodes["c1"]
        self.perform("c1", node.publish(self.items, self.now_ms))

    def reachable(self, first: str, second: str) -> bool:
        """Return whether two processes can exchange messages."""
        if {first, second} & self.down:
            return False
        return (first in self.cut) == (second in self.cut)

    def perform(self, name: str, emitted: list[typing.Any]) -> None:
        """Perform the effects that a process returned."""
        for effect in emitted:
            match effect:
                case common.Send():
                    self._send(name, effect)
                case effects.Dial():
                    self._dial(name, effect.host)
                case effects.Disconnect():
                    pair = frozenset((name, effect.host))
                    if pair in self.links:
                        self.break_link(pair)
                case effects.Probe():
                    up = self.reachable(name, effect.host)
                    node = self.nodes[name]
                    self.perform(
                        name,
                        node.on_probe_result(effect.host, up, self.now_ms),
                    )
                case effects.PutInForce():
                    revision = effect.items.revision
                    assert revision >= self.in_force.get(name, 0), name
                    self.in_force[name] = revision
                case effects.AskFloor():
                    node = self.nodes[name]
                    self.perform(
                        name,
                        node.send_leader_confirmation(
                            effect.nonce, self.revision, self.now_ms
                        ),
                    )

    def _send(self, name: str, effect: common.Send) -> None:
        link_number = self.links.get(frozenset((name, effect.to)))
        if link_number is not None:
            self.in_transit.append(
                (name, effect.to, link_number, effect.message)
            )

    def _dial(self, name: str, host: str) -> None:
        if not self.reachable(name, host):
            self.perform(name, self.nodes[name].unlinked(host, self.now_ms))
            return
        self.links_made += 1
        self.links[frozenset((name, host))] = self.links_made
        for first, second, served in ((host, name, True), (name, host, False)):
            hello = self.nodes[second].hello()
            self.perform(
                first,
                self.nodes[first].linked(
                    second,
                    control=second in CONTROLS,
                    served=served,
                    revision=hello.revision,
                    now_ms=self.now_ms,
                ),
            )

    def break_link(self, pair: frozenset[str]) -> None:
        """Break a link on both sides."""
        del self.links[pair]
        for first, second in (tuple(pair), tuple(pair)[::-1]):
            if first not in self.down:
                node = self.nodes[first]
                self.perform(first, node.unlinked(second, self.now_ms))

    def deliver(self, at: int, keep: bool) -> None:
        """Deliver one message; with ``keep`` it can arrive again."""
        if not self.in_transit:
            return
        at %= len(self.in_transit)
        source, target, link_number, message = self.in_transit[at]
        if not keep:
            del self.in_transit[at]
        alive = self.links.get(frozenset((source, target))) == link_number
        if alive and self.reachable(source, target):
            node = self.nodes[target]
            emitted = node.receive(source, message, self.now_ms)
            self.perform(target, emitted)

    def run(self, for_ms: int) -> None:
        """Advance the time and deliver messages in order."""
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            for name in ALL_NAMES:
                if name not in self.down:
                    emitted = self.nodes[name].tick(self.now_ms)
                    self.perform(name, emitted)
            for _ in range(MAX_MESSAGES):
                if not self.in_transit:
                    break
                self.deliver(0, False)

    def records_at(self, name: str) -> dict[str, int]:
        """Return the incarnation of each host present at a process."""
        records = self.nodes[name].members.records.present()
        return {record.host: record.incarnation for record in records}


def test_a_revision_is_in_force_everywhere() -> None:
    """A new revision must reach all processes within 300 ms."""
    net = Net()
    net.run(3000)
    net.publish()
    net.run(300)
    assert net.in_force == dict.fromkeys(HOSTS, 1) | {"c1": 1}


def test_cut_off_domain_keeps_its_revision_and_catches_up() -> None:
    """A partition must neither remove a configuration nor leave it stale."""
    net = Net()
    net.run(2000)
    net.publish()
    net.run(1000)
    net.cut = set(HOSTS)
    net.publish()
    net.run(8000)
    assert {net.in_force[name] for name in HOSTS} == {1}
    net.cut = set()
    net.run(6000)
    assert {net.in_force[name] for name in HOSTS} == {2}


def test_restart_in_a_cut_off_domain_uses_seed_confirmations() -> None:
    """A proxy restarts while its domain is cut off from the control host.

    The leader cannot confirm the newest revision. Two seeds that have not
    restarted can: one of them holds any revision that was in force here.
    """
    net = Net()
    net.run(2000)
    net.publish()
    net.run(1000)
    net.cut = set(HOSTS)
    net.crash("p1")
    net.boot("p1")
    net.run(8000)
    node = net.nodes["p1"]
    assert node.config.in_force.revision == 1


def test_restarted_seeds_confirm_no_revision() -> None:
    """Two of three seeds and a proxy restart in a cut-off domain.

    If restarted seeds confirmed revisions, one with an older revision could
    reply first and the proxy would return to it. With too few confirmations
    it does not serve until the control host is reachable.
    """
    net = Net()
    net.run(2000)
    net.publish()
    net.run(1000)
    net.cut = set(HOSTS)
    for name in ("s1", "s2", "p1"):
        net.crash(name)
        net.boot(name)
    net.run(8000)
    assert not net.nodes["p1"].ready
    net.cut = set()
    net.run(6000)
    assert net.nodes["p1"].config.in_force.revision == 1


def test_restarted_proxy_rejects_a_single_stale_seed() -> None:
    """A seed misses a revision, and a proxy that had it restarts.

    Both are on the same side of a partition. The seed has not restarted, so
    its confirmation counts, but one of three does not prove the floor: the
    proxy had a newer revision in force.
    """
    net = Net()
    net.run(2000)
    net.publish()
    net.run(1000)
    net.cut = {"s1"}
    net.publish()
    net.run(6000)
    assert net.in_force["p1"] == 2
    assert net.in_force["s1"] == 1
    net.cut = {"s1", "p1"}
    net.crash("p1")
    net.boot("p1")
    net.run(8000)
    assert not net.nodes["p1"].ready


def floor_messages(emitted: list[typing.Any], kind: type) -> list[typing.Any]:
    """Return the messages of one kind that effects send."""
    sent = [e.message for e in emitted if isinstance(e, common.Send)]
    return [message for message in sent if isinstance(message, kind)]


def test_a_floor_reply_to_an_earlier_process_is_ignored() -> None:
    """A relay that was suspended delivers a floor from before the restart."""
    net = Net()
    relay = net.nodes["c1"]
    replies = []
    for _ in range(2):
        net.boot("p1")
        emitted = net.nodes["p1"].linked(
            "c1", control=True, served=False, revision=0, now_ms=0
        )
        (query,) = floor_messages(emitted, messages.FloorQuery)
        asked = relay.receive("p1", query, 0)
        (ask,) = [e for e in asked if isinstance(e, effects.AskFloor)]
        emitted = relay.send_leader_confirmation(ask.nonce, 7, 0)
        replies += floor_messages(emitted, messages.FloorReply)
    floor = net.nodes["p1"].config.floor
    net.nodes["p1"].receive("c1", replies[0], 0)
    assert not floor.proved
    net.nodes["p1"].receive("c1", replies[1], 0)
    assert (floor.proved, floor.revision) == (True, 7)


def test_older_snapshot_does_not_replace_a_newer_revision() -> None:
    """A delta of the whole configuration arrives after a newer revision."""
    net = Net()
    net.run(2000)
    net.publish()
    old = net.nodes["c1"].config.held.delta_since(0)
    net.publish()
    net.run(500)
    node = net.nodes["p1"]
    net.perform("p1", node.receive("s1", old, net.now_ms))
    assert node.config.held.revision == 2


def test_lone_seed_does_not_put_a_revision_in_force_at_once() -> None:
    """A seed receives a revision and is cut off before it can forward it.

    If it put the revision in force and then restarted, the other seeds of
    its domain would send it the older one.
    """
    net = Net()
    net.run(2000)
    net.publish()
    net.run(1000)
    for pair in [p for p in net.links if p <= set(SEEDS)]:
        del net.links[pair]
    net.publish()
    holder = next(
        name for name in SEEDS if frozenset((name, "c1")) in net.links
    )
    while net.in_transit:
        net.deliver(0, False)
    assert net.nodes[holder].config.held.revision == 2
    assert net.nodes[holder].config.in_force.revision == 1


def test_death_of_a_host_is_known_everywhere() -> None:
    """A broken link must lead to a death that reaches all processes."""
    net = Net()
    net.run(3000)
    net.crash("p1")
    net.run(6000)
    for name in ALL_NAMES:
        if name != "p1":
            assert "p1" not in net.records_at(name)


def test_probes_detect_a_seed_and_its_proxies_dying_together() -> None:
    """A rack fails with seeds and the proxies linked to them.

    No link is left to detect the failure of the proxies; probes detect it.
    """
    net = Net()
    net.run(3000)
    for name in ("s1", "s2", "p1", "p2"):
        net.crash(name)
    net.run(15_000)
    assert set(net.records_at("s3")) == {"s3"}
    assert set(net.records_at("c1")) == {"s3"}


def test_a_false_suspicion_is_refuted() -> None:
    """A host suspected by mistake must stay present at all processes."""
    net = Net()
    net.run(3000)
    node = net.nodes["s1"]
    node.members._suspect("p2", net.now_ms)
    net.perform("s1", node._flush())
    net.run(6000)
    for name in ALL_NAMES:
        assert "p2" in net.records_at(name)


def test_isolated_control_host_declares_no_host_dead() -> None:
    """A control host is isolated for a minute.

    If it declared all unreachable hosts dead, it would flood the fleet with
    that when the partition heals, and every host would have to refute it.
    """
    net = Net()
    net.run(3000)
    net.cut = {"c1"}
    net.run(60_000)
    dead = messages.HostState.DEAD
    records = net.nodes["c1"].members.records.by_host.values()
    assert [r.host for r in records if r.state == dead] == []
    net.cut = set()
    net.run(8000)
    for name in ALL_NAMES:
        assert set(net.records_at(name)) == set(HOSTS)


def test_healed_partition_removes_no_host_from_routing() -> None:
    """Control hosts reach each other and declare a cut-off domain dead.

    The records reach the domain when the partition heals. Its proxies were
    linked throughout, so none may be removed from another's records.
    """
    net = Net()
    net.run(3000)
    net.cut = set(HOSTS)
    net.run(8000)
    net.cut = set()
    records = net.nodes["s1"].members.records
    dead = record_store.with_state(records.get("p2"), messages.HostState.DEAD)
    node = net.nodes["p1"]
    net.perform(
        "p1", node.receive("s1", messages.RecordsDelta([dead]), net.now_ms)
    )
    assert "p2" in net.records_at("p1")
    net.run(8000)
    for name in ALL_NAMES:
        assert set(net.records_at(name)) == set(HOSTS)


def linked_control(controls: list[str], proxies: list[str]) -> nodes.Node:
    """Return a control host's node with links to others and to proxies."""
    record = messages.HostRecord(
        "c0", "d", "r", "c0:1", 1, 1, messages.HostState.ALIVE, []
    )
    node = nodes.Node(
        record,
        control=True,
        seeds={},
        controls={name: f"{name}:1" for name in controls},
        now_ms=0,
        rng=random.Random(1),
    )
    for name in controls + proxies:
        node.linked(
            name,
            control=name in controls,
            served=name in proxies,
            revision=0,
            now_ms=0,
        )
    return node


def peers_sent_records(emitted: list[typing.Any]) -> list[str]:
    """Return the peers that effects send records to."""
    sends = [effect for effect in emitted if isinstance(effect, common.Send)]
    kind = messages.RecordsDelta
    return [send.to for send in sends if isinstance(send.message, kind)]


def test_record_update_is_sent_once_to_each_control_host() -> None:
    """Each is linked to all others, and would get forwarded copies of it."""
    node = linked_control(["c1", "c2", "c3"], ["p1", "p2"])
    update = messages.HostRecord(
        "p9", "d", "r", "p9:1", 1, 1, messages.HostState.ALIVE, []
    )
    emitted = node.receive("c1", messages.RecordsDelta([update]), 100)
    assert peers_sent_records(emitted) == ["p1", "p2"]
    newer = record_store.with_state(update, messages.HostState.LEFT)
    newer.sequence = 2
    emitted = node.receive("p1", messages.RecordsDelta([newer]), 300)
    assert peers_sent_records(emitted) == ["c1", "c2", "c3", "p2"]


def test_burst_of_record_updates_is_sent_in_one_message() -> None:
    """When a fleet starts, each host has updates for every other host."""
    node = linked_control(["c1"], ["p1", "p2"])
    emitted = []
    for number in range(30):
        update = messages.HostRecord(
            f"h{number}", "d", "r", "h:1", 1, 1, messages.HostState.ALIVE, []
        )
        emitted += node.receive("p1", messages.RecordsDelta([update]), 100)
    assert peers_sent_records(emitted) == ["c1", "p2"]
    assert peers_sent_records(node.tick(150)) == []
    later = node.tick(200)
    assert peers_sent_records(later) == ["c1", "p2"]
    (delta,) = [e.message for e in later if getattr(e, "to", "") == "p2"][:1]
    assert len(delta.records) == 29


def test_a_drain_is_known_everywhere_within_three_seconds() -> None:
    """A cut-off domain must still learn that a target is draining."""
    net = Net()
    net.run(3000)
    target = messages.TargetRecord(
        "t", "tables", "v1", [], 4, messages.TargetState.READY
    )
    net.perform("p1", net.nodes["p1"].set_targets([target], net.now_ms))
    net.run(1000)
    net.cut = set(HOSTS)
    net.run(5000)
    drained = messages.TargetRecord(
        "t", "tables", "v1", [], 4, messages.TargetState.DRAINING
    )
    net.perform("p1", net.nodes["p1"].set_targets([drained], net.now_ms))
    net.run(3000)
    for name in HOSTS:
        record = net.nodes[name].members.records.get("p1")
        assert record.targets == [drained]


def test_an_unchecked_revision_is_never_put_in_force() -> None:
    """A delta contains a route to a service that does not exist."""
    net = Net()
    net.run(2000)
    net.publish()
    net.run(500)
    node = net.nodes["p1"]
    broken = node.config.held.copy()
    route = messages.Route(
        "r", "*", "/", [], "nowhere", "", "t", 1, messages.Repeat.ANY
    )
    broken.set(9, item_store.ROUTE + "r", route)
    delta = broken.delta_since(1)
    net.perform("p1", node.receive("s1", delta, net.now_ms))
    assert node.config.in_force.revision == 1
    assert "nowhere" in node.config.rejected
    assert net.nodes["p1"].config.held.revision == 1


def test_reports_are_resent_to_a_new_leader() -> None:
    """After a change of leader the new one must know all revisions in force.

    A report already sent to the old leader is sent to the new one immediately,
    not only when its proxy refreshes it half a minute later.
    """
    record = messages.HostRecord(
        host="c1",
        domain="d",
        region="r",
        address="c1:1",
        incarnation=1,
        sequence=1,
        state=messages.HostState.ALIVE,
        targets=[],
    )
    controls = {name: f"{name}:1" for name in ("c1", "c2", "c3")}
    node = nodes.Node(
        record,
        control=True,
        seeds={},
        controls=controls,
        now_ms=0,
        rng=random.Random(1),
    )
    for name in ("c2", "c3", "p1"):
        node.linked(
            name, control=name != "p1", served=True, revision=0, now_ms=0
        )
    sent_by_step = []
    for at_ms, leader in ((1000, "c2"), (2000, "c3"), (3000, "c1")):
        if at_ms == 1000:
            report = messages.Report("p1", 1, 7, "", 0)
            node.receive("p1", messages.Reports([report]), 900)
        node.set_leader(leader)
        sent = [
            (effect.to, effect.message.reports[0].revision)
            for effect in node.tick(at_ms)
            if isinstance(getattr(effect, "message", 0), messages.Reports)
        ]
        sent_by_step.append(sent)
    assert sent_by_step == [[("c2", 7)], [("c3", 7)], []]


def test_serving_process_limits_joins() -> None:
    """Peers beyond the burst must wait, each for a different time."""
    net = Net()
    node = net.nodes["s1"]
    waits = [
        node.admit(messages.Hello(host=f"x{n}", control=False), 0)
        for n in range(200)
    ]
    assert waits[: nodes.JOIN_BURST] == [0] * nodes.JOIN_BURST
    assert all(wait > 0 for wait in waits[nodes.JOIN_BURST :])
    assert len(set(waits[nodes.JOIN_BURST :])) > 50


class Fleet(stateful.RuleBasedStateMachine):
    """The revision in force at a proxy never decreases under any faults."""

    hosts = st.sampled_from(HOSTS)

    @stateful.initialize(seed=st.integers(0, 1 << 30))
    def start(self, seed: int) -> None:
        self.net = Net(seed)
        self.net.run(2000)
        self.fresh: set[str] = set()

    @stateful.rule()
    def publish_revision(self) -> None:
        self.net.publish()

    @stateful.rule(at=st.integers(0, 99), keep=st.booleans())
    def deliver_message(self, at: int, keep: bool) -> None:
        self.net.deliver(at, keep)

    @stateful.rule(at=st.integers(0, 99))
    def drop_message(self, at: int) -> None:
        if self.net.in_transit:
            del self.net.in_transit[at % len(self.net.in_transit)]

    @stateful.rule(for_ms=st.sampled_from([100, 1500, 6000]))
    def advance_time(self, for_ms: int) -> None:
        self.net.run(for_ms)

    @stateful.rule(name=hosts)
    def restart_process(self, name: str) -> None:
        self.net.crash(name)
        self.net.boot(name)

    @stateful.rule(all_hosts=st.booleans(), name=hosts)
    def cut_off(self, all_hosts: bool, name: str) -> None:
        self.net.cut = set(HOSTS) if all_hosts else {name}

    @stateful.rule()
    def restore_network(self) -> None:
        self.net.cut = set()

    @stateful.rule(name=hosts)
    def break_one_link(self, name: str) -> None:
        for pair in [pair for pair in self.net.links if name in pair][:1]:
            self.net.break_link(pair)


TestFleet = Fleet.TestCase
TestFleet.settings = settings(max_examples=60, stateful_step_count=40)
