"""Tests of the slot metrics of targets."""

import random

from trefoil_daemon import slot_metrics
from trefoil_requests import quarantine as quarantines
from trefoil_requests import target_side
from trefoil_wire import messages


def request(number: int) -> messages.Request:
    """Return a request that may wait in the queue."""
    return messages.Request(
        request_id=number,
        route="pay",
        method="POST",
        path="/pay",
        headers=b"",
        body=b"",
        deadline_ms=10_000,
        target="t1",
        fingerprint=number,
        version="v1",
        settled=True,
    )


def test_slots_are_reported_by_state() -> None:
    """A busy target could not be distinguished from an idle one."""
    core = target_side.TargetSide(quarantines.Quarantine(), random.Random(1))
    ready = messages.TargetState.READY
    record = messages.TargetRecord("t1", "tables", "v1", [], 2, ready)
    core.put_target(record, 8080, 0)
    for number in (1, 2, 3):
        core.on_request("peer", request(number), 0)
    slots, sent, limits = slot_metrics.families(core.targets.values())
    values_by_state = {s.labels["state"]: s.value for s in slots.samples}
    assert values_by_state == {"all": 2, "running": 2, "queued": 1}
    assert [sample.value for sample in sent.samples] == [2]
    assert limits.samples == []
