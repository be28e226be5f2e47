"""Measures the latency that at-most-once execution adds to a call.

Runs four proxies with a target each. Sends once-only calls through one proxy,
without and with an idempotency key in turn, for several rounds. Prints JSON
last.
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
# Keys are dated ahead of the clock because a ledger replica that has started
# recently confirms only keys issued after its start and the clock skew.
KEY_AHEAD_MS = 20_000
RATE_PER_S = 50.0
ROUNDS = 4


class KeyedShape(load.RequestTemplate):
    """A request that gets a new idempotency key each time it is sent."""

    counter = itertools.count()

    def to_bytes(self) -> bytes:
        """Return the request with a new key."""
        issued_ms = int(time.time() * 1000) + KEY_AHEAD_MS
        key = f"{issued_ms}-{next(self.counter)}-{random.random()}"
        request = load.RequestTemplate(
            self.method,
            self.path,
            f"Idempotency-Key: {key}\r\n",
            self.body,
        )
        return request.to_bytes()


def build(fleet: fleets.LocalFleet) -> None:
    """Start the processes and wait until all proxies can reach a target."""
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
    """Run the measurement and print the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5)
    seconds = parser.parse_args().seconds
    shutil.rmtree(FOLDER, ignore_errors=True)
    shapes = {
        "without key": load.RequestTemplate("POST", "/deposits", body=b"x"),
        "with key": KeyedShape("POST", "/deposits", body=b"x"),
    }
    samples_by_name: dict[str, list[load.Sample]] = {
        name: [] for name in shapes
    }
    with fleets.LocalFleet(
        FOLDER, domains=["ariana", "manouba"], controls=1
    ) as fleet:
        build(fleet)
        address = fleet.members["h1"].address("callers")
        for round_index in range(ROUNDS):
            for name, shape in shapes.items():
                sender = load.Load([address], RATE_PER_S, seed=round_index)
                asyncio.run(sender.run(seconds, [shape]))
                samples_by_name[name].extend(sender.samples)
    report = {
        name: {
            "requests": len(samples),
            "failed": sum(s.status != 200 for s in samples),
            "p50_us": load.quantile_us(samples, 0.5),
            "p99_us": load.quantile_us(samples, 0.99),
        }
        for name, samples in samples_by_name.items()
    }
    print(json.dumps(report))
    return 0


if __name__ == "__main__":
    sys.exit(main())
