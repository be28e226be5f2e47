"""Takes each safeguard out in turn and shows the test that then fails.

A safeguard whose removal no test notices is not proved. Each row of
``safeguards.yaml`` names a file, what is taken out, what stands in its place
and the test that must fail. It works on a scratch copy and prints JSON last.
"""

import argparse
import concurrent.futures
import dataclasses
import json
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

import yaml

ROOT = pathlib.Path(__file__).parent.parent
TABLE = pathlib.Path(__file__).with_name("safeguards.yaml")
AT_ONCE = 4
TIMEOUT_S = 300


@dataclasses.dataclass(slots=True)
class Safeguard:
    """One safeguard and its proof.

    Args:
        name: What it guards against.
        file: Where it stands.
        old: The text that is taken out.
        new: What stands in its place.
        test: The test that must fail without it.
    """

    name: str
    file: str
    old: str
    new: str
    test: str


@dataclasses.dataclass(slots=True)
class Shown:
    """What happened without a safeguard."""

    name: str
    test: str
    noticed: bool
    problem: str = ""


def show(safeguard: Safeguard) -> Shown:
    """Run a safeguard's test on a copy without it."""
    with tempfile.TemporaryDirectory() as scratch:
        copy = pathlib.Path(scratch)
        shutil.copytree(ROOT / "libs", copy / "libs")
        for name in ("conftest.py", "pyproject.toml"):
            shutil.copy(ROOT / name, copy / name)
        path = copy / safeguard.file
        text = path.read_text(encoding="utf-8")
        if text.count(safeguard.old) != 1:
            count = text.count(safeguard.old)
            problem = f"the text stands there {count} times"
            return Shown(safeguard.name, safeguard.test, False, problem)
        path.write_text(
            text.replace(safeguard.old, safeguard.new), encoding="utf-8"
        )
        return _run(safeguard, copy)


def _run(safeguard: Safeguard, copy: pathlib.Path) -> Shown:
    sources = sorted(str(path) for path in copy.glob("libs/*/src"))
    environment = os.environ | {
        "PYTHONPATH": os.pathsep.join(sources),
        "TREFOIL_PROFILE": "no-shrink",
    }
    ran = subprocess.run(
        [sys.executable, "-m", "pytest", "-x", "-q", safeguard.test],
        cwd=copy,
        env=environment,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    problem = "" if ran.returncode in (0, 1) else ran.stdout[-300:]
    return Shown(safeguard.name, safeguard.test, ran.returncode == 1, problem)


def main() -> int:
    """Show every safeguard; return 1 if one is not noticed."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--only", default="", help="part of a name")
    only = options.parse_args().only
    rows = yaml.safe_load(TABLE.read_text(encoding="utf-8"))
    table = [Safeguard(**row) for row in rows if only in row["name"]]
    with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
        found = list(pool.map(show, table))
    for shown in found:
        word = "noticed" if shown.noticed else "NOT NOTICED"
        print(f"{word}: {shown.name} {shown.problem}")
    noticed = sum(shown.noticed for shown in found)
    print(json.dumps({"safeguards": len(found), "noticed": noticed}))
    return 0 if noticed == len(found) else 1


if __name__ == "__main__":
    sys.exit(main())
