"""Measures what running at most once costs a call.

Four proxies with a target each; once-only calls without a key, then with a
key, through one proxy, paired in rounds. Prints JSON last.
"""

import argparse
import asyncio
import itertools
import json
import pathlib
import random
import shutil
import sys
import time

from trefoil_emulator import fleet as fleets
from trefoil_emulator import load

ROOT = pathlib.Path(__file__).parent.parent
FOLDER = ROOT / ".run" / "bench-once"
HOSTS = {"h1": "ariana", "h2": "ariana", "h3": "manouba", "h4": "manouba"}
AHEAD_MS = 20_000
RATE = 50.0
ROUNDS = 4


class KeyedShape(load.RequestTemplate):
    """A payment that draws a new key each time it is sent."""

    numbers = itertools.count()

    def to_bytes(self) -> bytes:
        """Return the request with a key of its own."""
        now_ms = int(time.time() * 1000) + AHEAD_MS
        key = f"{now_ms}-{next(self.numbers)}-{random.random()}"
        keyed = load.RequestTemplate(
            self.method,
            self.path,
            f"Idempotency-Key: {key}\r\n",
            self.body,
        )
        return keyed.to_bytes()


def build(fleet: fleets.LocalFleet) -> None:
    """Add the processes."""
    fleet.add_controls()
    fleet.add_proxies(HOSTS)
    for host in HOSTS:
        fleet.add_target(
            f"t-{host}",
            host,
            service="tables",
            version="v1",
            resources="listings,payments",
            behave={"delay_ms": 0},
        )
    fleet.start()
    fleet.wait_leader()
    document = (ROOT / "demo" / "matbakh.yaml").read_text(encoding="utf-8")
    fleet.execute("apply matbakh.yaml", document=document)
    fleet.wait_ready(len(HOSTS))
    for host in HOSTS:
        fleets.wait_for(
            "targets", lambda: fleet.call(host, "/slots").status == 200
        )


def main() -> int:
    """Run the measurement."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--seconds", type=float, default=5)
    seconds = options.parse_args().seconds
    shutil.rmtree(FOLDER, ignore_errors=True)
    shapes = {
        "without key": load.RequestTemplate("POST", "/deposits", body=b"x"),
        "with key": KeyedShape("POST", "/deposits", body=b"x"),
    }
    found: dict[str, list[load.Sample]] = {name: [] for name in shapes}
    with fleets.LocalFleet(
        FOLDER, domains=["ariana", "manouba"], controls=1
    ) as fleet:
        build(fleet)
        address = fleet.members["h1"].address("callers")
        for turn in range(ROUNDS):
            for name, shape in shapes.items():
                sender = load.Load([address], RATE, seed=turn)
                asyncio.run(sender.run(seconds, [shape]))
                found[name].extend(sender.samples)
    report = {
        name: {
            "requests": len(samples),
            "failed": sum(s.status != 200 for s in samples),
            "p50_us": load.quantile_us(samples, 0.5),
            "p99_us": load.quantile_us(samples, 0.99),
        }
        for name, samples in found.items()
    }
    print(json.dumps(report))
    return 0


if __name__ == "__main__":
    sys.exit(main())
