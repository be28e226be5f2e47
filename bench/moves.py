"""Simulates moves of good and bad versions under two controllers.

Compares the product's controller ("ours") with a baseline. Prints a line for
each kind of fault, then JSON. Seeds for tuning and for the report differ.
"""

import argparse
import concurrent.futures
import json
import math
import sys
import typing

import traces

from trefoil_moves import knobs as move_parameters

FIRST_TUNING_SEED = 1_000_000
FIRST_REPORT_SEED = 5_000_000
WORKERS = 6
# Two-sided 95% quantile of the normal distribution.
Z_95 = 1.96


def run_trace(
    job: tuple[str, int, bool, int, bool],
) -> tuple[str, str, traces.Result]:
    """Run one trace.

    Args:
        job: Deployment, index of the fault, whether it is a bad version, seed,
            and whether the product's controller decides.

    Returns:
        The deployment, the controller's label and the result.
    """
    deployment_name, fault_index, bad, seed, is_product = job
    deployment = traces.DEPLOYMENTS[deployment_name]
    fault = (traces.BAD if bad else traces.GOOD)[fault_index]
    controller: traces.Controller = traces.BaselineController()
    if is_product:
        parameters = move_parameters.MoveParameters.from_profile(
            deployment.profile
        )
        controller = traces.ProductController(parameters)
    trace = traces.Trace(
        deployment, fault, seed, controller, halts_locally=is_product
    )
    variant = "ours" if is_product else "baseline"
    return deployment_name, variant, trace.run()


def interval(successes: int, total: int) -> list[float]:
    """Return the 95% Wilson score interval of a share."""
    if not total:
        return [0.0, 1.0]
    share = successes / total
    half_width = Z_95 * math.sqrt(
        share * (1 - share) / total + Z_95 * Z_95 / (4 * total * total)
    )
    center = share + Z_95 * Z_95 / (2 * total)
    scale = 1 + Z_95 * Z_95 / total
    low, high = (center - half_width) / scale, (center + half_width) / scale
    return [round(max(low, 0), 4), round(min(high, 1), 4)]


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of values, or 0 if there are none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def summarize(results: list[traces.Result]) -> dict[str, typing.Any]:
    """Return the figures of traces of one kind."""
    bad = results[0].bad
    expected = "taken back" if bad else "done"
    as_expected = sum(
        1 for r in results if r.outcome == expected and (bad or r.in_time)
    )
    harmed = [r.harmed / max(r.requests, 1) for r in results]
    to_zero = [float(r.to_zero_ms) for r in results if r.to_zero_ms >= 0]
    return {
        "traces": len(results),
        "as_wanted": round(as_expected / len(results), 4),
        "interval": interval(as_expected, len(results)),
        "harmed_share_mean": round(sum(harmed) / len(harmed), 5),
        "harmed_share_p95": round(quantile(harmed, 0.95), 5),
        "harmed_requests_mean": round(
            sum(r.harmed for r in results) / len(results), 1
        ),
        "to_zero_p50_ms": quantile(to_zero, 0.5),
        "to_zero_p95_ms": quantile(to_zero, 0.95),
        "decided_to_zero_max_ms": max(
            (r.decided_to_zero_ms for r in results), default=-1
        ),
        "report_bytes_mean": round(
            sum(r.report_bytes for r in results) / len(results)
        ),
    }


def jobs_for(
    arguments: argparse.Namespace,
) -> list[tuple[str, int, bool, int, bool]]:
    """Return the jobs for the command line options."""
    first_seed = FIRST_TUNING_SEED if arguments.tuning else FIRST_REPORT_SEED
    variants = (True,) if arguments.ours_only else (True, False)
    jobs = []
    for name in traces.DEPLOYMENTS:
        if arguments.deployment not in ("", name):
            continue
        for bad, faults, count in (
            (True, traces.BAD, arguments.bad),
            (False, traces.GOOD, arguments.good),
        ):
            for fault_index, fault in enumerate(faults):
                if arguments.kind not in fault.name:
                    continue
                for n in range(count):
                    seed = first_seed + fault_index * 100_000 + n
                    jobs.extend(
                        (name, fault_index, bad, seed, is_product)
                        for is_product in variants
                    )
    return jobs


def main() -> int:
    """Run all traces and print the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bad", type=int, default=200, help="traces per kind")
    parser.add_argument("--good", type=int, default=125)
    parser.add_argument("--tuning", action="store_true")
    parser.add_argument("--ours-only", action="store_true")
    parser.add_argument("--deployment", default="")
    parser.add_argument("--kind", default="")
    parser.add_argument("--why", action="store_true")
    arguments = parser.parse_args()
    groups: dict[tuple[str, str, bool, str], list[traces.Result]] = {}
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        for name, variant, result in pool.map(
            run_trace, jobs_for(arguments), chunksize=8
        ):
            key = (name, variant, result.bad, result.kind)
            groups.setdefault(key, []).append(result)
    report: dict[str, typing.Any] = {}
    for (name, variant, bad, kind), results in sorted(groups.items()):
        figures = summarize(results)
        label = "bad" if bad else "good"
        print(
            f"{name:10} {variant:8} {label:4} {kind:26} "
            f"{figures['as_wanted']:7.1%} harmed "
            f"{figures['harmed_share_mean']:7.3%} p95 "
            f"{figures['harmed_share_p95']:7.3%} to zero p95 "
            f"{figures['to_zero_p95_ms'] / 1000:5.1f} s, from verdict "
            f"{figures['decided_to_zero_max_ms'] / 1000:5.1f} s",
            flush=True,
        )
        if arguments.why:
            for result in results:
                print("   ", result.outcome, result.reason)
        report.setdefault(name, {}).setdefault(variant, {})[kind] = figures
    for name, by_variant in report.items():
        for variant, kinds in by_variant.items():
            good = [kinds[f.name] for f in traces.GOOD if f.name in kinds]
            total = sum(figures["traces"] for figures in good)
            successes = sum(f["traces"] * f["as_wanted"] for f in good)
            if total:
                kinds["all good"] = {
                    "traces": total,
                    "as_wanted": round(successes / total, 4),
                    "interval": interval(round(successes), total),
                }
                print(
                    f"{name} {variant} all good: "
                    f"{successes / total:.2%} of {total}"
                )
    print(json.dumps(report))
    return 0


if __name__ == "__main__":
    sys.exit(main())
