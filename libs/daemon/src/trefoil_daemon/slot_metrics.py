"""Metrics of the slots of this host's targets."""

import collections.abc

from trefoil_requests import target_side

from . import exposition


def families(
    targets: collections.abc.Iterable[target_side.LocalTarget],
) -> list[exposition.Family]:
    """Return each target's slots, requests and named rate limit."""
    slots = exposition.Family(
        "slots",
        "Slots of the targets here, those that run and what waits for one",
        ["target", "state"],
        is_counter=False,
    )
    sent = exposition.Family(
        "target_requests",
        "Requests sent to the targets here",
        ["target"],
        is_counter=True,
    )
    limits = exposition.Family(
        "target_limit_per_s",
        "Requests per second that the targets here say they take at most",
        ["target"],
        is_counter=False,
    )
    for target in targets:
        name, controller = target.record.name, target.slots
        slots.add(controller.slots, target=name, state="all")
        slots.add(controller.running, target=name, state="running")
        slots.add(len(controller.queue), target=name, state="queued")
        sent.add(target.sent, target=name)
        if controller.rate_limit.per_s is not None:
            limits.add(controller.rate_limit.per_s, target=name)
    return [slots, sent, limits]
