"""What targets stated in the answers that this proxy passed on.

The proxy of a target enforces what the target states, but forgets it when it
restarts. Callers that got such an answer may rely on it all the same, so the
entry proxy that passed it on remembers it for as long as the target runs.
"""

import collections
import dataclasses

from trefoil_wire import messages

from . import routing

MAX_TARGETS = 4096


@dataclasses.dataclass(slots=True)
class Statement:
    """What a target stated last.

    Args:
        started_ms: When the target started; 0 if unknown.
        limit_per_s: The rate limit that it named, None if none.
        leaving: Whether it stated that it is leaving.
    """

    started_ms: int
    limit_per_s: float | None = None
    leaving: bool = False


class Statements:
    """The last statements of targets, by the target's key."""

    __slots__ = ("by_key",)

    def __init__(self) -> None:
        self.by_key: collections.OrderedDict[str, Statement] = (
            collections.OrderedDict()
        )

    def hear(
        self, endpoint: routing.Endpoint, answer: messages.Answer
    ) -> None:
        """Record what an answer states about its target.

        A refusal comes from the target's proxy, which may have restarted and
        know nothing. It never ends a limit. A departure is never ended.
        """
        from_target = answer.ran and not (answer.unusable or answer.crashed)
        statement = self._find(endpoint)
        if statement is None:
            if answer.limit_per_s is None and not answer.leaving:
                return
            statement = self._add(endpoint)
        if from_target or answer.limit_per_s is not None:
            statement.limit_per_s = answer.limit_per_s
        if answer.leaving:
            statement.leaving = True

    def limit_per_s(self, endpoint: routing.Endpoint) -> float | None:
        """Return the rate limit that a target named, None if none."""
        statement = self._find(endpoint)
        return statement.limit_per_s if statement is not None else None

    def staying(
        self, endpoints: list[routing.Endpoint]
    ) -> list[routing.Endpoint]:
        """Return the targets that have not stated that they are leaving.

        The record of a leaving target may say otherwise: its proxy may have
        restarted after the answer.
        """
        if not self.by_key:
            return endpoints
        return [e for e in endpoints if not self._is_leaving(e)]

    def _is_leaving(self, endpoint: routing.Endpoint) -> bool:
        statement = self._find(endpoint)
        return statement is not None and statement.leaving

    def _find(self, endpoint: routing.Endpoint) -> Statement | None:
        """Return what a target stated since it started."""
        statement = self.by_key.get(endpoint.key)
        if statement is None:
            return None
        if statement.started_ms != (endpoint.target.started_ms or 0):
            return None
        return statement

    def _add(self, endpoint: routing.Endpoint) -> Statement:
        statement = Statement(endpoint.target.started_ms or 0)
        self.by_key[endpoint.key] = statement
        self.by_key.move_to_end(endpoint.key)
        if len(self.by_key) > MAX_TARGETS:
            self.by_key.popitem(last=False)
        return statement
