"""The demo's printed outcome."""

import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent


@pytest.mark.processes
def test_the_demo_moves_the_good_version_and_takes_the_bad_one_back() -> None:
    """A newcomer runs the demo and reads its last line.

    A good version gets all traffic, then a version that fails one request
    in four is tried: its failures show beside the old version's answers,
    so its traffic goes back before it has the whole.
    """
    ran = subprocess.run(
        [sys.executable, "demo/run.py"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=150,
    )
    last = ran.stdout.strip().splitlines()[-1]
    assert last == "the good move: done; the bad move: taken back"
    assert ran.returncode == 0
