"""Simulates the loads of the ablation and prints the outcomes as JSON."""

import json
import sys
import typing

from trefoil_emulator import core_fleet

# Look-ups have large answers, payments small ones. Every third target is slow.
# The slots' capacity is 2.2 times these rates.
LOOKUP = core_fleet.RequestKind(
    "lookup", 213, 90, 300, 2000, 1000, 2, answer_bytes=5000
)
PAYMENT = core_fleet.RequestKind(
    "payment", 85.3, 120, 400, 2500, 1250, 1, 0.3, answer_bytes=400
)
CHECK = core_fleet.RequestKind("check", 150, 22, 100, 250, 250, 1, 0.5)
SLOWDOWN_FACTORS = [0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7, 0.7]
LOADS = {"calm": 1.0, "busy": 1.8, "overload": 2.8}
DURATION_MS = 4000
MAX_CALLER_RETRIES = 1
# Credit of an answer after its latency target; one in time earns 1.
LATE_CREDIT = 0.2


def simulate(load: str, seed: int) -> dict[str, typing.Any]:
    """Return callers' credit and cross-domain traffic at a load."""
    kinds = [LOOKUP, PAYMENT, CHECK]
    fleet = core_fleet.CoreFleet(
        SLOWDOWN_FACTORS,
        domains=4,
        slots=6,
        kinds=kinds,
        retries=MAX_CALLER_RETRIES,
        seed=seed,
    )
    fleet.simulate(DURATION_MS, LOADS[load])
    return {
        "load": load,
        "seed": seed,
        "credit": fleet.credit(LATE_CREDIT),
        "far_kib": fleet.cross_domain_bytes / 1024 / len(fleet.callers),
    }


if __name__ == "__main__":
    seeds = range(1, int(sys.argv[1]) + 1)
    outcomes = [simulate(load, seed) for load in LOADS for seed in seeds]
    print(json.dumps(outcomes))
