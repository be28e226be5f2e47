"""Control processes start and work where their disks sync slowly."""

import collections.abc
import pathlib

import pytest

from trefoil_emulator import fleet as fleets

ROOT = pathlib.Path(__file__).parent.parent
DOCUMENT = (ROOT / "demo" / "matbakh.yaml").read_text(encoding="utf-8")
pytestmark = pytest.mark.processes

# Runs first in a control process.
SLOW_SYNC = """\
import os, time
def slow(call):
    return lambda fd: (time.sleep({sync_s}), call(fd))[1]
os.fsync, os.fdatasync = slow(os.fsync), slow(os.fdatasync)
"""


@pytest.fixture(params=[0.1, 0.2])
def fleet(request, tmp_path) -> collections.abc.Iterator[fleets.LocalFleet]:
    """Three control processes with slow disks and two proxies."""
    local_fleet = fleets.LocalFleet(tmp_path, domains=["ariana"])
    with local_fleet:
        local_fleet.add_controls()
        local_fleet.add_proxies({"h1": "ariana", "h2": "ariana"})
        slow_sync = SLOW_SYNC.format(sync_s=request.param)
        for name in local_fleet.control_names:
            command = local_fleet.members[name].command
            code = command.index("-c") + 1
            command[code] = slow_sync + command[code]
        yield local_fleet


def test_a_fleet_with_slow_disks_starts_and_takes_changes(fleet) -> None:
    """No leader was elected, so nothing was served or accepted."""
    fleet.start()
    leader = fleet.wait_leader()
    answer = fleet.execute(
        "apply matbakh.yaml", document=DOCUMENT, at=leader, wait_s=20
    )
    assert answer["outcome"] == "done"
    fleet.wait_ready(2)
    fleet.kill(*fleet.control_names)
    fleet.start(*fleet.control_names)
    fleet.wait_leader()
    assert fleet.execute("drain h9", wait_s=20)["outcome"] == "done"
