"""Checks by mutation that each safeguard is covered by a test.

Each row of ``safeguards.yaml`` names a file, the text that implements the
safeguard, a replacement that disables it and the test that must then fail.
Works on scratch copies and prints JSON last.
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
MAX_PARALLEL_TESTS = 4
TEST_TIMEOUT_S = 300


@dataclasses.dataclass(slots=True)
class Safeguard:
    """A safeguard, the edit that disables it and the test that covers it.

    Args:
        name: What it ensures.
        file: The source file, relative to the root of the repository.
        old: The text to replace; it occurs once in the file.
        new: The replacement.
        test: The test that must fail without the safeguard.
    """

    name: str
    file: str
    old: str
    new: str
    test: str


@dataclasses.dataclass(slots=True)
class CheckResult:
    """Result of the test of a disabled safeguard.

    Args:
        name: The safeguard's name.
        test: The test that ran.
        noticed: Whether the test failed, as it must.
        problem: Why the test could not run, else empty.
    """

    name: str
    test: str
    noticed: bool
    problem: str = ""


@contextlib.contextmanager
def patched_copy(
    file: str, old: str, new: str
) -> collections.abc.Iterator[pathlib.Path]:
    """Make a scratch copy of the sources with one text replaced.

    Args:
        file: The file to change; empty for an unchanged copy.
        old: The text to replace.
        new: The replacement.

    Raises:
        ValueError: The text does not occur exactly once in the file.
    """
    with tempfile.TemporaryDirectory() as scratch:
        copy = pathlib.Path(scratch)
        for name in ("libs", "platform"):
            shutil.copytree(ROOT / name, copy / name)
        for name in ("conftest.py", "pyproject.toml"):
            shutil.copy(ROOT / name, copy / name)
        if file:
            path = copy / file
            text = path.read_text(encoding="utf-8")
            if text.count(old) != 1:
                count = text.count(old)
                raise ValueError(f"the text to replace occurs {count} times")
            path.write_text(text.replace(old, new), encoding="utf-8")
        yield copy


def environment_for(copy: pathlib.Path) -> dict[str, str]:
    """Return the environment in which Python imports a copy's sources."""
    sources = sorted(str(path) for path in copy.glob("libs/*/src"))
    sources.append(str(copy / "platform"))
    return os.environ | {
        "PYTHONPATH": os.pathsep.join(sources),
        "TREFOIL_PROFILE": "no-shrink",
    }


def run_check(safeguard: Safeguard) -> CheckResult:
    """Disable a safeguard in a copy and run its test."""
    try:
        with patched_copy(
            safeguard.file, safeguard.old, safeguard.new
        ) as copy:
            return _run(safeguard, copy)
    except ValueError as error:
        return CheckResult(safeguard.name, safeguard.test, False, str(error))


def _run(safeguard: Safeguard, copy: pathlib.Path) -> CheckResult:
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-x", "-q", safeguard.test],
        cwd=copy,
        env=environment_for(copy),
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT_S,
    )
    problem = "" if completed.returncode in (0, 1) else completed.stdout[-300:]
    return CheckResult(
        safeguard.name, safeguard.test, completed.returncode == 1, problem
    )


def main() -> int:
    """Check every safeguard; return 1 if a test did not fail."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--only", default="", help="part of a safeguard's name"
    )
    only = parser.parse_args().only
    rows = yaml.safe_load(TABLE.read_text(encoding="utf-8"))
    table = [Safeguard(**row) for row in rows if only in row["name"]]
    with concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL_TESTS) as pool:
        results = list(pool.map(run_check, table))
    for result in results:
        label = "noticed" if result.noticed else "NOT NOTICED"
        print(f"{label}: {result.name} {result.problem}")
    noticed = sum(result.noticed for result in results)
    print(json.dumps({"safeguards": len(results), "noticed": noticed}))
    return 0 if noticed == len(results) else 1


if __name__ == "__main__":
    sys.exit(main())
