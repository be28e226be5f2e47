"""Measures the distribution of configurations and the cost of idle fleets.

Runs real processes on loopback at several fleet sizes. Measures the time from
accepted to in force; control bytes by kind when idle, under churn and for each
change; CPU share and memory; and the time until half of the fleet, killed and
restarted together, has a configuration again. Times are read from the
processes' own log lines. Prints JSON last.
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
SEEDS_PER_DOMAIN = 3
DOCUMENT = """
services:
  - {name: tables, version: v1, resources: [listings, payments]}
routes:
  - {name: list, prefix: /slots, service: tables, resource: listings,
     repeat: any}
"""


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of a list that is not empty."""
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def timestamp_ms(timestamp: str) -> float:
    """Return the time of a log line in milliseconds since the Unix epoch."""
    parsed = datetime.datetime.fromisoformat(timestamp)
    return parsed.timestamp() * 1000


class Benchmark:
    """A fleet of one size and the measurements on it.

    Args:
        size: Number of proxies.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.folder = FOLDER / str(size)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.fleet = fleets.LocalFleet(
            self.folder, domains=DOMAINS, seeds_per_domain=SEEDS_PER_DOMAIN
        )
        self.proxies = [f"p{n:03}" for n in range(size)]
        self.changes = 0

    def start(self) -> None:
        """Start the fleet and wait until all proxies have a configuration."""
        fleet = self.fleet
        fleet.add_controls()
        fleet.add_proxies(
            {
                name: DOMAINS[index % len(DOMAINS)]
                for index, name in enumerate(self.proxies)
            }
        )
        fleet.start(*fleet.control_names)
        fleet.wait_leader()
        for start in range(0, self.size, 25):
            fleet.start(*self.proxies[start : start + 25])
            time.sleep(1)
        fleet.execute("apply bench.yaml", document=DOCUMENT)
        fleet.wait_ready(self.size, 120)

    def sent_bytes(self) -> dict[str, int]:
        """Return the control bytes sent by all processes, by kind."""
        total: dict[str, int] = {}
        for name in self.proxies + self.fleet.control_names:
            answer = self.fleet.try_execute("show bytes", at=name)
            for row in answer["rows"] if answer else ():
                kind = row["kind"]
                total[kind] = total.get(kind, 0) + row["bytes"]
        return total

    def total_cpu_s(self, names: list[str]) -> float:
        """Return the total CPU time of processes in seconds."""
        members = self.fleet.members
        return sum(members[name].cpu_s for name in names)

    def measure_idle(self, duration_s: float) -> dict[str, typing.Any]:
        """Return the traffic, CPU share and memory of an idle fleet.

        Args:
            duration_s: Length of the measurement.
        """
        names = self.fleet.control_names
        time.sleep(3)
        sent_bytes = self.sent_bytes()
        start = time.monotonic()
        proxy_cpu_before, control_cpu_before = (
            self.total_cpu_s(self.proxies),
            self.total_cpu_s(names),
        )
        time.sleep(duration_s)
        elapsed = time.monotonic() - start
        proxy_cpu = self.total_cpu_s(self.proxies) - proxy_cpu_before
        control_cpu = self.total_cpu_s(names) - control_cpu_before
        bytes_by_kind = self._increase(sent_bytes, self.sent_bytes())
        elapsed_bytes = time.monotonic() - start
        members = self.fleet.members
        return {
            "bytes_per_proxy_s": self._rate_per_proxy(
                bytes_by_kind, elapsed_bytes
            ),
            "proxy_cpu_share": round(proxy_cpu / elapsed / self.size, 5),
            "control_cpu_share": round(control_cpu / elapsed / len(names), 5),
            "proxy_rss_mb": round(
                sum(members[p].rss_mb for p in self.proxies) / self.size,
                1,
            ),
            "control_rss_mb": round(max(members[c].rss_mb for c in names), 1),
        }

    def _increase(
        self, before: dict[str, int], after: dict[str, int]
    ) -> dict[str, int]:
        return {k: v - before.get(k, 0) for k, v in after.items()}

    def _rate_per_proxy(
        self, bytes_by_kind: dict[str, int], elapsed_s: float
    ) -> dict[str, float]:
        per_proxy = {
            kind: round(count / elapsed_s / self.size, 1)
            for kind, count in sorted(bytes_by_kind.items())
            if count
        }
        return per_proxy | {"all": round(sum(per_proxy.values()), 1)}

    def measure_changes(self, count: int) -> dict[str, typing.Any]:
        """Return the propagation times and the traffic of changes.

        Args:
            count: Number of changes.
        """
        idle_rate = self.measure_idle(5)["bytes_per_proxy_s"]["all"]
        sent_bytes, start = self.sent_bytes(), time.monotonic()
        revisions = []
        for _ in range(count):
            self.changes += 1
            verb = "drain" if self.changes % 2 else "undrain"
            answer = self.fleet.execute(f"{verb} nobody", at="control1")
            revisions.append(answer["revision"])
            time.sleep(0.4)
        time.sleep(2)
        bytes_by_kind = self._increase(sent_bytes, self.sent_bytes())
        elapsed = time.monotonic() - start
        delays_ms = self._propagation_ms(revisions)
        delta_bytes = bytes_by_kind.get("ConfigDelta", 0) / self.size / count
        added_bytes = (
            sum(bytes_by_kind.values()) / self.size - idle_rate * elapsed
        )
        return {
            "changes": count,
            "in_force_p50_ms": round(quantile(delays_ms, 0.5), 1),
            "in_force_p99_ms": round(quantile(delays_ms, 0.99), 1),
            "in_force_last_ms": round(max(delays_ms), 1),
            "delta_bytes_per_proxy": round(delta_bytes, 1),
            "all_bytes_per_proxy": round(added_bytes / count, 1),
            "bytes_by_kind": {
                kind: round(increase / self.size / count, 1)
                for kind, increase in sorted(bytes_by_kind.items())
                if increase
            },
        }

    def _propagation_ms(self, revisions: list[int]) -> list[float]:
        """Return the times from accepted to in force at each proxy."""
        accepted: dict[str, float] = {}
        for name in self.fleet.control_names:
            for line in self.fleet.log(name).splitlines():
                fields = logs.parse(line)
                if fields.get("event") == "command.agreed":
                    revision = fields["reason"].removeprefix("revision ")
                    agreed_ms = timestamp_ms(fields["at"])
                    accepted[revision] = min(
                        agreed_ms, accepted.get(revision, agreed_ms)
                    )
        expected = {str(revision) for revision in revisions}
        delays_ms = []
        for name in self.proxies:
            for line in self.fleet.log(name).splitlines():
                fields = logs.parse(line)
                if fields.get("event") != "config.in_force":
                    continue
                if fields["revision"] in expected:
                    delay_ms = (
                        timestamp_ms(fields["at"])
                        - accepted[fields["revision"]]
                    )
                    delays_ms.append(delay_ms)
        assert len(delays_ms) == len(expected) * self.size, len(delays_ms)
        return delays_ms

    def measure_churn(self, duration_s: float) -> dict[str, typing.Any]:
        """Return the traffic while one of the targets changes every 0.5 s.

        Args:
            duration_s: Length of the measurement.
        """
        sent_bytes, start = self.sent_bytes(), time.monotonic()
        count = 0
        while time.monotonic() - start < duration_s:
            name = self.proxies[count % self.size]
            self._announce(name, "draining" if count % 2 else "ready")
            count += 1
            time.sleep(0.5)
        bytes_by_kind = self._increase(sent_bytes, self.sent_bytes())
        elapsed = time.monotonic() - start
        return {
            "announcements_per_s": round(count / elapsed, 2),
            "bytes_per_proxy_s": self._rate_per_proxy(bytes_by_kind, elapsed),
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

    def measure_restart(self) -> dict[str, typing.Any]:
        """Return how long half of the fleet takes to rejoin after a kill."""
        killed = self.proxies[::2]
        offsets = {name: len(self.fleet.log(name)) for name in killed}
        self.fleet.kill(*killed)
        start = time.monotonic()
        self.fleet.start(*killed)

        def all_in_force() -> bool:
            return all(
                "event=config.in_force" in self.fleet.log(name)[offset:]
                for name, offset in offsets.items()
            )

        fleets.wait_for("restarted proxies", all_in_force, 120, 0.5)
        join_times_ms = [self._join_ms(name, offsets[name]) for name in killed]
        return {
            "killed": len(killed),
            "all_back_s": round(time.monotonic() - start, 2),
            "start_to_in_force_p50_ms": round(quantile(join_times_ms, 0.5), 1),
            "start_to_in_force_last_ms": round(max(join_times_ms), 1),
        }

    def _join_ms(self, name: str, offset: int) -> float:
        started = 0.0
        for line in self.fleet.log(name)[offset:].splitlines():
            fields = logs.parse(line)
            if fields.get("event") == "proxy.started":
                started = timestamp_ms(fields["at"])
            elif fields.get("event") == "config.in_force":
                return timestamp_ms(fields["at"]) - started
        return 0.0


def measure(size: int, changes: int, idle_s: float) -> dict[str, typing.Any]:
    """Run all measurements at one fleet size.

    Args:
        size: Number of proxies.
        changes: Number of changes to measure.
        idle_s: Length of the measurement of the idle fleet.
    """
    benchmark = Benchmark(size)
    with benchmark.fleet:
        benchmark.start()
        return {
            "proxies": size,
            "rest": benchmark.measure_idle(idle_s),
            "change": benchmark.measure_changes(changes),
            "churn": benchmark.measure_churn(10),
            "herd": benchmark.measure_restart(),
        }


def main() -> int:
    """Measure every fleet size and print the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="25,50,100,200")
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--rest", type=float, default=20)
    arguments = parser.parse_args()
    report = []
    for size in (int(size) for size in arguments.sizes.split(",")):
        figures = measure(size, arguments.changes, arguments.rest)
        print(json.dumps(figures), flush=True)
        report.append(figures)
    print(json.dumps({"convergence": report}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
