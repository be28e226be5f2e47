"""Demo: a small matbakh deployment, a good move and a bad one.

Starts processes on loopback, sends callers' requests, moves one service to a
good version and then to a bad one, and prints the steps and outcomes.
"""

import argparse
import asyncio
import pathlib
import shutil
import sys
import threading
import time
import typing

from trefoil_emulator import fleet as fleets
from trefoil_emulator import load

DEMO = pathlib.Path(__file__).parent
FOLDER = DEMO.parent / ".run" / "demo"
DOMAINS = ["ariana", "la-marsa", "ben-arous", "manouba"]
RATE_PER_S = 120.0
MOVE_DEADLINE_S = 40


def echo(text: str) -> None:
    """Print a line and flush the output."""
    print(text, flush=True)


class Traffic:
    """Sends callers' requests to every proxy until it is stopped.

    Args:
        addresses: The proxies' addresses for callers.
    """

    def __init__(self, addresses: list[str]) -> None:
        self.load = load.Load(addresses, RATE_PER_S)
        self.stopping = False
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        shapes = [
            load.RequestTemplate(path="/slots?day=friday"),
            load.RequestTemplate(path="/kitchen/7"),
            load.RequestTemplate(
                method="POST", path="/deposits", body=b"quote"
            ),
            load.RequestTemplate(
                method="POST", path="/ovens", body=b"two hours"
            ),
        ]
        while not self.stopping:
            asyncio.run(self.load.run(1.0, shapes))

    def stop(self) -> list[load.Sample]:
        """Stop and return the samples of all requests."""
        self.stopping = True
        self.thread.join()
        return self.load.samples


def build(fleet: fleets.LocalFleet) -> None:
    """Add the deployment's processes."""
    fleet.add_controls()
    hosts = {
        f"host-{domain}-{n}": domain for domain in DOMAINS for n in (1, 2)
    }
    fleet.add_proxies(hosts)
    for domain in DOMAINS:
        fleet.add_target(
            f"tables-v1-{domain}",
            f"host-{domain}-1",
            service="tables",
            version="v1",
            resources="listings,payments",
        )
        fleet.add_target(
            f"fourneau-v1-{domain}",
            f"host-{domain}-2",
            service="fourneau",
            version="v1",
            resources="reservations,kitchen",
        )


def add_version(
    fleet: fleets.LocalFleet, version: str, behave: dict[str, typing.Any]
) -> None:
    """Start targets of a new version of tables beside the old ones."""
    names = []
    for domain in DOMAINS:
        name = f"tables-{version}-{domain}"
        fleet.add_target(
            name,
            f"host-{domain}-1",
            service="tables",
            version=version,
            resources="listings,payments",
            behave=behave,
        )
        names.append(name)
    fleet.start(*names)


def follow_move(fleet: fleets.LocalFleet, old: str, new: str) -> str:
    """Move tables and print each step; return the outcome."""
    line = (
        f"move tables from {old} to {new} in {MOVE_DEADLINE_S}s "
        "risk 5% watch 5s"
    )
    echo(f"  > {line}")
    answer = fleet.execute(line, at="host-ariana-1")
    echo(f"  {answer['outcome']}: {answer['reason']}")
    printed = 0
    end_s = time.monotonic() + MOVE_DEADLINE_S + 15
    while time.monotonic() < end_s:
        steps = fleet.try_execute("explain tables", at="control1")
        lines = [row["what"] for row in steps["rows"]] if steps else []
        for step in lines[printed:]:
            echo(f"    {step}")
        printed = max(printed, len(lines))
        row = fleet.execute("is move of tables done", at="control1")["rows"][0]
        if row["outcome"] != "running":
            echo(f"  {row['outcome']}: {row['reason']}")
            return row["outcome"]
        time.sleep(0.5)
    return "running"


def print_summary(samples: list[load.Sample]) -> None:
    """Print the number of answers and their latencies."""
    good = sum(1 for sample in samples if sample.status == 200)
    p50 = load.quantile_us(samples, 0.5) / 1000
    p99 = load.quantile_us(samples, 0.99) / 1000
    echo(
        f"callers: {len(samples)} requests, {good} answered 200, "
        f"{len(samples) - good} not; p50 {p50:.1f} ms, p99 {p99:.1f} ms"
    )


def run_demo(fleet: fleets.LocalFleet) -> bool:
    """Run the demo; return whether both moves ended as expected."""
    echo("starting 3 control processes, 8 proxies and 8 targets")
    build(fleet)
    fleet.start()
    leader = fleet.wait_leader()
    echo(f"  {leader} leads")
    document = (DEMO / "matbakh.yaml").read_text(encoding="utf-8")
    answer = fleet.execute("apply matbakh.yaml", document=document)
    echo(f"  apply matbakh.yaml: {answer['outcome']}, {answer['reason']}")
    fleet.wait_ready(8)
    echo("  in force at all 8 proxies")
    fleets.wait_for("targets", lambda: _all_targets_serve(fleet))
    hosts = [name for name in fleet.members if name.startswith("host-")]
    traffic = Traffic([fleet.members[h].address("callers") for h in hosts])
    echo(f"callers send {RATE_PER_S:.0f} requests a second")
    echo("a good version of tables, v2:")
    add_version(fleet, "v2", {})
    good = follow_move(fleet, "v1", "v2")
    echo("a bad version of tables, v3, that fails one request in four:")
    add_version(fleet, "v3", {"fail_share": 0.25})
    bad = follow_move(fleet, "v2", "v3")
    print_summary(traffic.stop())
    echo(f"the good move: {good}; the bad move: {bad}")
    return good == "done" and bad == "taken back"


def _all_targets_serve(fleet: fleets.LocalFleet) -> bool:
    paths = ("/slots", "/kitchen/1")
    return all(
        fleet.call(f"host-{domain}-1", path).status == 200
        for domain in DOMAINS
        for path in paths
    )


def keep_running(fleet: fleets.LocalFleet) -> None:
    """Leave the fleet running until Enter is pressed."""
    proxy = fleet.members["host-ariana-1"]
    echo("")
    echo("the fleet keeps running; in another terminal, try:")
    at = f"--at {proxy.address('admin')}"
    echo(f"  .venv/bin/trefoilroute say in force by host {at}")
    echo(f"  .venv/bin/trefoilroute say explain tables {at}")
    echo(f"  curl http://{proxy.address('callers')}/slots")
    echo("press Enter or Ctrl-C to stop it")
    try:
        sys.stdin.readline()
    except KeyboardInterrupt:
        pass


def main() -> int:
    """Run the demo; return its exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true")
    keep_open = parser.parse_args().keep
    shutil.rmtree(FOLDER, ignore_errors=True)
    echo(f"files are in {FOLDER.relative_to(DEMO.parent)}")
    with fleets.LocalFleet(FOLDER, domains=DOMAINS) as fleet:
        succeeded = run_demo(fleet)
        if keep_open:
            keep_running(fleet)
    return 0 if succeeded else 1


if __name__ == "__main__":
    sys.exit(main())
