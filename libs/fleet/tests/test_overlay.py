"""Whom processes link to when the settings name only a few hosts."""

import random

from trefoil_fleet import effects
from trefoil_fleet import node as nodes
from trefoil_fleet import overlay as overlays
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


def test_a_proxy_looks_beyond_a_control_host_that_hears_no_leader() -> None:
    """Its control host is cut off from the others, the proxy is not.

    The link works, so the proxy served an old configuration until the cut
    healed. Now it links to the others too, and lets go of them afterwards.
    """
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

    def dialled(led: bool, now_ms: int) -> list[str]:
        beat = messages.Heartbeat(0, 0, 0, led)
        found = node.receive(uplink, beat, now_ms) + node.tick(now_ms)
        return [e.host for e in found if isinstance(e, effects.Dial)]

    assert dialled(True, 100) == []
    assert dialled(False, 200) == [other]
    node.linked(other, control=True, served=False, revision=0, now_ms=210)
    beat = messages.Heartbeat(0, 0, 0, True)
    found = node.receive(uplink, beat, 300) + node.tick(300)
    assert [e.host for e in found if isinstance(e, effects.HangUp)] == [other]
    assert uplink in node.links
