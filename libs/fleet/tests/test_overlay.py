"""The links of processes whose settings name only a few control hosts."""

import random
import typing

from trefoil_fleet import effects
from trefoil_fleet import node as nodes
from trefoil_fleet import overlay as overlays
from trefoil_model import effects as common
from trefoil_wire import messages

CONFIGURED = {"c1": "c1:1", "c2": "c2:1"}


def overlay(local_host: str, *, control: bool = False) -> overlays.Overlay:
    """Return the overlay of a process in failure domain d3."""
    return overlays.Overlay(
        local_host,
        domain="d3",
        control=control,
        seeds={},
        controls={k: v for k, v in CONFIGURED.items() if k != local_host},
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
    """The settings name two hosts, neither in its own failure domain."""
    links = overlay("p1")
    assert links.uplink in CONFIGURED
    links.linked(links.uplink, 0)
    assert links.update_controls(control_hosts(4, "c1", "c2", "c3"), 1000)
    old = links.uplink
    assert links.return_to_preferred(1000 + overlays.MOVE_DELAY_MS[1]) == old
    assert links.uplink == "c3"


def test_an_older_list_changes_nothing() -> None:
    """A delayed list must not remove a control host of a newer one."""
    links = overlay("p1")
    links.update_controls(control_hosts(9, "c1", "c2", "c3"), 0)
    assert not links.update_controls(control_hosts(8, "c1"), 0)
    assert "c3" in links.controls


def test_configured_control_hosts_stay_known() -> None:
    """If all listed hosts are down, it can reconnect through the settings."""
    links = overlay("p1")
    links.update_controls(control_hosts(9, "c8", "c9"), 0)
    assert set(links.controls) == {"c1", "c2", "c8", "c9"}


def test_new_control_host_dials_peers_that_do_not_know_it() -> None:
    """A new control host whose name sorts last would never be dialled."""
    links = overlay("c9", control=True)
    assert links.wanted(extra=False, now_ms=0) == []
    later = links.wanted(extra=False, now_ms=overlays.UNKNOWN_PEER_DIAL_MS)
    assert later == ["c1", "c2"]


def test_unproved_floor_links_to_every_control_host() -> None:
    """Without a leader the floor needs confirmations of several voters."""
    links = overlay("p1")
    assert links.wanted(extra=True) == ["c1", "c2"]


def linked_proxy() -> tuple[nodes.Node, str, str]:
    """Return a proxy, its uplink's name and the other control host's."""
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
    """Return the hosts that effects disconnect."""
    return [e.host for e in emitted if isinstance(e, effects.Disconnect)]


def receive_heartbeat(
    node: nodes.Node, peer: str, leader_known: bool, now_ms: int
) -> list[typing.Any]:
    """Deliver a heartbeat from a peer and run a tick."""
    message = messages.Heartbeat(0, 0, 0, leader_known)
    return node.receive(peer, message, now_ms) + node.tick(now_ms)


def test_proxy_dials_others_when_its_uplink_knows_no_leader() -> None:
    """The control host of a proxy is cut off from the other control hosts.

    The link to it works, so without further links the proxy would serve an
    old configuration until the partition heals. It links to the others for
    that time and disconnects them afterwards.
    """
    node, uplink, other = linked_proxy()
    assert dialled(receive_heartbeat(node, uplink, True, 100)) == []
    assert dialled(receive_heartbeat(node, uplink, False, 200)) == [other]
    node.linked(other, control=True, served=False, revision=0, now_ms=210)
    assert disconnected(receive_heartbeat(node, uplink, True, 300)) == [other]
    assert uplink in node.links


def test_proxy_dials_others_when_its_uplink_is_unresponsive() -> None:
    """A control host is suspended while a new configuration is accepted.

    It neither answers nor closes the link, so its proxies would serve the old
    configuration until the link times out after 3.5 s. They link to the
    others after a missed heartbeat, and keep the unresponsive link in case
    its host resumes.
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
    """After a power failure a proxy starts before a leader is elected.

    Its first floor query gets no reply, and the next regular one is due
    0.4 s later. Callers would be refused until then although the leader
    could already have replied.
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
    """The link itself is closed only after a longer silence."""
    assert nodes.HEARTBEAT_MS < nodes.UNRESPONSIVE_MS < 2 * nodes.HEARTBEAT_MS
    assert nodes.UNRESPONSIVE_MS < nodes.LINK_TIMEOUT_MS


def proxy_about_to_move() -> tuple[nodes.Node, str]:
    """Return a proxy about to move to its domain's host, and its uplink."""
    node, uplink, _ = linked_proxy()
    receive_heartbeat(node, uplink, True, 100)
    node.members.record.domain = node.overlay.domain = "d3"
    node.receive(uplink, control_hosts(4, "c1", "c2", "c3"), 200)
    return node, uplink


def test_old_uplink_stays_until_the_new_one_works() -> None:
    """A new proxy moves to its domain's control host, which is suspended.

    The dial takes three seconds to fail. If the proxy disconnected its old
    uplink first, it would miss a configuration accepted meanwhile. It
    disconnects only once the new uplink answers.
    """
    node, old = proxy_about_to_move()
    now_ms = 200 + overlays.MOVE_DELAY_MS[1]
    emitted = receive_heartbeat(node, old, True, now_ms)
    assert dialled(emitted) == ["c3"]
    assert disconnected(emitted) == []
    node.linked("c3", control=True, served=False, revision=0, now_ms=2000)
    assert disconnected(receive_heartbeat(node, "c3", True, 2010)) == [old]


def test_failed_move_keeps_the_old_uplink() -> None:
    """The dial to the suspended host fails; the old uplink keeps serving."""
    node, old = proxy_about_to_move()
    receive_heartbeat(node, old, True, 200 + overlays.MOVE_DELAY_MS[1])
    node.unlinked("c3", 5000)
    assert disconnected(receive_heartbeat(node, old, True, 5010)) == []
    assert old in node.links


def test_proxy_without_uplink_dials_the_other_control_hosts() -> None:
    """The link breaks, and the next control host does not answer the dial.

    A dial to a host that does not answer takes seconds to fail. After one
    second without an uplink the others are dialled as well.
    """
    node, uplink, other = linked_proxy()
    receive_heartbeat(node, uplink, True, 100)
    node.unlinked(uplink, 150)
    assert dialled(node.tick(200)) == [other]
    node.tick(100 + nodes.UPLINK_WAIT_MS - 10)
    assert dialled(node.tick(100 + nodes.UPLINK_WAIT_MS)) == [uplink]


def test_reports_bypass_a_suspended_uplink() -> None:
    """The uplink is suspended while another control host is linked.

    Evidence against a bad version sent to the suspended host would reach the
    leader only after that host resumes.
    """
    node, uplink, other = linked_proxy()
    receive_heartbeat(node, uplink, True, 100)
    assert node.report_peer == uplink
    node.linked(other, control=True, served=False, revision=0, now_ms=1900)
    receive_heartbeat(node, other, True, 100 + nodes.UNRESPONSIVE_MS)
    assert node.report_peer == other
    receive_heartbeat(node, uplink, True, 2500)
    assert node.report_peer == uplink
