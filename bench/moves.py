"""Replays moves with seeds: good and bad versions, ours and a baseline.

Prints a line for each kind of fault, then JSON. Seeds for tuning and for the
report are kept apart.
"""

import argparse
import concurrent.futures
import json
import math
import sys
import typing

import traces

from trefoil_moves import knobs as move_parameters

TUNING_SEEDS = 1_000_000
REPORT_SEEDS = 5_000_000
WORKERS = 6
Z = 1.96


def one(
    job: tuple[str, int, bool, int, bool],
) -> tuple[str, str, traces.Result]:
    """Run one trace."""
    deployment_name, at, bad, seed, ours = job
    deployment = traces.DEPLOYMENTS[deployment_name]
    fault = (traces.BAD if bad else traces.GOOD)[at]
    controller: traces.Controller = traces.Baseline()
    if ours:
        knobs = move_parameters.MoveParameters.from_profile(deployment.profile)
        controller = traces.Product(knobs)
    trace = traces.Trace(deployment, fault, seed, controller, guarded=ours)
    who = "ours" if ours else "baseline"
    return deployment_name, who, trace.run()


def interval(hits: int, total: int) -> list[float]:
    """Return Wilson's 95% interval of a share."""
    if not total:
        return [0.0, 1.0]
    share = hits / total
    spread = Z * math.sqrt(
        share * (1 - share) / total + Z * Z / (4 * total * total)
    )
    middle = share + Z * Z / (2 * total)
    scale = 1 + Z * Z / total
    low, high = (middle - spread) / scale, (middle + spread) / scale
    return [round(max(low, 0), 4), round(min(high, 1), 4)]


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of some values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def sum_up(results: list[traces.Result]) -> dict[str, typing.Any]:
    """Return the figures of one kind of trace."""
    bad = results[0].bad
    wanted = "taken back" if bad else "done"
    hits = sum(
        1 for r in results if r.outcome == wanted and (bad or r.in_time)
    )
    harmed = [r.harmed / max(r.requests, 1) for r in results]
    zero = [float(r.to_zero_ms) for r in results if r.to_zero_ms >= 0]
    return {
        "traces": len(results),
        "as_wanted": round(hits / len(results), 4),
        "interval": interval(hits, len(results)),
        "harmed_share_mean": round(sum(harmed) / len(harmed), 5),
        "harmed_share_p95": round(quantile(harmed, 0.95), 5),
        "harmed_requests_mean": round(
            sum(r.harmed for r in results) / len(results), 1
        ),
        "to_zero_p50_ms": quantile(zero, 0.5),
        "to_zero_p95_ms": quantile(zero, 0.95),
        "decided_to_zero_max_ms": max(
            (r.decided_to_zero_ms for r in results), default=-1
        ),
        "report_bytes_mean": round(
            sum(r.report_bytes for r in results) / len(results)
        ),
    }


def jobs_for(
    options: argparse.Namespace,
) -> list[tuple[str, int, bool, int, bool]]:
    """Return what to run."""
    base = TUNING_SEEDS if options.tuning else REPORT_SEEDS
    whose = (True,) if options.ours_only else (True, False)
    jobs = []
    for name in traces.DEPLOYMENTS:
        if options.deployment not in ("", name):
            continue
        for bad, kinds, count in (
            (True, traces.BAD, options.bad),
            (False, traces.GOOD, options.good),
        ):
            for at, fault in enumerate(kinds):
                if options.kind not in fault.name:
                    continue
                for n in range(count):
                    seed = base + at * 100_000 + n
                    jobs.extend((name, at, bad, seed, w) for w in whose)
    return jobs


def main() -> int:
    """Run the replays."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--bad", type=int, default=200, help="traces a kind")
    options.add_argument("--good", type=int, default=125)
    options.add_argument("--tuning", action="store_true")
    options.add_argument("--ours-only", action="store_true")
    options.add_argument("--deployment", default="")
    options.add_argument("--kind", default="")
    options.add_argument("--why", action="store_true")
    chosen = options.parse_args()
    groups: dict[tuple[str, str, bool, str], list[traces.Result]] = {}
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        for name, who, result in pool.map(one, jobs_for(chosen), chunksize=8):
            key = (name, who, result.bad, result.kind)
            groups.setdefault(key, []).append(result)
    report: dict[str, typing.Any] = {}
    for (name, who, bad, kind), results in sorted(groups.items()):
        figures = sum_up(results)
        word = "bad" if bad else "good"
        print(
            f"{name:10} {who:8} {word:4} {kind:26} "
            f"{figures['as_wanted']:7.1%} harmed "
            f"{figures['harmed_share_mean']:7.3%} p95 "
            f"{figures['harmed_share_p95']:7.3%} to zero p95 "
            f"{figures['to_zero_p95_ms'] / 1000:5.1f} s, from verdict "
            f"{figures['decided_to_zero_max_ms'] / 1000:5.1f} s",
            flush=True,
        )
        if chosen.why:
            for result in results:
                print("   ", result.outcome, result.why)
        report.setdefault(name, {}).setdefault(who, {})[kind] = figures
    for name, by_who in report.items():
        for who, kinds in by_who.items():
            good = [kinds[f.name] for f in traces.GOOD if f.name in kinds]
            total = sum(figures["traces"] for figures in good)
            hits = sum(f["traces"] * f["as_wanted"] for f in good)
            if total:
                kinds["all good"] = {
                    "traces": total,
                    "as_wanted": round(hits / total, 4),
                    "interval": interval(round(hits), total),
                }
                print(f"{name} {who} all good: {hits / total:.2%} of {total}")
    print(json.dumps(report))
    return 0


if __name__ == "__main__":
    sys.exit(main())
