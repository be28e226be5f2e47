"""Tests of the choice of targets, retry limits and silent connections."""

import collections
import random

import pytest

from trefoil_requests import balancer as balancers
from trefoil_requests import budget
from trefoil_requests import crossing
from trefoil_requests import routing
from trefoil_requests import silence as silent_connections
from trefoil_wire import messages

WARM: collections.defaultdict[str, int] = collections.defaultdict(int)
NOW_MS = 100_000


def endpoint(host: str, domain: str = "local") -> routing.Endpoint:
    """Return the endpoint of a ready target with four slots."""
    target = messages.TargetRecord(
        "t", "s", "v1", [], 4, messages.TargetState.READY
    )
    return routing.Endpoint(host, domain, f"{host}:1", target)


def picks(
    balancer: balancers.Balancer,
    endpoints: list[routing.Endpoint],
    first_seen_ms: dict[str, int] | None = None,
    count: int = 400,
) -> collections.Counter[str]:
    """Return how often the balancer picks each host."""
    chosen_hosts = collections.Counter()
    for _ in range(count):
        chosen = balancer.pick(
            endpoints,
            WARM if first_seen_ms is None else first_seen_ms,
            now_ms=NOW_MS,
        )
        chosen_hosts[chosen.host if chosen else ""] += 1
    return chosen_hosts


def make_balancer() -> balancers.Balancer:
    """Return the balancer of a proxy in the failure domain ``local``."""
    return balancers.Balancer("local", random.Random(1))


def test_the_local_domain_is_preferred_while_it_can_serve() -> None:
    balancer = make_balancer()
    endpoints = [endpoint("a"), endpoint("b", "remote")]
    assert picks(balancer, endpoints) == {"a": 400}
    for _ in range(4):
        balancer.started("a/t")
    assert picks(balancer, endpoints)["b"] == 400


def test_a_slow_target_gets_fewer_requests() -> None:
    balancer = make_balancer()
    endpoints = [endpoint(name) for name in "abc"]
    for _ in range(30):
        balancer.started("a/t")
        balancer.answered("a/t", 50_000)
    assert picks(balancer, endpoints)["a"] == 0


def test_a_cold_target_starts_slowly() -> None:
    balancer = make_balancer()
    endpoints = [endpoint("a"), endpoint("b"), endpoint("c")]
    first_seen_ms = {"a/t": NOW_MS - 100, "b/t": 0, "c/t": 0}
    for name in "bc":
        balancer.started(f"{name}/t")
    assert picks(balancer, endpoints, first_seen_ms)["a"] == 0


def test_a_lost_target_is_avoided_for_a_while() -> None:
    balancer = make_balancer()
    balancer.started("a/t")
    balancer.lost("a/t", NOW_MS)
    assert picks(balancer, [endpoint("a"), endpoint("b")]) == {"b": 400}
    assert balancer.pick([endpoint("a")], WARM, now_ms=NOW_MS) is None
    later_ms = NOW_MS + balancers.LOST_PAUSE_MS
    assert balancer.pick([endpoint("a")], WARM, now_ms=later_ms) is not None


def test_tried_targets_are_not_tried_again() -> None:
    balancer = make_balancer()
    chosen = balancer.pick(
        [endpoint("a"), endpoint("b")], WARM, tried={"a/t"}, now_ms=NOW_MS
    )
    assert chosen.host == "b"


def test_retries_are_a_bounded_share() -> None:
    """Guards against unlimited retries while a service refuses everything."""
    retry_budget = budget.RetryBudget(0.2, reserve=10)
    retried = 0
    for _ in range(1000):
        retry_budget.deposit()
        retried += retry_budget.withdraw(budget.Cause.REFUSED)
    assert retried <= 10 + 0.2 * 1000


@pytest.mark.parametrize(
    ("path", "matches"),
    [("/a", True), ("/a/b", True), ("/a?x", True), ("/ab", False)],
)
def test_prefixes_end_at_segments(path: str, matches: bool) -> None:
    assert routing._is_under_prefix(path.partition("?")[0], "/a") is matches


def test_a_silent_connection_is_detected() -> None:
    """One request waits while twenty that were sent later are answered."""
    detector = silent_connections.SilentConnectionDetector()
    detector.sent_at(1, 0)
    for number in range(2, 22):
        detector.sent_at(number, number * 20)
        detector.answered(number, number * 20 + 10)
    assert detector.silent(490) == []
    assert detector.silent(510) == [1]


def test_a_slow_target_is_not_taken_for_silent() -> None:
    """All requests take seconds and are answered in the order sent."""
    detector = silent_connections.SilentConnectionDetector()
    for number in range(40):
        detector.sent_at(number, number * 100)
    for number in range(20):
        detector.answered(number, 3000 + number * 100)
    assert detector.silent(5000) == []


def test_a_reported_load_counts() -> None:
    """Guards against sending to a local target that other proxies fill."""
    balancer = make_balancer()
    endpoints = [endpoint("a"), endpoint("b", "remote")]
    for name in "ab":
        balancer.started(f"{name}/t")
    balancer.answered("a/t", 20_000, load=9, now_ms=NOW_MS)
    balancer.answered("b/t", 20_000, load=0, now_ms=NOW_MS)
    assert picks(balancer, endpoints) == {"b": 400}


def test_cross_domain_bytes_keep_a_call_local() -> None:
    """The remote target is a third faster, but the bytes cost more."""
    balancer = make_balancer()
    endpoints = [endpoint("a"), endpoint("b", "remote")]
    for name, took_us in (("a", 150_000), ("b", 100_000)):
        balancer.started(f"{name}/t")
        balancer.answered(f"{name}/t", took_us)
    assert balancer.pick(endpoints, WARM, now_ms=NOW_MS).host == "b"
    urgency = crossing.Urgency(
        500_000, 2_000_000, crossing.cross_domain_cost(5)
    )
    chosen = balancer.pick(endpoints, WARM, now_ms=NOW_MS, urgency=urgency)
    assert chosen.host == "a"


@pytest.mark.parametrize(
    ("cost_per_kib", "crosses"), [(0.0, True), (0.03, True), (0.2, False)]
)
def test_where_bytes_are_dear_a_call_stays_local(
    cost_per_kib: float, crosses: bool
) -> None:
    """Guards an operator's bill against calls that gain little elsewhere."""
    cost = crossing.cross_domain_cost(2, cost_per_kib)
    urgency = crossing.Urgency(500_000, 2_000_000, cost)
    here = urgency.loss(450_000, cross_domain=False)
    there = urgency.loss(250_000, cross_domain=True)
    assert (there < here) == crosses


def test_a_target_that_fails_half_of_its_requests_is_avoided() -> None:
    """Guards against a target that reports itself healthy but fails fast.

    Chosen by speed alone it would attract most requests. After its failures
    stop, it is used again.
    """
    balancer = make_balancer()
    endpoints = [endpoint("a"), endpoint("b")]
    for number in range(20):
        for name in "ab":
            balancer.started(f"{name}/t")
            balancer.answered(f"{name}/t", 20_000)
        balancer.note_outcome("a/t", number % 2 == 0, NOW_MS)
    assert picks(balancer, endpoints)["a"] == 0
    later_ms = NOW_MS + balancers.FAILURE_DECAY_MS
    assert balancer.pick([endpoint("a")], WARM, now_ms=later_ms) is not None
    chosen_hosts = {
        balancer.pick(endpoints, WARM, now_ms=later_ms).host
        for _ in range(100)
    }
    assert chosen_hosts == {"a", "b"}


def test_a_limited_target_gets_no_call_before_this_proxys_turn() -> None:
    """Calls were sent to a target that could only refuse them."""
    balancer = make_balancer()
    endpoints = [endpoint("a"), endpoint("b")]
    for _ in range(5):
        balancer.started("b/t")
    balancer.note_limit("a/t", 300, NOW_MS - 100)
    assert picks(balancer, endpoints) == {"b": 400}
    assert balancer.is_full(endpoints[0], NOW_MS)
    balancer.note_limit("a/t", 300, NOW_MS - 300)
    assert picks(balancer, endpoints)["a"] > 100


def test_the_turn_at_a_limited_target_is_used_once() -> None:
    """A proxy sent a second call before its first one was answered."""
    balancer = make_balancer()
    endpoints = [endpoint("a"), endpoint("b")]
    balancer.note_limit("a/t", 300, NOW_MS - 300)
    balancer.started("a/t", NOW_MS)
    assert picks(balancer, endpoints) == {"b": 400}
