"""Tests of the shares of accounts in a target's slots."""

import pytest

from trefoil_requests import admission
from trefoil_requests import fair_shares

FAR_MS = 60_000


def _loaded(work_ms, weights=None, slots=4):
    shares = fair_shares.FairShares(slots, weights)
    for account, work in work_ms.items():
        shares.add(account, work, 0)
    return shares


@pytest.mark.parametrize(
    ("work_ms", "weights", "over"),
    [
        ({"a": 4000.0}, None, set()),
        ({"a": 2000.0, "b": 2000.0}, None, set()),
        ({"a": 3500.0, "b": 500.0}, None, {"a"}),
        ({"a": 3500.0, "b": 500.0}, {"a": 9.0, "b": 1.0}, set()),
        ({"a": 2000.0, "b": 2000.0}, {"a": 9.0, "b": 1.0}, {"b"}),
        ({"a": 2000.0, "b": 2000.0}, {"a": 9.0}, set()),
    ],
    ids=[
        "an account alone has all slots",
        "equal work",
        "an account that floods",
        "a heavy account within its part",
        "a light account beyond its part",
        "an account without a weight weighs the mean",
    ],
)
def test_accounts_far_beyond_their_part_come_last(work_ms, weights, over):
    shares = _loaded(work_ms, weights)
    assert {name for name in work_ms if shares.place(name)} == over


def test_work_is_forgotten():
    """Guards against an account that stays behind others after its burst."""
    shares = _loaded({"a": 3900.0, "b": 100.0})
    assert shares.place("a")
    shares.add("b", 100.0, 5000)
    assert not shares.place("a")


def test_accounts_are_bounded():
    """Guards against memory that grows with every account ever seen."""
    shares = fair_shares.FairShares(4)
    for number in range(fair_shares.MAX_ACCOUNTS * 3):
        shares.add(f"a{number}", 10.0 + number, 0)
    assert len(shares.work_ms) <= fair_shares.MAX_ACCOUNTS


def _request(request_id, account="", due=900, priority=0, route_priority=0):
    return admission.QueuedRequest(
        request_id,
        FAR_MS,
        due,
        priority,
        "r",
        route_priority=route_priority,
        account=account,
    )


@pytest.mark.parametrize(
    ("first", "second"),
    [
        (
            _request(2, "flood", priority=0, route_priority=1),
            _request(3, "calm", priority=1, route_priority=0),
        ),
        (
            _request(2, "flood", due=999, route_priority=0),
            _request(3, "calm", due=800, route_priority=1),
        ),
        (
            _request(2, "calm", due=999),
            _request(3, "flood", due=800),
        ),
        (_request(2, "calm", due=800), _request(3, "calm", due=999)),
    ],
    ids=[
        "priority of accounts before all",
        "priority of routes before shares",
        "shares before latency targets",
        "the nearest latency target of an account",
    ],
)
def test_order_of_the_queue(first, second):
    slots = admission.AdmissionController(1)
    slots.shares.add("flood", 900.0, 0)
    slots.shares.add("calm", 10.0, 0)
    slots.offer(_request(1), 0)
    slots.offer(second, 0)
    slots.offer(first, 0)
    slots.finished()
    assert slots.next_admitted(0) == first.request_id


def test_a_full_queue_makes_room_for_an_account_within_its_share():
    """Guards against neighbours that a flood keeps out of the queue."""
    slots = admission.AdmissionController(1)
    slots.shares.add("flood", 900.0, 0)
    slots.offer(_request(1), 0)
    for number in range(admission.QUEUE_PER_SLOT):
        slots.offer(_request(2 + number, "flood", due=800), 0)
    decision = slots.offer(_request(9, "calm", due=999), 0)
    assert isinstance(decision, admission.Queued)
    assert decision.evicted
