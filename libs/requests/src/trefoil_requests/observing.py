"""Observations of a version's answers, for metrics and moves."""

from trefoil_wire import messages

from . import balancer as balancers
from . import effects
from . import live as live_calls
from . import routing


def answered(
    endpoints: routing.Endpoints,
    live: live_calls.LiveCall,
    *,
    latency_us: int,
    run_us: int,
    failed: bool,
    now_ms: int,
) -> list[effects.Observe]:
    """Return the observation of the current attempt.

    Each call is observed once, by its first attempt: counting the retry of a
    failed call would make the other version look equally bad.

    Args:
        endpoints: The known targets.
        live: The call.
        latency_us: Time since the request was sent.
        run_us: How long the target ran it.
        failed: Whether the answer counts against the version.
        now_ms: The time on the runtime's clock.
    """
    if live.request_id != live.first_request_id:
        return []
    return [
        _observed(
            endpoints,
            live,
            live.attempt,
            latency_us=latency_us,
            run_us=run_us,
            failed=failed,
            now_ms=now_ms,
        )
    ]


def overtaken(
    endpoints: routing.Endpoints,
    live: live_calls.LiveCall,
    now_ms: int,
    now_us: int,
) -> list[effects.Observe]:
    """Return the observation of a first attempt that its hedge overtook.

    Its latency is the time since it was sent. Without this observation, a
    slow version would be measured only by its fast answers.
    """
    first = live.hedge
    if first is None or first.request_id != live.first_request_id:
        return []
    waited_us = now_us - first.sent_us
    return [
        _observed(
            endpoints,
            live,
            first,
            latency_us=waited_us,
            run_us=waited_us,
            failed=False,
            now_ms=now_ms,
        )
    ]


def _observed(
    endpoints: routing.Endpoints,
    live: live_calls.LiveCall,
    attempt: live_calls.Attempt,
    *,
    latency_us: int,
    run_us: int,
    failed: bool,
    now_ms: int,
) -> effects.Observe:
    return effects.Observe(
        route=live.route.name,
        tenant=live.route.tenant,
        version=attempt.version,
        domain=attempt.endpoint.domain,
        latency_us=latency_us,
        run_us=run_us,
        failed=failed,
        cold=_is_cold(endpoints, attempt.endpoint, now_ms),
    )


def _is_cold(
    endpoints: routing.Endpoints, endpoint: routing.Endpoint, now_ms: int
) -> bool:
    if endpoint.target.state == messages.TargetState.COLD:
        return True
    if endpoint.target.tells_warmup:
        return False
    seen_ms = endpoints.first_seen_ms.get(endpoint.key, now_ms)
    return now_ms - seen_ms < balancers.SLOW_START_MS
