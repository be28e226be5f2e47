"""Describes the requests that are still open when a proxy ends."""

from trefoil_model import effects as common

from . import entry as entries
from . import live as live_calls
from . import target_side


def describe(
    entry: entries.Entry, targets: target_side.TargetSide, now_ms: int
) -> list[common.Note]:
    """Return a log line for each open request and what it waits for.

    Args:
        entry: The calls of this proxy's callers.
        targets: The requests at the targets of this host.
        now_ms: The time on the runtime's clock.
    """
    notes = [
        _open_call(entry, targets, live, now_ms)
        for live in entry.live.values()
    ]
    notes += [
        common.Note(
            "request.open",
            {
                "id": held.call.caller_id or held.call.call_id,
                "waits_for": "configuration",
                "waited_ms": now_ms - held.since_ms,
            },
            "warning",
        )
        for held in entry.incoming.held.by_id.values()
    ]
    notes += [
        _open_request(targets, tracked, now_ms)
        for tracked in targets.running.values()
        if tracked.origin != target_side.LOCAL
    ]
    return notes


def _open_call(
    entry: entries.Entry,
    targets: target_side.TargetSide,
    live: live_calls.LiveCall,
    now_ms: int,
) -> common.Note:
    is_sent = live.request_id in entry.by_request
    since_us = live.sent_us if is_sent else live.started_us
    fields = {
        "id": live.call.caller_id or live.call.call_id,
        "route": live.route.name,
        "service": live.service,
        "attempts": live.attempts,
        "target": live.endpoint.key if live.endpoint else "",
        "waits_for": _wait_of_call(entry, targets, live),
        "waited_ms": now_ms - since_us // 1000,
        "open_ms": now_ms - live.started_us // 1000,
    }
    return common.Note("request.open", fields, "warning")


def _wait_of_call(
    entry: entries.Entry,
    targets: target_side.TargetSide,
    live: live_calls.LiveCall,
) -> str:
    """Return what a call waits for.

    Whether a target of another host has a request is known to the proxy
    there, which logs ``target.abandoned``.
    """
    if live.request_id in entry.by_request:
        tracked = targets.running.get(live.request_id)
        if tracked is None:
            return "another host"
        return _wait_of_request(targets, tracked)
    return "key" if live.claim is not None else "token"


def _open_request(
    targets: target_side.TargetSide,
    tracked: target_side.TrackedRequest,
    now_ms: int,
) -> common.Note:
    fields = {
        "id": tracked.request.caller_id or tracked.request.request_id,
        "target": tracked.target,
        "from": tracked.origin,
        "waits_for": _wait_of_request(targets, tracked),
        "waited_ms": now_ms - tracked.waits_since_ms,
    }
    return common.Note("target.open", fields, "warning")


def _wait_of_request(
    targets: target_side.TargetSide, tracked: target_side.TrackedRequest
) -> str:
    if tracked.is_dispatched:
        return "target"
    if targets.incoming_bodies.waits_for(tracked.request.request_id):
        return "body"
    return "slot"
