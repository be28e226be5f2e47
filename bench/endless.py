"""Measures other callers' latency beside a target that answers without end.

Runs real processes on loopback: one proxy with a sound and a troubled target.
Prints one line of JSON for each kind of answer, with the latency of the sound
target's callers alone and beside a few requests a second to the troubled one.
"""

import argparse
import asyncio
import json
import pathlib
import shutil
import subprocess
import sys
import typing

from trefoil_emulator import endless_target
from trefoil_emulator import fleet as fleets
from trefoil_emulator import load

FOLDER = pathlib.Path(__file__).parent.parent / ".run" / "bench-endless"
DOCUMENT = """
services:
  - {name: tables, version: v1}
  - {name: troubled, version: v1}
routes:
  - {name: sound, prefix: /sound, service: tables, tenant: t, timeout: 5s,
     repeat: any}
  - {name: endless, prefix: /endless, service: troubled, tenant: t,
     timeout: 2s, repeat: once}
"""
LEASE_S = 2.0


def build(fleet: fleets.LocalFleet) -> None:
    """Start one control process, and a proxy with a sound target."""
    fleet.add_controls()
    fleet.add_proxies({"near": "d"})
    fleet.add_target(
        "t1", "near", service="tables", version="v1", behave={"delay_ms": 5}
    )
    fleet.start()
    fleet.wait_leader()
    fleet.execute("apply bench.yaml", document=DOCUMENT)
    fleet.wait_ready(1)
    fleets.wait_for(
        "an answer", lambda: fleet.call("near", "/sound").status == 200
    )


async def send(
    address: str, rate: float, endless_rate: float, duration_s: float
) -> tuple[list[load.Sample], list[load.Sample]]:
    """Return the samples of the sound and of the troubled target."""
    sound = load.Load([address], rate, timeout_s=10.0)
    troubled = load.Load([address], max(endless_rate, 0.01), seed=2)
    tasks = [sound.run(duration_s, [load.RequestTemplate(path="/sound")])]
    if endless_rate:
        request = load.RequestTemplate("POST", "/endless")
        tasks.append(troubled.run(duration_s, [request]))
    await asyncio.gather(*tasks)
    return sound.samples, troubled.samples


async def announce(url: str, port: int) -> None:
    """Renew the announcement of the troubled target until cancelled."""
    body = (
        '{"service": "troubled", "version": "v1", "slots": 12, '
        f'"port": {port}}}'
    )
    while True:
        await asyncio.to_thread(
            fleets.http, url, method="PUT", body=body.encode()
        )
        await asyncio.sleep(LEASE_S / 4)


async def measure(
    fleet: fleets.LocalFleet, name: str, options: argparse.Namespace
) -> dict[str, typing.Any]:
    """Return the figures beside one kind of endless answer."""
    near = fleet.members["near"]
    address = near.address("callers")
    # In this process it would share the interpreter with the load generator.
    target = subprocess.Popen(
        [sys.executable, "-m", "trefoil_emulator.endless_target"]
        + [address.partition(":")[0], name],
        stdout=subprocess.PIPE,
        text=True,
    )
    port = int(target.stdout.readline())
    url = f"http://{near.address('admin')}/v1/targets/t-troubled"
    announcing = asyncio.create_task(announce(url, port))
    await asyncio.sleep(LEASE_S)
    alone, _ = await send(address, options.rate, 0, options.seconds)
    beside, troubled = await send(
        address, options.rate, options.endless_rate, options.seconds
    )
    announcing.cancel()
    await asyncio.to_thread(fleets.http, url, method="DELETE")
    target.kill()
    target.wait()
    return {
        "answer": name,
        "alone_p50_us": load.quantile_us(alone, 0.5),
        "alone_p99_us": load.quantile_us(alone, 0.99),
        "beside_p50_us": load.quantile_us(beside, 0.5),
        "beside_p99_us": load.quantile_us(beside, 0.99),
        "failed": sum(sample.status != 200 for sample in beside),
        "troubled": sorted({sample.status for sample in troubled}),
        "rss_mb": round(near.rss_mb, 1),
    }


def main() -> None:
    """Measure each kind of answer and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=100.0)
    parser.add_argument("--endless-rate", type=float, default=5.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--answers", nargs="+", default=endless_target.ANSWERS)
    options = parser.parse_args()
    shutil.rmtree(FOLDER, ignore_errors=True)
    with fleets.LocalFleet(FOLDER, domains=["d"], controls=1) as fleet:
        build(fleet)
        for name in options.answers:
            figures = asyncio.run(measure(fleet, name, options))
            print(json.dumps(figures), flush=True)


if __name__ == "__main__":
    main()
