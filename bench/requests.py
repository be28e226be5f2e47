"""Measures what a proxy adds to a call, and goodput under overload.

Real processes on loopback. The same target is asked directly and through
one hop and two, paired in one run; then its capacity is offered once, twice
and three times, with the proxy's limits and without. Prints JSON last.
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
SMALL_MS = 20.0


def build(fleet: fleets.LocalFleet) -> None:
    """Add one control process, two proxies and their targets."""
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
        behave={"delay_ms": SMALL_MS, "jitter": 0, "workers": SLOTS},
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


def ask(
    address: str, rate: float, duration_s: float, path: str, seed: int
) -> list[load.Sample]:
    """Send a load and return its samples."""
    sender = load.Load([address], rate, seed=seed)
    asyncio.run(sender.run(duration_s, [load.RequestTemplate(path=path)]))
    return sender.samples


def added_latency(
    fleet: fleets.LocalFleet, rate: float, duration_s: float, rounds: int
) -> dict[str, typing.Any]:
    """Return what each path adds to the direct one at a rate.

    The processor time is that of both proxies, less what they spend while
    the target is asked directly.
    """
    addresses = {
        "direct": fleet.members["t1"].address("http"),
        "one hop": fleet.members["near"].address("callers"),
        "two hops": fleet.members["far"].address("callers"),
    }
    found: dict[str, list[load.Sample]] = {path: [] for path in PATHS}
    spent = dict.fromkeys(PATHS, 0.0)
    proxies = [fleet.members[host] for host in ("near", "far")]
    for turn in range(rounds):
        for path in PATHS:
            before = sum(proxy.cpu_s for proxy in proxies)
            samples = ask(
                addresses[path], rate, duration_s / rounds, "/x", turn
            )
            found[path].extend(samples)
            spent[path] += sum(proxy.cpu_s for proxy in proxies) - before
    figures: dict[str, typing.Any] = {"rate": rate}
    for path in PATHS:
        samples = found[path]
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
        used = spent[path] - spent["direct"]
        figures[path]["cpu_us_a_call"] = round(used / len(found[path]) * 1e6)
    return figures


def goodput(
    fleet: fleets.LocalFleet, times: float, duration_s: float
) -> dict[str, typing.Any]:
    """Return answers in time when capacity is offered some times over."""
    capacity = SLOTS / (SMALL_MS / 1000)
    figures: dict[str, typing.Any] = {
        "offered": capacity * times,
        "capacity": capacity,
    }
    for who, address, path in (
        ("with limits", fleet.members["near"].address("callers"), "/small"),
        ("without", fleet.members["t2"].address("http"), "/small"),
    ):
        samples = ask(address, capacity * times, duration_s, path, 7)
        good = [
            s for s in samples if s.status == 200 and s.latency_us < 300_000
        ]
        refused = [s for s in samples if s.status == 503]
        figures[who] = {
            "goodput": round(len(good) / duration_s, 1),
            "p99_us_good": load.quantile_us(good, 0.99),
            "refused": len(refused),
            "p99_us_refused": load.quantile_us(refused, 0.99),
            "other": len(samples) - len(good) - len(refused),
        }
    return figures


def main() -> int:
    """Run the measurement."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--seconds", type=float, default=12)
    options.add_argument("--rates", default="1,50,300")
    options.add_argument("--no-overload", action="store_true")
    chosen = options.parse_args()
    shutil.rmtree(FOLDER, ignore_errors=True)
    report: dict[str, typing.Any] = {"added": [], "goodput": []}
    with fleets.LocalFleet(FOLDER, domains=["d"], controls=1) as fleet:
        build(fleet)
        time.sleep(2)
        for rate in (float(rate) for rate in chosen.rates.split(",")):
            longer = 2.5 if rate < 10 else 1.0
            figures = added_latency(fleet, rate, chosen.seconds * longer, 4)
            report["added"].append(figures)
            print(json.dumps(figures), flush=True)
        if not chosen.no_overload:
            for times in (1, 2, 3):
                figures = goodput(fleet, times, 5.0)
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
