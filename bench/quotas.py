"""Compares ways of keeping the limits of accounts over a fleet.

Prints a row for each size and way: the worst window over what is allowed,
the part of the limit that the flooding account uses, the share of requests of
modest accounts that is refused, the bytes per second between failure domains,
and the mean time until an answer.
"""

import json
import time

import fire

from trefoil_emulator import account_fleet

ACCOUNTS = 78
PER_HOST = 7.0
FLOOD = "a1"
SETTLE_MS = 6000


def play(hosts: int, way: str, seconds: int, seed: int) -> dict[str, float]:
    """Return the figures of one play."""
    loads = account_fleet.skewed_loads(
        ACCOUNTS, PER_HOST * hosts, flooding=4.0, seed=seed
    )
    fleet = account_fleet.AccountFleet(loads, hosts=hosts, way=way, seed=seed)
    began_s = time.process_time()
    fleet.play(seconds * 1000)
    crossed = fleet.cross_domain_quota_bytes / seconds
    return {
        "worst_window": round(fleet.worst_window(), 3),
        "used_by_flood": round(
            fleet.used(FLOOD, SETTLE_MS, seconds * 1000), 3
        ),
        "refused_wrongly": round(fleet.refused_wrongly(), 4),
        "cross_domain_bytes_s": round(crossed),
        "bytes_s_a_host": round(fleet.quota_bytes / seconds / hosts),
        "answer_ms": round(fleet.added_ms(), 2),
        "processor_s": round(time.process_time() - began_s, 1),
    }


def main(
    sizes: tuple[int, ...] = (9, 77, 300), seconds: int = 15, seed: int = 1
) -> None:
    """Print one row for each size and way, and all of them as JSON."""
    rows = []
    for hosts in sizes:
        for way in account_fleet.WAYS:
            if way == account_fleet.TOLD and hosts > 100:
                continue
            figures = play(hosts, way, seconds, seed)
            rows.append({"hosts": hosts, "way": way} | figures)
            print(rows[-1])
    print(json.dumps(rows))


if __name__ == "__main__":
    fire.Fire(main)
