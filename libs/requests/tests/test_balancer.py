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
    target = messages.TargetRecord(
        "t", "s", "v1", [], 4, messages.TargetState.READY
    )
    return routing.Endpoint(host, domain, f"{host}:1", target)


def picks(
    balancer: balancers.Balancer,
    endpoints: list[routing.Endpoint],
    first_seen: dict[str, int] | None = None,
    count: int = 400,
) -> collections.Counter[str]:
    chosen_hosts = collections.Counter()
    for _ in range(count):
        chosen = balancer.pick(
            endpoints,
            WARM if first_seen is None else first_seen,
            now_ms=NOW_MS,
        )
        chosen_hosts[chosen.host if chosen else ""] += 1
    return chosen_hosts


def balancer() -> balancers.Balancer:
    return balancers.Balancer("local", random.Random(1))


def test_the_local_domain_is_preferred_while_it_can_serve() -> None:
    target_balancer = balancer()
    both = [endpoint("a"), endpoint("b", "remote")]
    assert picks(target_balancer, both) == {"a": 400}
    for _ in range(4):
        target_balancer.started("a/t")
    assert picks(target_balancer, both)["b"] == 400


def test_a_slow_target_gets_fewer_requests() -> None:
    target_balancer = balancer()
    three = [endpoint(name) for name in "abc"]
    for _ in range(30):
        target_balancer.started("a/t")
        target_balancer.answered("a/t", 50_000)
    assert picks(target_balancer, three)["a"] == 0


def test_a_cold_target_starts_slowly() -> None:
    target_balancer = balancer()
    two = [endpoint("a"), endpoint("b"), endpoint("c")]
    seen = {"a/t": NOW_MS - 100, "b/t": 0, "c/t": 0}
    for name in "bc":
        target_balancer.started(f"{name}/t")
    assert picks(target_balancer, two, seen)["a"] == 0


def test_a_lost_target_is_avoided_for_a_while() -> None:
    target_balancer = balancer()
    target_balancer.started("a/t")
    target_balancer.lost("a/t", NOW_MS)
    assert picks(target_balancer, [endpoint("a"), endpoint("b")]) == {"b": 400}
    assert target_balancer.pick([endpoint("a")], WARM, now_ms=NOW_MS) is None
    later = NOW_MS + balancers.LOST_PAUSE_MS
    assert (
        target_balancer.pick([endpoint("a")], WARM, now_ms=later) is not None
    )


def test_tried_targets_are_not_tried_again() -> None:
    target_balancer = balancer()
    chosen = target_balancer.pick(
        [endpoint("a"), endpoint("b")], WARM, tried={"a/t"}, now_ms=NOW_MS
    )
    assert chosen.host == "b"


def test_retries_are_a_bounded_share() -> None:
    """Guards against unlimited retries while a service sheds everything."""
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
    watch = silent_connections.SilentConnectionDetector()
    watch.sent_at(1, 0)
    for number in range(2, 22):
        watch.sent_at(number, number * 20)
        watch.answered(number, number * 20 + 10)
    assert watch.silent(490) == []
    assert watch.silent(510) == [1]


def test_a_slow_target_is_not_taken_for_silent() -> None:
    """All requests take seconds, and none is far ahead of the others."""
    watch = silent_connections.SilentConnectionDetector()
    for number in range(40):
        watch.sent_at(number, number * 100)
    for number in range(20):
        watch.answered(number, 3000 + number * 100)
    assert watch.silent(5000) == []


def test_a_reported_load_counts() -> None:
    """Guards against sending to a local target that other proxies fill."""
    target_balancer = balancer()
    both = [endpoint("a"), endpoint("b", "remote")]
    for name in "ab":
        target_balancer.started(f"{name}/t")
    target_balancer.answered("a/t", 20_000, load=9, now_ms=NOW_MS)
    target_balancer.answered("b/t", 20_000, load=0, now_ms=NOW_MS)
    assert picks(target_balancer, both) == {"b": 400}


def test_cross_domain_bytes_keep_a_call_local() -> None:
    """The remote target is a third faster, but the bytes cost more."""
    target_balancer = balancer()
    both = [endpoint("a"), endpoint("b", "remote")]
    for name, took_us in (("a", 150_000), ("b", 100_000)):
        target_balancer.started(f"{name}/t")
        target_balancer.answered(f"{name}/t", took_us)
    assert target_balancer.pick(both, WARM, now_ms=NOW_MS).host == "b"
    urgency = crossing.Urgency(
        500_000, 2_000_000, crossing.cross_domain_cost(5)
    )
    chosen = target_balancer.pick(both, WARM, now_ms=NOW_MS, urgency=urgency)
    assert chosen.host == "a"


def test_a_target_that_fails_half_of_its_requests_is_avoided() -> None:
    """Guards against a target that reports itself healthy but fails fast.

    Chosen by speed alone it would attract most requests. After its failures
    stop, it is used again.
    """
    target_balancer = balancer()
    both = [endpoint("a"), endpoint("b")]
    for number in range(20):
        for name in "ab":
            target_balancer.started(f"{name}/t")
            target_balancer.answered(f"{name}/t", 20_000)
        target_balancer.note_outcome("a/t", number % 2 == 0, NOW_MS)
    assert picks(target_balancer, both)["a"] == 0
    later = NOW_MS + balancers.FAILURE_DECAY_MS
    assert (
        target_balancer.pick([endpoint("a")], WARM, now_ms=later) is not None
    )
    chosen_hosts = {
        target_balancer.pick(both, WARM, now_ms=later).host for _ in range(100)
    }
    assert chosen_hosts == {"a", "b"}
