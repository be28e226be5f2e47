"""Usual times of targets: measured at one place, told to all."""

import math
import random

from trefoil_fleet import records
from trefoil_requests import balancer as balancers
from trefoil_requests import crossing
from trefoil_requests import pace as paces
from trefoil_requests import routing
from trefoil_wire import messages

# Answers of 5 KiB that are late after 626 ms.
HURRY = crossing.Hurry(626_000, 4_172_000, crossing.cost(5))
TARGETS = 48
PROXIES = 30
REQUESTS = 60
FAST_US = 160_000
SLOW_US = 370_000
SPREAD = 0.8


def record(number: int, told_us: int) -> messages.HostRecord:
    """Return the record of a host with one target."""
    target = messages.TargetRecord(
        name=f"t{number}",
        service_name="s",
        version="v1",
        resources=[],
        slots=6,
        state=messages.TargetState.READY,
        tells_warmup=True,
        usual_us=told_us,
    )
    return messages.HostRecord(
        f"h{number}",
        f"d{number % 4}",
        "r",
        f"h{number}:1",
        1,
        1,
        messages.HostState.ALIVE,
        [target],
    )


def is_slow(number: int) -> bool:
    """Tell whether a target is one of the third that is slow."""
    return number % 3 == 2


def time_us(number: int) -> int:
    """Return a target's mean time."""
    return SLOW_US if is_slow(number) else FAST_US


def slow_share(told: bool) -> float:
    """Return the part of a large fleet's requests that slow targets get.

    Args:
        told: Whether records tell the targets' usual times.
    """
    known = records.Records()
    for number in range(TARGETS):
        known.put(record(number, time_us(number) if told else 0), 0)
    endpoints = routing.Endpoints()
    endpoints.rebuild(known, None, 0)
    serving = endpoints.serving("s", "v1", "")
    slow = 0
    for proxy in range(PROXIES):
        rng = random.Random(proxy)
        made = balancers.Balancer(f"d{proxy % 4}", rng)
        for number in range(REQUESTS):
            now_ms = 10_000 + 150 * number
            found = made.pick(serving, {}, now_ms=now_ms, urgency=HURRY)
            made.started(found.key)
            of = int(found.host[1:])
            slow += is_slow(of)
            made.answered(found.key, draw_us(rng, time_us(of)), 2, now_ms)
    return slow / (PROXIES * REQUESTS)


def draw_us(rng: random.Random, mean_us: int) -> float:
    """Return how long a request takes that has a mean time."""
    sigma = math.sqrt(math.log(1 + SPREAD**2))
    return rng.lognormvariate(math.log(mean_us) - sigma**2 / 2, sigma)


def test_a_large_fleet_finds_its_slow_targets() -> None:
    """Each proxy sees a target about once in nine seconds.

    A third of the targets take 2.3 times as long. Proxies that learn by
    themselves send a tenth of their first sixty requests there, since each
    of them has to try each near target; by the paces that are told, none.
    """
    assert slow_share(told=True) <= 0.01
    assert slow_share(told=False) >= 0.08


def test_a_pace_is_told_once_enough_was_seen_and_when_it_changes() -> None:
    pace = paces.Pace()
    for _ in range(paces.LEAST_SEEN - 1):
        pace.note(100_000)
    assert not pace.is_news
    pace.note(100_000)
    assert pace.is_news
    assert pace.tell() == 100_000
    assert not pace.is_news
    for _ in range(60):
        pace.note(500_000)
    assert pace.is_news
    assert pace.tell() > 400_000


def test_noise_is_not_told() -> None:
    """Work spreads by 0.8 of its mean; each telling goes to all the fleet.

    36,000 requests are two minutes of a target with 300 a second; the first
    tellings are its way to a mean.
    """
    rng = random.Random(1)
    pace = paces.Pace()
    told = 0
    for _ in range(36_000):
        pace.note(draw_us(rng, FAST_US))
        if pace.is_news:
            told += 1
            pace.tell()
    assert told <= 4
