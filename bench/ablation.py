"""Ablation study of the mechanisms of placement and queueing.

Each row of ``ablation.yaml`` disables one mechanism in a scratch copy. The
copy and the unchanged sources simulate the same loads with the same seeds;
the difference is the mechanism's contribution. Prints a table and, last,
JSON.
"""

import argparse
import concurrent.futures
import dataclasses
import json
import math
import pathlib
import statistics
import subprocess
import sys

import safeguards
import yaml

TABLE = pathlib.Path(__file__).with_name("ablation.yaml")
SIMULATION_SCRIPT = pathlib.Path(__file__).with_name("_plays.py")
MAX_PARALLEL_ROWS = 3
# Two-sided 95% critical value of Student's t for eight pairs.
T_95 = 2.365


@dataclasses.dataclass(slots=True)
class Row:
    """A mechanism and the edit that disables it.

    Args:
        name: The mechanism's name; empty for the unchanged sources.
        file: The source file, relative to the root of the repository.
        old: The text to replace; it occurs once in the file.
        new: The replacement.
    """

    name: str
    file: str = ""
    old: str = ""
    new: str = ""


@dataclasses.dataclass(slots=True)
class Contribution:
    """A mechanism's contribution at one load.

    Args:
        name: The mechanism's name.
        load: The load's name.
        credit: Mean increase of callers' credit with the mechanism.
        within: Half-width of the 95% confidence interval of ``credit``.
        far_kib: Mean increase of cross-domain traffic with the mechanism, in
            KiB per call.
    """

    name: str
    load: str
    credit: float
    within: float
    far_kib: float


def simulate_without(row: Row, seeds: int) -> list[dict[str, float]]:
    """Return the outcomes of all loads and seeds without a mechanism."""
    with safeguards.patched_copy(row.file, row.old, row.new) as copy:
        completed = subprocess.run(
            [sys.executable, str(SIMULATION_SCRIPT), str(seeds)],
            env=safeguards.environment_for(copy),
            capture_output=True,
            text=True,
            check=True,
        )
    return json.loads(completed.stdout)


def compare(
    row: Row, full: list[dict[str, float]], ablated: list[dict[str, float]]
) -> list[Contribution]:
    """Return a mechanism's contribution at each load."""
    contributions = []
    for load in sorted({outcome["load"] for outcome in full}):
        pairs = [
            (a, b)
            for a, b in zip(full, ablated, strict=True)
            if a["load"] == load
        ]
        differences = [a["credit"] - b["credit"] for a, b in pairs]
        deviation = (
            statistics.stdev(differences) if len(differences) > 1 else 0.0
        )
        contributions.append(
            Contribution(
                row.name,
                load,
                statistics.mean(differences),
                T_95 * deviation / math.sqrt(len(differences)),
                statistics.mean(a["far_kib"] - b["far_kib"] for a, b in pairs),
            )
        )
    return contributions


def main() -> int:
    """Simulate every row and print its contribution."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--only", default="", help="part of a mechanism's name"
    )
    parser.add_argument("--seeds", type=int, default=8)
    arguments = parser.parse_args()
    rows = yaml.safe_load(TABLE.read_text(encoding="utf-8"))
    table = [Row(**row) for row in rows if arguments.only in row["name"]]
    with concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL_ROWS) as pool:
        outcomes = list(
            pool.map(
                lambda row: simulate_without(row, arguments.seeds),
                [Row(""), *table],
            )
        )
    contributions = [
        contribution
        for row, ablated in zip(table, outcomes[1:], strict=True)
        for contribution in compare(row, outcomes[0], ablated)
    ]
    for contribution in contributions:
        print(
            f"{contribution.name:45} {contribution.load:10} "
            f"{contribution.credit:+.4f} +-{contribution.within:.4f} "
            f"{contribution.far_kib:+.2f} KiB cross-domain"
        )
    print(
        json.dumps(
            [
                dataclasses.asdict(contribution)
                for contribution in contributions
            ]
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
