"""Takes each safeguard out in turn and shows the test that then fails.

A safeguard whose removal no test notices is not proved. Each row of
``safeguards.yaml`` names a file, what is taken out, what stands in its place
and the test that must fail. It works on a scratch copy and prints JSON last.
"""

import argparse
import collections.abc
import concurrent.futures
import contextlib
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


@contextlib.contextmanager
def copy_with(
    file: str, old: str, new: str
) -> collections.abc.Iterator[pathlib.Path]:
    """Make a scratch copy of the sources with one text replaced.

    Args:
        file: Where the text stands; empty for an unchanged copy.
        old: The text.
        new: What stands in its place.

    Raises:
        ValueError: The text does not stand there once.
    """
    with tempfile.TemporaryDirectory() as scratch:
        copy = pathlib.Path(scratch)
        shutil.copytree(ROOT / "libs", copy / "libs")
        for name in ("conftest.py", "pyproject.toml"):
            shutil.copy(ROOT / name, copy / name)
        if file:
            path = copy / file
            text = path.read_text(encoding="utf-8")
            if text.count(old) != 1:
                count = text.count(old)
                raise ValueError(f"the text stands there {count} times")
            path.write_text(text.replace(old, new), encoding="utf-8")
        yield copy


def environment_of(copy: pathlib.Path) -> dict[str, str]:
    """Return the environment in which a copy's sources are imported."""
    sources = sorted(str(path) for path in copy.glob("libs/*/src"))
    return os.environ | {
        "PYTHONPATH": os.pathsep.join(sources),
        "TREFOIL_PROFILE": "no-shrink",
    }


def show(safeguard: Safeguard) -> Shown:
    """Run a safeguard's test on a copy without it."""
    try:
        with copy_with(safeguard.file, safeguard.old, safeguard.new) as copy:
            return _run(safeguard, copy)
    except ValueError as error:
        return Shown(safeguard.name, safeguard.test, False, str(error))


def _run(safeguard: Safeguard, copy: pathlib.Path) -> Shown:
    ran = subprocess.run(
        [sys.executable, "-m", "pytest", "-x", "-q", safeguard.test],
        cwd=copy,
        env=environment_of(copy),
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
