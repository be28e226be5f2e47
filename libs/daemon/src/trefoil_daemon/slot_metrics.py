"""Metrics of the slots of this host's targets."""

import collections.abc

from trefoil_requests import target_side

from . import exposition


def families(
    targets: collections.abc.Iterable[target_side.LocalTarget],
) -> list[exposition.Family]:
    """Return each target's slots, running requests and queued requests."""
    slots = exposition.Family(
        "slots",
        "Slots of the targets here, those that run and what waits for one",
        ["target", "state"],
        is_counter=False,
    )
    for target in targets:
        name, controller = target.record.name, target.slots
        slots.add(controller.slots, target=name, state="all")
        slots.add(controller.running, target=name, state="running")
        slots.add(len(controller.queue), target=name, state="queued")
    return [slots]
