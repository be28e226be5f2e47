"""Which target gets a request, and how retries and silence are bounded."""

import collections
import random

import pytest

from trefoil_requests import balancer as balancers
from trefoil_requests import budget
from trefoil_requests import crossing
from trefoil_requests import routing
from trefoil_requests import silence
from trefoil_wire import messages

WARM: collections.defaultdict[str, int] = collections.defaultdict(int)
NOW_MS = 100_000


def endpoint(host: str, domain: str = "near") -> routing.Endpoint:
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
    found = collections.Counter()
    for _ in range(count):
        chosen = balancer.pick(
            endpoints,
            WARM if first_seen is None else first_seen,
            now_ms=NOW_MS,
        )
        found[chosen.host if chosen else ""] += 1
    return found


def balancer() -> balancers.Balancer:
    return balancers.Balancer("near", random.Random(1))


def test_the_near_domain_is_preferred_while_it_can_serve() -> None:
    made = balancer()
    both = [endpoint("a"), endpoint("b", "far")]
    assert picks(made, both) == {"a": 400}
    for _ in range(4):
        made.started("a/t")
    assert picks(made, both)["b"] == 400


def test_a_slow_target_gets_less() -> None:
    made = balancer()
    three = [endpoint(name) for name in "abc"]
    for _ in range(30):
        made.started("a/t")
        made.answered("a/t", 50_000)
    assert picks(made, three)["a"] == 0


def test_a_cold_target_starts_slowly() -> None:
    made = balancer()
    two = [endpoint("a"), endpoint("b"), endpoint("c")]
    seen = {"a/t": NOW_MS - 100, "b/t": 0, "c/t": 0}
    for name in "bc":
        made.started(f"{name}/t")
    assert picks(made, two, seen)["a"] == 0


def test_a_lost_target_is_left_alone_for_a_while() -> None:
    made = balancer()
    made.started("a/t")
    made.lost("a/t", NOW_MS)
    assert picks(made, [endpoint("a"), endpoint("b")]) == {"b": 400}
    assert made.pick([endpoint("a")], WARM, now_ms=NOW_MS) is None
    later = NOW_MS + balancers.LOST_PAUSE_MS
    assert made.pick([endpoint("a")], WARM, now_ms=later) is not None


def test_tried_targets_are_not_tried_again() -> None:
    made = balancer()
    chosen = made.pick(
        [endpoint("a"), endpoint("b")], WARM, tried={"a/t"}, now_ms=NOW_MS
    )
    assert chosen.host == "b"


def test_retries_are_a_bounded_share() -> None:
    """A service sheds everything; each request would be retried."""
    made = budget.RetryBudget(0.2, reserve=10)
    retried = 0
    for _ in range(1000):
        made.deposit()
        retried += made.withdraw(budget.Cause.REFUSED)
    assert retried <= 10 + 0.2 * 1000


@pytest.mark.parametrize(
    ("path", "taken"),
    [("/a", True), ("/a/b", True), ("/a?x", True), ("/ab", False)],
)
def test_prefixes_end_at_segments(path: str, taken: bool) -> None:
    assert routing._is_under_prefix(path.partition("?")[0], "/a") is taken


def test_a_silent_connection_is_found() -> None:
    """One request waits while twenty sent after it were answered."""
    watch = silence.SilenceWatch()
    watch.sent_at(1, 0)
    for number in range(2, 22):
        watch.sent_at(number, number * 20)
        watch.answered(number, number * 20 + 10)
    assert watch.silent(490) == []
    assert watch.silent(510) == [1]


def test_a_slow_target_is_not_taken_for_silent() -> None:
    """All its requests take seconds; none overtakes the others by much."""
    watch = silence.SilenceWatch()
    for number in range(40):
        watch.sent_at(number, number * 100)
    for number in range(20):
        watch.answered(number, 3000 + number * 100)
    assert watch.silent(5000) == []


def test_what_a_target_tells_of_its_load_counts() -> None:
    """Other proxies fill a near target; this one sees few of its own."""
    made = balancer()
    both = [endpoint("a"), endpoint("b", "far")]
    for name in "ab":
        made.started(f"{name}/t")
    made.answered("a/t", 20_000, load=9, now_ms=NOW_MS)
    made.answered("b/t", 20_000, load=0, now_ms=NOW_MS)
    assert picks(made, both) == {"b": 400}


def test_bytes_between_domains_hold_a_call_near() -> None:
    """The far target is a third faster, which the bytes are not worth."""
    made = balancer()
    both = [endpoint("a"), endpoint("b", "far")]
    for name, took_us in (("a", 150_000), ("b", 100_000)):
        made.started(f"{name}/t")
        made.answered(f"{name}/t", took_us)
    assert made.pick(both, WARM, now_ms=NOW_MS).host == "b"
    urgency = crossing.Hurry(500_000, 2_000_000, crossing.cost(5))
    near = made.pick(both, WARM, now_ms=NOW_MS, urgency=urgency)
    assert near.host == "a"


def test_a_target_that_fails_half_of_its_requests_is_left_alone() -> None:
    """Its health is good and its failures are fast; later it is found again.

    Chosen by its speed it would draw most requests.
    """
    made = balancer()
    both = [endpoint("a"), endpoint("b")]
    for number in range(20):
        for name in "ab":
            made.started(f"{name}/t")
            made.answered(f"{name}/t", 20_000)
        made.note_outcome("a/t", number % 2 == 0, NOW_MS)
    assert picks(made, both)["a"] == 0
    later = NOW_MS + balancers.FAILURE_DECAY_MS
    assert made.pick([endpoint("a")], WARM, now_ms=later) is not None
    found = {made.pick(both, WARM, now_ms=later).host for _ in range(100)}
    assert found == {"a", "b"}
