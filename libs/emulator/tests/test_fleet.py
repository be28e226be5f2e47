"""What a fleet of processes tells of a start that comes to nothing."""

import pathlib
import subprocess
import sys

from trefoil_emulator import fleet as fleets


def member(code: str) -> fleets.Member:
    """Return a member whose process runs some code."""
    found = fleets.Member("one", [sys.executable, "-c", code], {})
    found.process = subprocess.Popen(found.command)
    return found


def test_a_process_that_waits_says_so(tmp_path: pathlib.Path) -> None:
    """It wrote nothing; a leader that never came could not be traced."""
    found = member("import time; time.sleep(60)")
    try:
        told = found.state(tmp_path / "one.log")
    finally:
        found.process.kill()
        found.process.wait()
    assert told.startswith("one: state ")
    assert told.endswith("s of processor time, 0 bytes of log")


def test_a_process_that_ended_says_how(tmp_path: pathlib.Path) -> None:
    found = member("raise SystemExit(3)")
    found.process.wait()
    log = tmp_path / "one.log"
    log.write_text("why", encoding="utf-8")
    assert found.state(log) == "one: ended with 3, 3 bytes of log"
