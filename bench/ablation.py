"""What each mechanism of placing and queueing is worth to callers.

Each row of ``ablation.yaml`` takes one mechanism out of a scratch copy. The
copy and the whole play the same loads on the same seeds; the difference is
what the mechanism is worth. Prints a table and, last, JSON.
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
PLAYS = pathlib.Path(__file__).with_name("_plays.py")
AT_ONCE = 3
# Two-sided 95% of Student's t for eight pairs.
T_95 = 2.365


@dataclasses.dataclass(slots=True)
class Row:
    """One mechanism.

    Args:
        name: What it does.
        file: Where it stands.
        old: The text that is taken out.
        new: What stands in its place.
    """

    name: str
    file: str = ""
    old: str = ""
    new: str = ""


@dataclasses.dataclass(slots=True)
class Worth:
    """What a mechanism is worth at one load.

    Args:
        name: The mechanism.
        load: The load's name.
        credit: Callers' credit with it less that without it.
        within: Half of the 95% interval of that.
        far_kib: KiB a call that crosses with it less those without it.
    """

    name: str
    load: str
    credit: float
    within: float
    far_kib: float


def play(row: Row, seeds: int) -> list[dict[str, float]]:
    """Return the outcomes of all loads and seeds without a mechanism."""
    with safeguards.copy_with(row.file, row.old, row.new) as copy:
        ran = subprocess.run(
            [sys.executable, str(PLAYS), str(seeds)],
            env=safeguards.environment_of(copy),
            capture_output=True,
            text=True,
            check=True,
        )
    return json.loads(ran.stdout)


def compare(
    row: Row, whole: list[dict[str, float]], without: list[dict[str, float]]
) -> list[Worth]:
    """Return what a mechanism is worth at each load."""
    found = []
    for load in sorted({outcome["load"] for outcome in whole}):
        pairs = [
            (a, b)
            for a, b in zip(whole, without, strict=True)
            if a["load"] == load
        ]
        credits = [a["credit"] - b["credit"] for a, b in pairs]
        spread = statistics.stdev(credits) if len(credits) > 1 else 0.0
        found.append(
            Worth(
                row.name,
                load,
                statistics.mean(credits),
                T_95 * spread / math.sqrt(len(credits)),
                statistics.mean(a["far_kib"] - b["far_kib"] for a, b in pairs),
            )
        )
    return found


def main() -> int:
    """Play every row and print what it is worth."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--only", default="", help="part of a name")
    options.add_argument("--seeds", type=int, default=8)
    given = options.parse_args()
    rows = yaml.safe_load(TABLE.read_text(encoding="utf-8"))
    table = [Row(**row) for row in rows if given.only in row["name"]]
    with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
        played = list(
            pool.map(lambda row: play(row, given.seeds), [Row(""), *table])
        )
    found = [
        worth
        for row, without in zip(table, played[1:], strict=True)
        for worth in compare(row, played[0], without)
    ]
    for worth in found:
        print(
            f"{worth.name:45} {worth.load:10} {worth.credit:+.4f} "
            f"+-{worth.within:.4f} {worth.far_kib:+.2f} KiB far"
        )
    print(json.dumps([dataclasses.asdict(worth) for worth in found]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
