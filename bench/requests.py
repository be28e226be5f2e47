"""Measures the latency that proxies add, and goodput under overload.

Runs real processes on loopback. Calls the same target directly, through one
hop and through two, in turn for several rounds. Then offers a target one, two
and three times its capacity, with and without the proxy's limits. Prints JSON
last.
"""

import argparse
import asyncio
import json
import pathlib
import shutil
import sys
import time
import typing

from trefoil_emulator import fleet as fleets
from trefoil_emulator import load

FOLDER = pathlib.Path(__file__).parent.parent / ".run" / "bench-requests"
DOCUMENT = """
services:
  - {name: tables, version: v1}
  - {name: small, version: v1}
routes:
  - {name: all, prefix: /x, service: tables, tenant: bench, timeout: 2s,
     repeat: any}
  - {name: small, prefix: /small, service: small, tenant: bench,
     timeout: 300ms, repeat: any}
"""
PATHS = ("direct", "one hop", "two hops")
SLOTS = 4
SERVICE_TIME_MS = 20.0


def build(fleet: fleets.LocalFleet) -> None:
    """Start one control process, two proxies and their targets."""
    fleet.add_controls()
    fleet.add_proxies({"near": "d", "far": "d"})
    fleet.add_target(
        "t1",
        "near",
        service="tables",
        version="v1",
        slots=200,
        behave={"delay_ms": 0},
    )
    fleet.add_target(
        "t2",
        "near",
        service="small",
        version="v1",
        slots=SLOTS,
        behave={"delay_ms": SERVICE_TIME_MS, "jitter": 0, "workers": SLOTS},
    )
    fleet.start()
    fleet.wait_leader()
    answer = fleet.execute("apply bench.yaml", document=DOCUMENT)
    assert answer["outcome"] == "done", answer
    fleet.wait_ready(2)
    for host in ("near", "far"):
        fleets.wait_for(
            "an answer",
            lambda: fleet.call(host, "/x").status == 200
            and fleet.call(host, "/small").status == 200,
        )


def send_load(
    address: str, rate: float, duration_s: float, path: str, seed: int
) -> list[load.Sample]:
    """Send requests at a mean rate and return their samples.

    Args:
        address: Where to send them.
        rate: Mean number of requests per second.
        duration_s: Length of the load.
        path: Path of the requests.
        seed: Seed of the arrival times.
    """
    sender = load.Load([address], rate, seed=seed)
    asyncio.run(sender.run(duration_s, [load.RequestTemplate(path=path)]))
    return sender.samples


def added_latency(
    fleet: fleets.LocalFleet, rate: float, duration_s: float, rounds: int
) -> dict[str, typing.Any]:
    """Return the latency and CPU time that each path adds to a direct call.

    The CPU time is that of both proxies, less what they use while the target
    is called directly.

    Args:
        fleet: The fleet.
        rate: Calls per second.
        duration_s: Total length of the load on each path.
        rounds: Number of rounds over which the load is spread.
    """
    addresses = {
        "direct": fleet.members["t1"].address("http"),
        "one hop": fleet.members["near"].address("callers"),
        "two hops": fleet.members["far"].address("callers"),
    }
    samples_by_path: dict[str, list[load.Sample]] = {
        path: [] for path in PATHS
    }
    cpu_used_s = dict.fromkeys(PATHS, 0.0)
    proxies = [fleet.members[host] for host in ("near", "far")]
    for round_index in range(rounds):
        for path in PATHS:
            before = sum(proxy.cpu_s for proxy in proxies)
            samples = send_load(
                addresses[path], rate, duration_s / rounds, "/x", round_index
            )
            samples_by_path[path].extend(samples)
            cpu_used_s[path] += sum(proxy.cpu_s for proxy in proxies) - before
    figures: dict[str, typing.Any] = {"rate": rate}
    for path in PATHS:
        samples = samples_by_path[path]
        figures[path] = {
            "requests": len(samples),
            "failed": sum(s.status != 200 for s in samples),
            "p50_us": load.quantile_us(samples, 0.5),
            "p99_us": load.quantile_us(samples, 0.99),
            "p999_us": load.quantile_us(samples, 0.999),
        }
    for path in PATHS[1:]:
        for name in ("p50_us", "p99_us", "p999_us"):
            figures[path][f"added_{name}"] = (
                figures[path][name] - figures["direct"][name]
            )
        added_cpu_s = cpu_used_s[path] - cpu_used_s["direct"]
        figures[path]["cpu_us_a_call"] = round(
            added_cpu_s / len(samples_by_path[path]) * 1e6
        )
    return figures


def goodput(
    fleet: fleets.LocalFleet, load_factor: float, duration_s: float
) -> dict[str, typing.Any]:
    """Return goodput with and without the proxy's limits.

    Args:
        fleet: The fleet.
        load_factor: Offered load as a multiple of the target's capacity.
        duration_s: Length of each load.
    """
    capacity = SLOTS / (SERVICE_TIME_MS / 1000)
    figures: dict[str, typing.Any] = {
        "offered": capacity * load_factor,
        "capacity": capacity,
    }
    for label, address, path in (
        ("with limits", fleet.members["near"].address("callers"), "/small"),
        ("without", fleet.members["t2"].address("http"), "/small"),
    ):
        samples = send_load(
            address, capacity * load_factor, duration_s, path, 7
        )
        timely = [
            s for s in samples if s.status == 200 and s.latency_us < 300_000
        ]
        refused = [s for s in samples if s.status == 503]
        figures[label] = {
            "goodput": round(len(timely) / duration_s, 1),
            "p99_us_good": load.quantile_us(timely, 0.99),
            "refused": len(refused),
            "p99_us_refused": load.quantile_us(refused, 0.99),
            "other": len(samples) - len(timely) - len(refused),
        }
    return figures


def main() -> int:
    """Run both measurements and print the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--rates", default="1,50,300")
    parser.add_argument("--no-overload", action="store_true")
    arguments = parser.parse_args()
    shutil.rmtree(FOLDER, ignore_errors=True)
    report: dict[str, typing.Any] = {"added": [], "goodput": []}
    with fleets.LocalFleet(FOLDER, domains=["d"], controls=1) as fleet:
        build(fleet)
        time.sleep(2)
        for rate in (float(rate) for rate in arguments.rates.split(",")):
            duration_factor = 2.5 if rate < 10 else 1.0
            figures = added_latency(
                fleet, rate, arguments.seconds * duration_factor, 4
            )
            report["added"].append(figures)
            print(json.dumps(figures), flush=True)
        if not arguments.no_overload:
            for load_factor in (1, 2, 3):
                figures = goodput(fleet, load_factor, 5.0)
                report["goodput"].append(figures)
                print(json.dumps(figures), flush=True)
        report["rss_mb"] = {
            name: round(fleet.members[name].rss_mb, 1)
            for name in ("control1", "near", "far")
        }
    print(json.dumps(report))
    return 0


if __name__ == "__main__":
    sys.exit(main())
