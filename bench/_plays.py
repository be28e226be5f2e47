"""Plays the loads of the ablation and prints their outcomes as JSON."""

import json
import sys
import typing

from trefoil_emulator import core_fleet

# Look-ups that carry much and payments that carry little, on targets of
# which every third is slow; 2.2 times the rates is what the slots can do.
LOOKUP = core_fleet.RequestKind(
    "lookup", 213, 90, 300, 2000, 1000, 2, answer_bytes=5000
)
PAYMENT = core_fleet.RequestKind(
    "payment", 85.3, 120, 400, 2500, 1250, 1, 0.3, answer_bytes=400
)
CHECK = core_fleet.RequestKind("check", 150, 22, 100, 250, 250, 1, 0.5)
SLOWS = [0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7, 0.7]
LOADS = {"calm": 1.0, "busy": 1.8, "overload": 2.8}
LASTS_MS = 4000
RETURNS = 1
LATE_WORTH = 0.2


def simulate(load: str, seed: int) -> dict[str, typing.Any]:
    """Return what callers got at a load."""
    kinds = [LOOKUP, PAYMENT, CHECK]
    fleet = core_fleet.CoreFleet(
        SLOWS, domains=4, slots=6, kinds=kinds, retries=RETURNS, seed=seed
    )
    fleet.simulate(LASTS_MS, LOADS[load])
    return {
        "load": load,
        "seed": seed,
        "credit": fleet.credit(LATE_WORTH),
        "far_kib": fleet.cross_domain_bytes / 1024 / len(fleet.callers),
    }


if __name__ == "__main__":
    seeds = range(1, int(sys.argv[1]) + 1)
    found = [simulate(load, seed) for load in LOADS for seed in seeds]
    print(json.dumps(found))
