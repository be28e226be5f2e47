"""Tests of processing times, measured by one proxy and sent to all."""

import math
import random

from trefoil_fleet import records
from trefoil_requests import balancer as balancers
from trefoil_requests import crossing as crossings
from trefoil_requests import pace as processing_times
from trefoil_requests import routing
from trefoil_wire import messages

# Answers of 5 KiB with a latency target of 626 ms.
URGENCY = crossings.Urgency(626_000, 4_172_000, crossings.cross_domain_cost(5))
TARGETS = 48
PROXIES = 30
REQUESTS = 60
FAST_US = 160_000
SLOW_US = 370_000
SPREAD = 0.8


def record(number: int, usual_us: int) -> messages.HostRecord:
    """Return the record of a host with one target."""
    target = messages.TargetRecord(
        name=f"t{number}",
        service_name="s",
        version="v1",
        resources=[],
        slots=6,
        state=messages.TargetState.READY,
        tells_warmup=True,
        usual_us=usual_us,
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
    """Return whether a target belongs to the slow third."""
    return number % 3 == 2


def time_us(number: int) -> int:
    """Return a target's mean time."""
    return SLOW_US if is_slow(number) else FAST_US


def slow_share(reported: bool) -> float:
    """Return the share of a large fleet's requests that slow targets get.

    Args:
        reported: Whether the records contain the targets' processing times.
    """
    known = records.Records()
    for number in range(TARGETS):
        known.put(record(number, time_us(number) if reported else 0), 0)
    endpoints = routing.Endpoints()
    endpoints.rebuild(known, None, 0)
    serving = endpoints.serving("s", "v1", "")
    slow = 0
    for proxy in range(PROXIES):
        rng = random.Random(proxy)
        made = balancers.Balancer(f"d{proxy % 4}", rng)
        for number in range(REQUESTS):
            now_ms = 10_000 + 150 * number
            endpoint = made.pick(serving, {}, now_ms=now_ms, urgency=URGENCY)
            made.started(endpoint.key)
            of = int(endpoint.host[1:])
            slow += is_slow(of)
            made.answered(endpoint.key, draw_us(rng, time_us(of)), 2, now_ms)
    return slow / (PROXIES * REQUESTS)


def draw_us(rng: random.Random, mean_us: int) -> float:
    """Draw the run time of a request from its mean, in microseconds."""
    sigma = math.sqrt(math.log(1 + SPREAD**2))
    return rng.lognormvariate(math.log(mean_us) - sigma**2 / 2, sigma)


def test_a_large_fleet_avoids_its_slow_targets() -> None:
    """Each proxy sends a request to a target about once in nine seconds.

    A third of the targets take 2.3 times as long. Proxies that measure by
    themselves send them a tenth of their first sixty requests, since each has
    to try each near target; with reported processing times, none.
    """
    assert slow_share(reported=True) <= 0.01
    assert slow_share(reported=False) >= 0.08


def test_a_time_is_reported_with_enough_samples_and_on_change() -> None:
    """One report follows the first samples, the next a real change."""
    processing_time = processing_times.ProcessingTime()
    for _ in range(processing_times.MIN_SAMPLES - 1):
        processing_time.add(100_000)
    assert not processing_time.should_report
    processing_time.add(100_000)
    assert processing_time.should_report
    assert processing_time.report() == 100_000
    assert not processing_time.should_report
    for _ in range(60):
        processing_time.add(500_000)
    assert processing_time.should_report
    assert processing_time.report() > 400_000


def test_noise_is_not_reported() -> None:
    """Each report goes to the whole fleet, so noise must not cause one.

    Run times have a standard deviation of 0.8 of their mean. 36,000 requests
    are two minutes of a target with 300 a second. The first reports come
    while the mean converges.
    """
    rng = random.Random(1)
    processing_time = processing_times.ProcessingTime()
    reported = 0
    for _ in range(36_000):
        processing_time.add(draw_us(rng, FAST_US))
        if processing_time.should_report:
            reported += 1
            processing_time.report()
    assert reported <= 4
