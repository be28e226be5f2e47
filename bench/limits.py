"""Measures the rate limits that targets name, on a simulated fleet.

Prints JSON: for each fleet the worst window of a limited target as a share of
what is allowed, the used share of the limits, the refusals by other hosts for
each request that a limited target ran, and the callers served.
"""

import argparse
import json
import typing

from trefoil_emulator import core_fleet
from trefoil_emulator import limited_fleet
from trefoil_emulator import troubled_fleet

BROWSE = core_fleet.RequestKind("browse", 25, 150, 500, 3000, 3000, 2)
CHARGE = core_fleet.RequestKind("charge", 10, 180, 600, 4000, 4000, 1)
SERVICE = "tables"
LIMITS_PER_S = (9.0, 3.0)
WARM_UP_MS = 2000
MEASURED_MS = 10_000


def measure(hosts: int, load: float, seed: int) -> dict[str, typing.Any]:
    """Return the figures of a fleet of which two targets are limited.

    Args:
        hosts: Number of hosts, each with a target.
        load: Requests per host and second, as a multiple of the usual 35.
        seed: Seed of the fleet.
    """
    fleet = limited_fleet.LimitedFleet(
        [troubled_fleet.Service(SERVICE, hosts, [BROWSE, CHARGE])],
        {},
        slack=60,
        seed=seed,
    )
    fleet.load = load * hosts
    fleet.run(WARM_UP_MS)
    names = [f"{SERVICE}{number}" for number in range(len(LIMITS_PER_S))]
    for name, per_s in zip(names, LIMITS_PER_S):
        fleet.name_limit(name, per_s)
    fleet.run(limited_fleet.SETTLING_MS)
    since_ms, refused = fleet.now_ms, fleet.refused_remotely
    fleet.ended.clear()
    fleet.run(MEASURED_MS)
    ran = sum(fleet.arrivals_since(name, since_ms) for name in names)
    in_time = sum(ended.in_time for ended in fleet.ended)
    return {
        "hosts": hosts,
        "load": load,
        "excess": max(fleet.excesses().values(), default=0.0),
        "used": round(ran / sum(LIMITS_PER_S) / MEASURED_MS * 1000, 3),
        "refused_per_run": round((fleet.refused_remotely - refused) / ran, 2),
        "served": round(
            sum(ended.served for ended in fleet.ended) / len(fleet.ended), 4
        ),
        "in_time": round(in_time / len(fleet.ended), 4),
    }


def main() -> None:
    """Measure each fleet and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="+", default=[9, 100])
    parser.add_argument("--load", type=float, nargs="+", default=[0.7, 1.6])
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    for hosts in options.hosts:
        for load in options.load:
            figures = measure(hosts, load, options.seed)
            print(json.dumps(figures), flush=True)


if __name__ == "__main__":
    main()
