"""Whom processes link to when the settings name only a few hosts."""

import random
import typing

from trefoil_fleet import effects
from trefoil_fleet import node as nodes
from trefoil_fleet import overlay as overlays
from trefoil_model import effects as common
from trefoil_wire import messages

CONFIGURED = {"c1": "c1:1", "c2": "c2:1"}


def overlay(me: str, *, control: bool = False) -> overlays.Overlay:
    """Return the overlay of a process in failure domain d3."""
    return overlays.Overlay(
        me,
        domain="d3",
        control=control,
        seeds={},
        controls={k: v for k, v in CONFIGURED.items() if k != me},
        rng=random.Random(1),
    )


def control_hosts(number: int, *names: str) -> messages.ControlHosts:
    """Return a list of control hosts, each in a domain of its own."""
    hosts = [
        messages.ControlHost(name, f"{name}:1", f"d{name[1:]}")
        for name in names
    ]
    return messages.ControlHosts(number, hosts)


def test_proxy_moves_to_the_control_host_of_its_domain() -> None:
    """It starts with two addresses, neither of its own failure domain."""
    links = overlay("p1")
    assert links.uplink in CONFIGURED
    links.linked(links.uplink, 0)
    assert links.update_controls(control_hosts(4, "c1", "c2", "c3"), 1000)
    old = links.uplink
    assert links.return_to_preferred(1000 + overlays.MOVE_DELAY_MS[1]) == old
    assert links.uplink == "c3"


def test_an_older_list_changes_nothing() -> None:
    links = overlay("p1")
    links.update_controls(control_hosts(9, "c1", "c2", "c3"), 0)
    assert not links.update_controls(control_hosts(8, "c1"), 0)
    assert "c3" in links.controls


def test_configured_control_hosts_stay_known() -> None:
    """All that were listed may be gone; the settings lead back."""
    links = overlay("p1")
    links.update_controls(control_hosts(9, "c8", "c9"), 0)
    assert set(links.controls) == {"c1", "c2", "c8", "c9"}


def test_new_control_host_dials_peers_that_do_not_know_it() -> None:
    """A new control host has the greatest name, so nobody dials it."""
    links = overlay("c9", control=True)
    assert links.wanted(extra=False, now_ms=0) == []
    later = links.wanted(extra=False, now_ms=overlays.UNKNOWN_PEER_DIAL_MS)
    assert later == ["c1", "c2"]


def test_unproved_floor_links_to_every_control_host() -> None:
    links = overlay("p1")
    assert links.wanted(extra=True) == ["c1", "c2"]


def linked_proxy() -> tuple[nodes.Node, str, str]:
    """Return a proxy linked to its control host, and both hosts' names."""
    record = messages.HostRecord(
        "p1", "d1", "r", "p1:1", 1, 1, messages.HostState.ALIVE, []
    )
    node = nodes.Node(
        record,
        control=False,
        seeds={},
        controls=CONFIGURED,
        now_ms=0,
        rng=random.Random(1),
    )
    node.config.floor.proved = True
    uplink = node.overlay.uplink
    other = next(name for name in CONFIGURED if name != uplink)
    node.linked(uplink, control=True, served=False, revision=0, now_ms=10)
    return node, uplink, other


def dialled(emitted: list[typing.Any]) -> list[str]:
    """Return the hosts that effects dial."""
    return [e.host for e in emitted if isinstance(e, effects.Dial)]


def disconnected(emitted: list[typing.Any]) -> list[str]:
    """Return the hosts that effects hang up on."""
    return [e.host for e in emitted if isinstance(e, effects.Disconnect)]


def receive_heartbeat(
    node: nodes.Node, peer: str, led: bool, now_ms: int
) -> list[typing.Any]:
    """Let a peer's heartbeat arrive and time pass."""
    message = messages.Heartbeat(0, 0, 0, led)
    return node.receive(peer, message, now_ms) + node.tick(now_ms)


def test_proxy_dials_others_when_its_uplink_knows_no_leader() -> None:
    """Its control host is cut off from the others, the proxy is not.

    The link works, so the proxy served an old configuration until the cut
    healed. Now it links to the others too, and lets go of them afterwards.
    """
    node, uplink, other = linked_proxy()
    assert dialled(receive_heartbeat(node, uplink, True, 100)) == []
    assert dialled(receive_heartbeat(node, uplink, False, 200)) == [other]
    node.linked(other, control=True, served=False, revision=0, now_ms=210)
    assert disconnected(receive_heartbeat(node, uplink, True, 300)) == [other]
    assert uplink in node.links


def test_proxy_dials_others_when_its_uplink_is_unresponsive() -> None:
    """Its control host freezes; a new configuration is accepted meanwhile.

    The frozen host neither answers nor closes the link, so its proxies
    served the old configuration until the link counted as silent, 3.5 s
    later. They link to the others after a missed heartbeat, and keep the
    silent link in case its host wakes.
    """
    node, uplink, other = linked_proxy()
    receive_heartbeat(node, uplink, True, 100)
    assert dialled(node.tick(100 + nodes.UNRESPONSIVE_MS - 1)) == []
    assert dialled(node.tick(100 + nodes.UNRESPONSIVE_MS)) == [other]
    node.linked(other, control=True, served=False, revision=0, now_ms=2000)
    receive_heartbeat(node, other, True, 2100)
    assert uplink in node.links
    assert disconnected(receive_heartbeat(node, uplink, True, 2200)) == [other]


def test_floor_is_queried_as_soon_as_a_leader_is_known() -> None:
    """All hosts lost power; a proxy is back before the control hosts agree.

    Its first question came before there was a leader and got no answer. The
    next one was due 0.4 s later, and callers were refused meanwhile although
    the leader could have told.
    """
    node, uplink, _ = linked_proxy()
    node.config.floor.proved = False

    def floor_queries(emitted: list[typing.Any]) -> int:
        sent = [e.message for e in emitted if isinstance(e, common.Send)]
        return sum(isinstance(m, messages.FloorQuery) for m in sent)

    assert floor_queries(receive_heartbeat(node, uplink, False, 1000)) == 1
    assert floor_queries(receive_heartbeat(node, uplink, False, 1100)) == 0
    assert floor_queries(receive_heartbeat(node, uplink, True, 1150)) == 1
    assert floor_queries(receive_heartbeat(node, uplink, True, 1200)) == 0


def test_one_missed_heartbeat_marks_a_link_unresponsive() -> None:
    """One missed heartbeat is enough; the link itself stays longer."""
    assert nodes.HEARTBEAT_MS < nodes.UNRESPONSIVE_MS < 2 * nodes.HEARTBEAT_MS
    assert nodes.UNRESPONSIVE_MS < nodes.LINK_TIMEOUT_MS


def proxy_about_to_move() -> tuple[nodes.Node, str]:
    """Return a proxy that is about to move to its domain's control host."""
    node, uplink, _ = linked_proxy()
    receive_heartbeat(node, uplink, True, 100)
    node.members.record.domain = node.overlay.domain = "d3"
    node.receive(uplink, control_hosts(4, "c1", "c2", "c3"), 200)
    return node, uplink


def test_old_uplink_stays_until_the_new_one_works() -> None:
    """A new proxy moves to the control host of its domain, which is frozen.

    It hung up on the control host that served it and dialled the frozen one;
    the dial took three seconds to fail, and meanwhile a configuration was
    accepted that it did not hear of. Now it hangs up once the other answers.
    """
    node, old = proxy_about_to_move()
    now_ms = 200 + overlays.MOVE_DELAY_MS[1]
    emitted = receive_heartbeat(node, old, True, now_ms)
    assert dialled(emitted) == ["c3"]
    assert disconnected(emitted) == []
    node.linked("c3", control=True, served=False, revision=0, now_ms=2000)
    assert disconnected(receive_heartbeat(node, "c3", True, 2010)) == [old]


def test_failed_move_keeps_the_old_uplink() -> None:
    """The dial of the frozen host fails; the old link serves on."""
    node, old = proxy_about_to_move()
    receive_heartbeat(node, old, True, 200 + overlays.MOVE_DELAY_MS[1])
    node.unlinked("c3", 5000)
    assert disconnected(receive_heartbeat(node, old, True, 5010)) == []
    assert old in node.links


def test_proxy_without_uplink_dials_the_other_control_hosts() -> None:
    """The link breaks, and the next control host does not answer the dial.

    A dial to a host that is dark takes seconds to fail. After one second
    without an uplink the others are dialled as well.
    """
    node, uplink, other = linked_proxy()
    receive_heartbeat(node, uplink, True, 100)
    node.unlinked(uplink, 150)
    assert dialled(node.tick(200)) == [other]
    node.tick(100 + nodes.UPLINK_WAIT_MS - 10)
    assert dialled(node.tick(100 + nodes.UPLINK_WAIT_MS)) == [uplink]


def test_reports_bypass_a_frozen_uplink() -> None:
    """The uplink is frozen; a link to another control host is up.

    Evidence on a bad version that went to the frozen host would reach the
    leader only after it woke.
    """
    node, uplink, other = linked_proxy()
    receive_heartbeat(node, uplink, True, 100)
    assert node.report_peer == uplink
    node.linked(other, control=True, served=False, revision=0, now_ms=1900)
    receive_heartbeat(node, other, True, 100 + nodes.UNRESPONSIVE_MS)
    assert node.report_peer == other
    receive_heartbeat(node, uplink, True, 2500)
    assert node.report_peer == uplink
