"""Checks the outcome that the demo prints."""

import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent


@pytest.mark.processes
def test_the_demo_moves_the_good_version_and_takes_the_bad_one_back() -> None:
    """The demo moves to a good version, then to a faulty one.

    The good version must get all traffic. The faulty one fails one request
    in four, more than the old version, and must be taken back before it
    gets all traffic.
    """
    completed = subprocess.run(
        [sys.executable, "demo/run.py"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=150,
    )
    last_line = completed.stdout.strip().splitlines()[-1]
    assert last_line == "the good move: done; the bad move: taken back"
    assert completed.returncode == 0
