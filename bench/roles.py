"""Measures the cost of each role as a function of fleet size.

Times the cores in one process at several fleet sizes, up to twice the size
planned for two years ahead, and fits a line to the points. Prints JSON last.
"""

import argparse
import json
import random
import sys
import time
import tracemalloc
import typing

from trefoil_fleet import items as item_store
from trefoil_fleet import node as nodes
from trefoil_fleet import records as record_store
from trefoil_moves import evidence as evidences
from trefoil_moves import judge as comparisons
from trefoil_moves import state as states
from trefoil_quorum import raft as rafts
from trefoil_requests import routing
from trefoil_wire import frames
from trefoil_wire import messages

FLEET_SIZES = (108, 215, 430, 860, 1720)
SERVICES = 31
DOMAINS = 10
ROUTES_PER_SERVICE = 4


def mean_cpu_ms(
    function: typing.Callable[[], typing.Any], repetitions: int
) -> float:
    """Return the mean CPU time of a call in milliseconds."""
    start = time.process_time()
    for _ in range(repetitions):
        function()
    return (time.process_time() - start) / repetitions * 1000


def records_of(hosts: int) -> record_store.Records:
    """Return the records of a fleet of this many hosts."""
    records = record_store.Records()
    for n in range(hosts):
        records.put(record(n, 1), 0)
    return records


def record(n: int, sequence: int) -> messages.HostRecord:
    """Return one host's record."""
    target = messages.TargetRecord(
        name=f"target-{n}",
        service_name=f"service-{n % SERVICES}",
        version="v1",
        resources=["listings", "payments"],
        slots=12,
        state=messages.TargetState.READY,
    )
    return messages.HostRecord(
        host=f"host-{n:04}",
        domain=f"domain-{n % DOMAINS}",
        region=f"region-{n % 3}",
        address=f"10.{n % 256}.{n // 256}.7:7101",
        incarnation=1_796_256_000_000 + n,
        sequence=sequence,
        state=messages.HostState.ALIVE,
        targets=[target],
    )


def configuration() -> states.State:
    """Return the agreed state with all services and routes."""
    services = [
        messages.Service(f"service-{n}", ["listings", "payments"], "v1", 0.2)
        for n in range(SERVICES)
    ]
    routes = [
        messages.Route(
            name=f"route-{n}-{m}",
            host="*",
            prefix=f"/service-{n}/{m}",
            methods=[],
            service_name=f"service-{n}",
            resource="listings",
            tenant=f"tenant-{n % 7}",
            timeout_ms=2000,
            repeat=messages.Repeat.ANY,
        )
        for n in range(SERVICES)
        for m in range(ROUTES_PER_SERVICE)
    ]
    body = messages.ApplyConfiguration(services, routes, 0)
    state = states.State()
    state.apply(1, command(body, "first"))
    return state


def command(body: typing.Any, command_id: str) -> messages.Command:
    """Return an operator's command."""
    kind, data = frames.pack_any(body)
    return messages.Command(command_id, "ann", 1000, kind, data, 1000)


def fleet_costs(hosts: int) -> dict[str, float]:
    """Return the cost of a proxy's view of a fleet."""
    tracemalloc.start()
    records = records_of(hosts)
    records_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    endpoints = routing.Endpoints()
    sequence = iter(range(2, 1 << 30))
    all_records = list(records.by_host.values())
    size = len(frames.encode(messages.RecordsDelta(all_records[:1])))
    summary = records.summary(0, recent_only=False, reply_wanted=True)

    def update_record() -> None:
        records.put(record(7, next(sequence)), 0)

    return {
        "hosts": hosts,
        "records_kb": round(records_bytes / 1024, 1),
        "rebuild_ms": round(
            mean_cpu_ms(lambda: endpoints.rebuild(records, None, 0), 20), 3
        ),
        "record_us": round(mean_cpu_ms(update_record, 2000) * 1000, 2),
        "tick_ms": round(mean_cpu_ms(lambda: records.expire(0), 200), 4),
        "record_bytes": size,
        "summary_bytes": len(frames.encode(summary)),
    }


def control_costs() -> dict[str, float]:
    """Return the cost of a change at a control process."""
    state = configuration()
    numbers = iter(range(1, 1 << 30))

    def apply_change() -> None:
        number = next(numbers)
        body = messages.DrainHost(f"host-{number % 50}", bool(number % 2))
        state.apply(number + 1, command(body, f"c{number}"))

    def build_routes() -> None:
        items = item_store.Items.from_list(
            state.items.revision, state.items.by_key.values()
        )
        routing.RouteTable(items)

    apply_ms = mean_cpu_ms(apply_change, 1000)
    full_delta = state.items.delta_since(0)
    last_delta = state.items.delta_since(state.items.revision - 1)
    raft = rafts.Raft(
        "a#first",
        voters=["a#first"],
        hard_state=messages.HardState(0, "", "a#first"),
        rng=random.Random(1),
    )
    raft.tick(10_000)
    body = messages.CommandRequest(command(messages.Noop(1), "x"), 0)
    held_items = state.items
    return {
        "apply_us": round(apply_ms * 1000, 1),
        "propose_us": round(
            mean_cpu_ms(lambda: raft.propose(body, 10_000), 1000) * 1000, 1
        ),
        "whole_bytes": len(frames.encode(full_delta)),
        "delta_bytes": len(frames.encode(last_delta)),
        "snapshot_bytes": len(state.to_bytes()),
        "snapshot_ms": round(mean_cpu_ms(state.to_bytes, 20), 2),
        "take_delta_ms": round(
            mean_cpu_ms(lambda: held_items.with_delta(last_delta), 200), 3
        ),
        "put_in_force_ms": round(mean_cpu_ms(build_routes, 20), 2),
    }


def link_costs() -> dict[str, float]:
    """Return the cost and size of a heartbeat to and from a seed."""
    node = nodes.Node(
        record(1, 1),
        control=False,
        seeds={"host-0001": "127.0.0.1:1"},
        controls={"c1": "127.0.0.1:2"},
        now_ms=0,
        rng=random.Random(1),
    )
    for n in range(2, 30):
        node.linked(
            f"host-{n:04}", control=False, served=True, revision=0, now_ms=0
        )
    heartbeat = node._heartbeat()
    reader = frames.FrameReader()
    data = frames.encode(heartbeat)

    def round_trip() -> None:
        for message in reader.feed(data):
            node.receive("host-0002", message, 1000)
        frames.encode(heartbeat)

    return {
        "heartbeat_us": round(mean_cpu_ms(round_trip, 5000) * 1000, 1),
        "heartbeat_bytes": len(data),
        "children": 28,
    }


def move_costs() -> list[dict[str, float]]:
    """Return the cost of a running move to its leader and to a proxy."""
    rows = []
    for proxies in (108, 215, 430, 860):
        reports = []
        for n in range(proxies):
            collector = evidences.Collector("m", f"host-{n:04}", 1)
            for m in range(60):
                key = evidences.TallyKey(
                    f"route-{m % ROUTES_PER_SERVICE}",
                    "v2" if m % 10 == 0 else "v1",
                    f"domain-{n % DOMAINS}",
                )
                collector.observe(key, 1000 + 517 * (m % 13), False, False)
            reports.append(collector.report(1000))
        merger = evidences.Merger()
        comparison = comparisons.VersionComparison(
            "v1", "v2", threshold=11.7, tolerance=0.005
        )

        def merge_one_second() -> None:
            merger.by_host.clear()
            for report in reports:
                merger.add_report(report, 0)
            comparison.add(merger.take_window())

        total_bytes = sum(len(frames.encode(report)) for report in reports)
        rows.append(
            {
                "proxies": proxies,
                "leader_ms_a_second": round(
                    mean_cpu_ms(merge_one_second, 5), 1
                ),
                "report_bytes": round(total_bytes / proxies, 1),
            }
        )
    return rows


def fit(points: list[tuple[float, float]]) -> dict[str, float]:
    """Return the least-squares line through points, with its R-squared."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    sum_squares_x = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_squares_x
    offset = mean_y - slope * mean_x
    sum_squares_y = sum((y - mean_y) ** 2 for _, y in points)
    residual = sum((y - offset - slope * x) ** 2 for x, y in points)
    return {
        "offset": round(offset, 4),
        "slope": round(slope, 6),
        "r2": round(1 - residual / sum_squares_y, 4) if sum_squares_y else 1.0,
    }


def main() -> int:
    """Run all measurements and print the report."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    fleet = [fleet_costs(hosts) for hosts in FLEET_SIZES]
    moves = move_costs()
    report = {
        "fleet": fleet,
        "fits": {
            name: fit([(row["hosts"], row[name]) for row in fleet])
            for name in (
                "records_kb",
                "rebuild_ms",
                "summary_bytes",
                "tick_ms",
            )
        },
        "control": control_costs(),
        "link": link_costs(),
        "moves": moves,
        "move_fit": fit(
            [(row["proxies"], row["leader_ms_a_second"]) for row in moves]
        ),
    }
    for row in fleet + moves:
        print(json.dumps(row))
    print(json.dumps(report))
    return 0


if __name__ == "__main__":
    sys.exit(main())
