"""Whom processes link to when the settings name only a few hosts."""

import random
import typing

from trefoil_fleet import effects
from trefoil_fleet import node as nodes
from trefoil_fleet import overlay as overlays
from trefoil_model import effects as common
from trefoil_wire import messages

GIVEN = {"c1": "c1:1", "c2": "c2:1"}


def overlay(me: str, *, control: bool = False) -> overlays.Overlay:
    """Return the overlay of a process in failure domain d3."""
    return overlays.Overlay(
        me,
        domain="d3",
        control=control,
        seeds={},
        controls={k: v for k, v in GIVEN.items() if k != me},
        rng=random.Random(1),
    )


def listed(number: int, *names: str) -> messages.ControlHosts:
    """Return a list of control hosts, each in a domain of its own."""
    hosts = [
        messages.ControlHost(name, f"{name}:1", f"d{name[1:]}")
        for name in names
    ]
    return messages.ControlHosts(number, hosts)


def test_a_proxy_moves_to_the_control_host_of_its_domain() -> None:
    """It starts with two addresses, neither of its own failure domain."""
    made = overlay("p1")
    assert made.uplink in GIVEN
    made.linked(made.uplink, 0)
    assert made.learn(listed(4, "c1", "c2", "c3"), 1000)
    old = made.uplink
    assert made.go_home(1000 + overlays.MOVE_HOME_MS[1]) == old
    assert made.uplink == "c3"


def test_an_older_list_changes_nothing() -> None:
    made = overlay("p1")
    made.learn(listed(9, "c1", "c2", "c3"), 0)
    assert not made.learn(listed(8, "c1"), 0)
    assert "c3" in made.controls


def test_hosts_of_the_settings_stay_known() -> None:
    """All that were listed may be gone; the settings lead back."""
    made = overlay("p1")
    made.learn(listed(9, "c8", "c9"), 0)
    assert set(made.controls) == {"c1", "c2", "c8", "c9"}


def test_a_stranger_dials_those_that_do_not_know_it() -> None:
    """A new control host has the greatest name, so nobody dials it."""
    made = overlay("c9", control=True)
    assert made.wanted(spare=False, now_ms=0) == []
    later = made.wanted(spare=False, now_ms=overlays.STRANGER_MS)
    assert later == ["c1", "c2"]


def test_without_proof_every_control_host_is_asked() -> None:
    made = overlay("p1")
    assert made.wanted(spare=True) == ["c1", "c2"]


def proxy_below() -> tuple[nodes.Node, str, str]:
    """Return a proxy linked to its control host, and both hosts' names."""
    record = messages.HostRecord(
        "p1", "d1", "r", "p1:1", 1, 1, messages.HostState.ALIVE, []
    )
    node = nodes.Node(
        record,
        control=False,
        seeds={},
        controls=GIVEN,
        now_ms=0,
        rng=random.Random(1),
    )
    node.config.floor.proved = True
    uplink = node.overlay.uplink
    other = next(name for name in GIVEN if name != uplink)
    node.linked(uplink, control=True, served=False, revision=0, now_ms=10)
    return node, uplink, other


def dialled(found: list[typing.Any]) -> list[str]:
    """Return the hosts that effects dial."""
    return [e.host for e in found if isinstance(e, effects.Dial)]


def hung_up(found: list[typing.Any]) -> list[str]:
    """Return the hosts that effects hang up on."""
    return [e.host for e in found if isinstance(e, effects.HangUp)]


def beat(
    node: nodes.Node, peer: str, led: bool, now_ms: int
) -> list[typing.Any]:
    """Let a peer's heartbeat arrive and time pass."""
    message = messages.Heartbeat(0, 0, 0, led)
    return node.receive(peer, message, now_ms) + node.tick(now_ms)


def test_a_proxy_looks_beyond_a_control_host_that_hears_no_leader() -> None:
    """Its control host is cut off from the others, the proxy is not.

    The link works, so the proxy served an old configuration until the cut
    healed. Now it links to the others too, and lets go of them afterwards.
    """
    node, uplink, other = proxy_below()
    assert dialled(beat(node, uplink, True, 100)) == []
    assert dialled(beat(node, uplink, False, 200)) == [other]
    node.linked(other, control=True, served=False, revision=0, now_ms=210)
    assert hung_up(beat(node, uplink, True, 300)) == [other]
    assert uplink in node.links


def test_a_proxy_looks_beyond_a_control_host_that_says_nothing() -> None:
    """Its control host freezes; a new configuration is accepted meanwhile.

    The frozen host neither answers nor closes the link, so its proxies
    served the old configuration until the link counted as silent, 3.5 s
    later. They link to the others after a missed heartbeat, and keep the
    silent link in case its host wakes.
    """
    node, uplink, other = proxy_below()
    beat(node, uplink, True, 100)
    assert dialled(node.tick(100 + nodes.DOUBT_MS - 1)) == []
    assert dialled(node.tick(100 + nodes.DOUBT_MS)) == [other]
    node.linked(other, control=True, served=False, revision=0, now_ms=2000)
    beat(node, other, True, 2100)
    assert uplink in node.links
    assert hung_up(beat(node, uplink, True, 2200)) == [other]


def test_the_floor_is_asked_for_as_soon_as_a_leader_is_heard() -> None:
    """All hosts lost power; a proxy is back before the control hosts agree.

    Its first question came before there was a leader and got no answer. The
    next one was due 0.4 s later, and callers were refused meanwhile although
    the leader could have told.
    """
    node, uplink, _ = proxy_below()
    node.config.floor.proved = False

    def asked(found: list[typing.Any]) -> int:
        sent = [e.message for e in found if isinstance(e, common.Send)]
        return sum(isinstance(m, messages.FloorQuery) for m in sent)

    assert asked(beat(node, uplink, False, 1000)) == 1
    assert asked(beat(node, uplink, False, 1100)) == 0
    assert asked(beat(node, uplink, True, 1150)) == 1
    assert asked(beat(node, uplink, True, 1200)) == 0


def test_doubt_comes_early_enough_for_the_next_configuration() -> None:
    """One missed heartbeat is enough; the link itself stays longer."""
    assert nodes.HEARTBEAT_MS < nodes.DOUBT_MS < 2 * nodes.HEARTBEAT_MS
    assert nodes.DOUBT_MS < nodes.SILENT_MS


def going_home() -> tuple[nodes.Node, str]:
    """Return a proxy that is about to move to its domain's control host."""
    node, uplink, _ = proxy_below()
    beat(node, uplink, True, 100)
    node.members.record.domain = node.overlay.domain = "d3"
    node.receive(uplink, listed(4, "c1", "c2", "c3"), 200)
    return node, uplink


def test_the_old_link_stays_until_the_new_one_works() -> None:
    """A new proxy moves to the control host of its domain, which is frozen.

    It hung up on the control host that served it and dialled the frozen one;
    the dial took three seconds to fail, and meanwhile a configuration was
    accepted that it did not hear of. Now it hangs up once the other answers.
    """
    node, old = going_home()
    now_ms = 200 + overlays.MOVE_HOME_MS[1]
    found = beat(node, old, True, now_ms)
    assert dialled(found) == ["c3"]
    assert hung_up(found) == []
    node.linked("c3", control=True, served=False, revision=0, now_ms=2000)
    assert hung_up(beat(node, "c3", True, 2010)) == [old]


def test_a_home_that_does_not_answer_costs_no_link() -> None:
    """The dial of the frozen host fails; the old link serves on."""
    node, old = going_home()
    beat(node, old, True, 200 + overlays.MOVE_HOME_MS[1])
    node.unlinked("c3", 5000)
    assert hung_up(beat(node, old, True, 5010)) == []
    assert old in node.links


def test_a_proxy_without_its_uplink_looks_beyond_it() -> None:
    """The link breaks, and the next control host does not answer the dial.

    A dial to a host that is dark takes seconds to fail. After one second
    without an uplink the others are dialled as well.
    """
    node, uplink, other = proxy_below()
    beat(node, uplink, True, 100)
    node.unlinked(uplink, 150)
    assert dialled(node.tick(200)) == [other]
    node.tick(100 + nodes.UNLINKED_MS - 10)
    assert dialled(node.tick(100 + nodes.UNLINKED_MS)) == [uplink]


def test_reports_pass_a_frozen_uplink_by() -> None:
    """The uplink is frozen; a link to another control host is up.

    Evidence on a bad version that went to the frozen host would reach the
    leader only after it woke.
    """
    node, uplink, other = proxy_below()
    beat(node, uplink, True, 100)
    assert node.above == uplink
    node.linked(other, control=True, served=False, revision=0, now_ms=1900)
    beat(node, other, True, 100 + nodes.DOUBT_MS)
    assert node.above == other
    beat(node, uplink, True, 2500)
    assert node.above == uplink
