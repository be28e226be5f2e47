"""The demo: the matbakh deployment in small, a good move and a bad one.

It starts plain processes on loopback, sends callers' traffic, moves one
service to a good version and tries a bad one, and tells what happened.
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
RATE = 120.0
MOVE_WITHIN_S = 40


def tell(text: str) -> None:
    """Print a line at once."""
    print(text, flush=True)


class Traffic:
    """Callers' requests to every proxy, until it is stopped.

    Args:
        addresses: The proxies' addresses for callers.
    """

    def __init__(self, addresses: list[str]) -> None:
        self.load = load.Load(addresses, RATE)
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
        """Stop and return what callers saw."""
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
    """Move tables and tell each step; return the outcome."""
    line = (
        f"move tables from {old} to {new} in {MOVE_WITHIN_S}s "
        "risk 5% watch 5s"
    )
    tell(f"  > {line}")
    answer = fleet.execute(line, at="host-ariana-1")
    tell(f"  {answer['outcome']}: {answer['reason']}")
    told = 0
    until = time.monotonic() + MOVE_WITHIN_S + 15
    while time.monotonic() < until:
        steps = fleet.try_execute("explain tables", at="control1")
        lines = [row["what"] for row in steps["rows"]] if steps else []
        for step in lines[told:]:
            tell(f"    {step}")
        told = max(told, len(lines))
        row = fleet.execute("is move of tables done", at="control1")["rows"][0]
        if row["outcome"] != "running":
            tell(f"  {row['outcome']}: {row['reason']}")
            return row["outcome"]
        time.sleep(0.5)
    return "running"


def sum_up(samples: list[load.Sample]) -> None:
    """Tell what callers saw."""
    good = sum(1 for sample in samples if sample.status == 200)
    p50 = load.quantile_us(samples, 0.5) / 1000
    p99 = load.quantile_us(samples, 0.99) / 1000
    tell(
        f"callers: {len(samples)} requests, {good} answered 200, "
        f"{len(samples) - good} not; p50 {p50:.1f} ms, p99 {p99:.1f} ms"
    )


def play(fleet: fleets.LocalFleet) -> bool:
    """Play the demo; return whether it went as it should."""
    tell("starting 3 control processes, 8 proxies and 8 targets")
    build(fleet)
    fleet.start()
    leader = fleet.wait_leader()
    tell(f"  {leader} leads")
    document = (DEMO / "matbakh.yaml").read_text(encoding="utf-8")
    answer = fleet.execute("apply matbakh.yaml", document=document)
    tell(f"  apply matbakh.yaml: {answer['outcome']}, {answer['reason']}")
    fleet.wait_ready(8)
    tell("  in force at all 8 proxies")
    fleets.wait_for("targets", lambda: _served(fleet))
    hosts = [name for name in fleet.members if name.startswith("host-")]
    traffic = Traffic([fleet.members[h].address("callers") for h in hosts])
    tell(f"callers send {RATE:.0f} requests a second")
    tell("a good version of tables, v2:")
    add_version(fleet, "v2", {})
    good = follow_move(fleet, "v1", "v2")
    tell("a bad version of tables, v3, that fails one request in four:")
    add_version(fleet, "v3", {"fail_share": 0.25})
    bad = follow_move(fleet, "v2", "v3")
    sum_up(traffic.stop())
    tell(f"the good move: {good}; the bad move: {bad}")
    return good == "done" and bad == "taken back"


def _served(fleet: fleets.LocalFleet) -> bool:
    paths = ("/slots", "/kitchen/1")
    return all(
        fleet.call(f"host-{domain}-1", path).status == 200
        for domain in DOMAINS
        for path in paths
    )


def keep(fleet: fleets.LocalFleet) -> None:
    """Leave the fleet running until Enter is pressed."""
    proxy = fleet.members["host-ariana-1"]
    tell("")
    tell("the fleet runs on. Try, in another terminal:")
    at = f"--at {proxy.address('admin')}"
    tell(f"  .venv/bin/trefoilroute say in force by host {at}")
    tell(f"  .venv/bin/trefoilroute say explain tables {at}")
    tell(f"  curl http://{proxy.address('callers')}/slots")
    tell("press Enter or Ctrl-C to end it")
    try:
        sys.stdin.readline()
    except KeyboardInterrupt:
        pass


def main() -> int:
    """Run the demo; return its exit status."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--keep", action="store_true")
    kept = options.parse_args().keep
    shutil.rmtree(FOLDER, ignore_errors=True)
    tell(f"files are in {FOLDER.relative_to(DEMO.parent)}")
    with fleets.LocalFleet(FOLDER, domains=DOMAINS) as fleet:
        went_well = play(fleet)
        if kept:
            keep(fleet)
    return 0 if went_well else 1


if __name__ == "__main__":
    sys.exit(main())
