"""Measures the configuration's way to every proxy, and what rest costs.

Real processes on loopback, at several fleet sizes: the time from accepted to
in force, control bytes by kind at rest, under churn and for each change,
processor share and memory, and the return of half the fleet killed at once.
Times are read from the processes' own log lines. Prints JSON last.
"""

import argparse
import datetime
import json
import pathlib
import shutil
import sys
import time
import typing

from trefoil_daemon import logs
from trefoil_emulator import fleet as fleets

FOLDER = pathlib.Path(__file__).parent.parent / ".run" / "bench-convergence"
DOMAINS = [f"domain{n}" for n in range(5)]
SEEDS = 3
DOCUMENT = """
services:
  - {name: tables, version: v1, resources: [listings, payments]}
routes:
  - {name: list, prefix: /slots, service: tables, resource: listings,
     repeat: any}
"""


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of some values."""
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def at_ms(stamp: str) -> float:
    """Return a log line's time in milliseconds."""
    moment = datetime.datetime.fromisoformat(stamp)
    return moment.timestamp() * 1000


class Bench:
    """One fleet size.

    Args:
        size: How many proxies.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.folder = FOLDER / str(size)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.fleet = fleets.LocalFleet(
            self.folder, domains=DOMAINS, seeds_per_domain=SEEDS
        )
        self.proxies = [f"p{n:03}" for n in range(size)]
        self.changes = 0

    def start(self) -> None:
        """Start the fleet and wait until all have a configuration."""
        fleet = self.fleet
        fleet.add_controls()
        fleet.add_proxies(
            {
                name: DOMAINS[at % len(DOMAINS)]
                for at, name in enumerate(self.proxies)
            }
        )
        fleet.start(*fleet.control_names)
        fleet.wait_leader()
        for start in range(0, self.size, 25):
            fleet.start(*self.proxies[start : start + 25])
            time.sleep(1)
        fleet.execute("apply bench.yaml", document=DOCUMENT)
        fleet.wait_ready(self.size, 120)

    def sent(self) -> dict[str, int]:
        """Return the control bytes that all processes sent, by kind."""
        total: dict[str, int] = {}
        for name in self.proxies + self.fleet.control_names:
            answer = self.fleet.try_execute("show bytes", at=name)
            for row in answer["rows"] if answer else ():
                kind = row["kind"]
                total[kind] = total.get(kind, 0) + row["bytes"]
        return total

    def spent(self, names: list[str]) -> float:
        """Return the processor time of processes in seconds."""
        members = self.fleet.members
        return sum(members[name].cpu_s for name in names)

    def at_rest(self, for_s: float) -> dict[str, typing.Any]:
        """Return what a fleet at rest costs."""
        names = self.fleet.control_names
        time.sleep(3)
        sent = self.sent()
        start = time.monotonic()
        proxies, controls = self.spent(self.proxies), self.spent(names)
        time.sleep(for_s)
        elapsed = time.monotonic() - start
        proxy_cpu = self.spent(self.proxies) - proxies
        control_cpu = self.spent(names) - controls
        kinds = self._grown(sent, self.sent())
        elapsed_bytes = time.monotonic() - start
        members = self.fleet.members
        return {
            "bytes_per_proxy_s": self._rate(kinds, elapsed_bytes),
            "proxy_cpu_share": round(proxy_cpu / elapsed / self.size, 5),
            "control_cpu_share": round(control_cpu / elapsed / len(names), 5),
            "proxy_rss_mb": round(
                sum(members[p].rss_mb for p in self.proxies) / self.size,
                1,
            ),
            "control_rss_mb": round(max(members[c].rss_mb for c in names), 1),
        }

    def _grown(
        self, before: dict[str, int], after: dict[str, int]
    ) -> dict[str, int]:
        return {k: v - before.get(k, 0) for k, v in after.items()}

    def _rate(
        self, kinds: dict[str, int], elapsed_s: float
    ) -> dict[str, float]:
        per_proxy = {
            kind: round(count / elapsed_s / self.size, 1)
            for kind, count in sorted(kinds.items())
            if count
        }
        return per_proxy | {"all": round(sum(per_proxy.values()), 1)}

    def change(self, count: int) -> dict[str, typing.Any]:
        """Return how changes spread and what they cost."""
        rest = self.at_rest(5)["bytes_per_proxy_s"]["all"]
        sent, start = self.sent(), time.monotonic()
        revisions = []
        for _ in range(count):
            self.changes += 1
            word = "drain" if self.changes % 2 else "undrain"
            answer = self.fleet.execute(f"{word} nobody", at="control1")
            revisions.append(answer["revision"])
            time.sleep(0.4)
        time.sleep(2)
        kinds = self._grown(sent, self.sent())
        elapsed = time.monotonic() - start
        spread = self._spread(revisions)
        deltas = kinds.get("ConfigDelta", 0) / self.size / count
        everything = sum(kinds.values()) / self.size - rest * elapsed
        return {
            "changes": count,
            "in_force_p50_ms": round(quantile(spread, 0.5), 1),
            "in_force_p99_ms": round(quantile(spread, 0.99), 1),
            "in_force_last_ms": round(max(spread), 1),
            "delta_bytes_per_proxy": round(deltas, 1),
            "all_bytes_per_proxy": round(everything / count, 1),
            "bytes_by_kind": {
                kind: round(grown / self.size / count, 1)
                for kind, grown in sorted(kinds.items())
                if grown
            },
        }

    def _spread(self, revisions: list[int]) -> list[float]:
        """Return each proxy's time to each revision, in milliseconds."""
        accepted: dict[str, float] = {}
        for name in self.fleet.control_names:
            for line in self.fleet.log(name).splitlines():
                fields = logs.parse(line)
                if fields.get("event") == "command.agreed":
                    revision = fields["reason"].removeprefix("revision ")
                    when = at_ms(fields["at"])
                    accepted[revision] = min(
                        when, accepted.get(revision, when)
                    )
        wanted = {str(revision) for revision in revisions}
        spread = []
        for name in self.proxies:
            for line in self.fleet.log(name).splitlines():
                fields = logs.parse(line)
                if fields.get("event") != "config.in_force":
                    continue
                if fields["revision"] in wanted:
                    late = at_ms(fields["at"]) - accepted[fields["revision"]]
                    spread.append(late)
        assert len(spread) == len(wanted) * self.size, len(spread)
        return spread

    def churn(self, for_s: float) -> dict[str, typing.Any]:
        """Return the bytes while a target changes its state twice a second."""
        sent, start = self.sent(), time.monotonic()
        count = 0
        while time.monotonic() - start < for_s:
            name = self.proxies[count % self.size]
            self._announce(name, "draining" if count % 2 else "ready")
            count += 1
            time.sleep(0.5)
        kinds = self._grown(sent, self.sent())
        elapsed = time.monotonic() - start
        return {
            "announcements_per_s": round(count / elapsed, 2),
            "bytes_per_proxy_s": self._rate(kinds, elapsed),
        }

    def _announce(self, host: str, state: str) -> None:
        body = {
            "service": "tables",
            "version": "v1",
            "resources": ["listings", "payments"],
            "slots": 12,
            "port": 1,
            "state": state,
        }
        address = self.fleet.members[host].address("admin")
        fleets.http(
            f"http://{address}/v1/targets/t",
            method="PUT",
            body=json.dumps(body).encode(),
        )

    def herd(self) -> dict[str, typing.Any]:
        """Return how half of the fleet, killed at once, comes back."""
        victims = self.proxies[::2]
        marks = {name: len(self.fleet.log(name)) for name in victims}
        self.fleet.kill(*victims)
        start = time.monotonic()
        self.fleet.start(*victims)

        def back() -> bool:
            return all(
                "event=config.in_force" in self.fleet.log(name)[mark:]
                for name, mark in marks.items()
            )

        fleets.wait_for("the herd", back, 120, 0.5)
        joined = [self._join_ms(name, marks[name]) for name in victims]
        return {
            "killed": len(victims),
            "all_back_s": round(time.monotonic() - start, 2),
            "start_to_in_force_p50_ms": round(quantile(joined, 0.5), 1),
            "start_to_in_force_last_ms": round(max(joined), 1),
        }

    def _join_ms(self, name: str, mark: int) -> float:
        started = 0.0
        for line in self.fleet.log(name)[mark:].splitlines():
            fields = logs.parse(line)
            if fields.get("event") == "proxy.started":
                started = at_ms(fields["at"])
            elif fields.get("event") == "config.in_force":
                return at_ms(fields["at"]) - started
        return 0.0


def measure(size: int, changes: int, rest_s: float) -> dict[str, typing.Any]:
    """Measure one fleet size."""
    bench = Bench(size)
    with bench.fleet:
        bench.start()
        return {
            "proxies": size,
            "rest": bench.at_rest(rest_s),
            "change": bench.change(changes),
            "churn": bench.churn(10),
            "herd": bench.herd(),
        }


def main() -> int:
    """Run the measurement."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--sizes", default="25,50,100,200")
    options.add_argument("--changes", type=int, default=20)
    options.add_argument("--rest", type=float, default=20)
    chosen = options.parse_args()
    report = []
    for size in (int(size) for size in chosen.sizes.split(",")):
        figures = measure(size, chosen.changes, chosen.rest)
        print(json.dumps(figures), flush=True)
        report.append(figures)
    print(json.dumps({"convergence": report}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
