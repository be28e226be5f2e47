"""Simulated fleets of request cores under various loads."""

from trefoil_emulator import core_fleet

SEARCH = core_fleet.RequestKind(
    "search", 213, 90, 300, 2000, 1000, 2, answer_bytes=5000
)
HOLD = core_fleet.RequestKind(
    "hold", 85.3, 120, 400, 2500, 1250, 1, 0.3, answer_bytes=5000
)
CONFIRM = core_fleet.RequestKind(
    "confirm", 65.9, 63, 200, 1200, 600, 0, answer_bytes=1500
)
PROFILE = core_fleet.RequestKind(
    "profile", 58.2, 36, 150, 1000, 500, 1, answer_bytes=2500
)
CHECK = core_fleet.RequestKind(
    "check", 150, 22, 100, 250, 250, 1, 0.5, answer_bytes=400
)
# Three in four targets are fast; capacity is about twice the base rates.
SLOWDOWNS = [0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7, 0.7]
LATE_CREDIT = 0.1
DURATION_MS = 10_000


def simulate_load(load: float) -> core_fleet.CoreFleet:
    """Return a fleet of eight hosts after ten seconds of load."""
    fleet = core_fleet.CoreFleet(
        SLOWDOWNS, domains=4, slots=6, kinds=[SEARCH, HOLD]
    )
    return fleet.simulate(DURATION_MS, load)


def test_a_moderate_load_is_served_within_the_latency_target() -> None:
    assert simulate_load(1.0).credit(LATE_CREDIT) >= 0.98


def test_an_overloaded_fleet_serves_as_much_as_it_can_in_time() -> None:
    """Calls that cannot be served in time must not occupy slots.

    Callers need a tenth more than the slots' capacity, and retry. If
    retries count as new calls, each occupies a slot for a late answer: 0.69
    of the credit is earned, and 0.57 on the route of lower priority,
    instead of 0.83 and 0.77. The urgent route loses nothing.
    """
    fleet = simulate_load(2.2)
    assert fleet.credit(LATE_CREDIT) >= 0.8
    assert fleet.credit(LATE_CREDIT, "search") >= 0.73
    assert fleet.credit(LATE_CREDIT, "hold") >= 0.99


def test_an_overload_does_not_flood_links_with_forwards() -> None:
    """Calls must not be forwarded to targets that are known to be full.

    All targets are full. If entry proxies ignore recent load reports, each
    call is forwarded to other domains 1.85 times, and refused there.
    """
    fleet = simulate_load(2.2)
    assert fleet.cross_domain_forwards <= 1.5 * len(fleet.callers)


def test_few_calls_are_forwarded_across_failure_domains() -> None:
    """Calls wait for slow local targets, as cross-domain traffic is charged.

    One in four targets is slow, so some callers have slow local ones. At
    1.4 times the base rates 16 in 100 calls cross domains, or a quarter if
    these callers do not wait. If half as many calls cross domains, 0.987 of
    the credit is earned instead of 0.991.
    """
    fleet = simulate_load(1.4)
    assert fleet.cross_domain_forwards <= 0.18 * len(fleet.callers)
    assert fleet.credit(LATE_CREDIT) >= 0.988


def test_short_latency_targets_do_not_wait_for_local_targets() -> None:
    """Waiting for local targets must leave enough time for the request.

    Requests and latency targets are short, and load is near the slots'
    capacity. If calls wait for up to half of their latency target, the rest
    is too short to run them, and 0.97 of the credit is earned.
    """
    fleet = core_fleet.CoreFleet(
        [0.7, 0.7, 1.6, 0.7],
        domains=4,
        slots=6,
        kinds=[CONFIRM, PROFILE, CHECK],
    )
    assert fleet.simulate(5000, 2.8).credit(LATE_CREDIT) >= 0.975


def test_calls_stay_on_their_host_if_its_target_is_as_good() -> None:
    """Calls must not go to another host without a benefit.

    Each such call passes two links and one proxy more. At the base rates a
    third of the calls go to another host. If targets on the callers' own
    host are not preferred, half of them do, and earn no more credit.
    """
    fleet = simulate_load(1.0)
    assert fleet.remote_forwards <= 0.4 * fleet.forwards
    assert fleet.credit(LATE_CREDIT) >= 0.98


LIST = core_fleet.RequestKind(
    "list", 276, 53, 295, 1770, 800, 1, 0.3, answer_bytes=5000
)
BOOK = core_fleet.RequestKind(
    "book", 73, 93, 326, 2172, 1000, answer_bytes=1500
)
LOOK_UP = core_fleet.RequestKind(
    "look-up", 400, 33, 139, 462, 460, 1, 0.5, answer_bytes=1500
)
# A link of 2 Mbit/s, less the traffic of the host's own callers.
LINK_BYTES_PER_MS = 210.0


def test_fast_targets_do_not_fill_the_links_of_their_hosts() -> None:
    """Balancing must take the bandwidth of a target's link into account.

    Eighteen targets of three slots serve 78 proxies over slow links. The
    slots of a fast target handle 125 calls per second, its link about 70.
    Balancing by slots and speed alone earns 0.82 of the credit; unlimited
    links earn 0.99.
    """
    fleet = core_fleet.CoreFleet(
        [2.0, 1.0, 1.0, 0.67] * 4 + [1.0, 1.0],
        domains=4,
        slots=3,
        kinds=[LIST, BOOK, LOOK_UP],
        uplink_bytes_per_ms=LINK_BYTES_PER_MS,
        hosts_without_target=60,
    )
    assert fleet.simulate(5000, 1.3).credit(LATE_CREDIT) >= 0.93


def test_every_caller_gets_one_final_answer() -> None:
    fleet = simulate_load(2.6)
    assert all(caller.status for caller in fleet.callers)
    assert not any(host.entry.live for host in fleet.hosts.values())
