"""The times of a proxy's graceful shutdown."""

import dataclasses
import typing

from trefoil_settings import settings as setting_store

# Before a leaving proxy refuses requests, other proxies must have learned that
# its targets are gone, and the requests they sent before must have run.
WITHDRAW_BEFORE_REFUSAL_MS = 1200
# Requests that other proxies sent before they learned of the shutdown arrive
# within this time.
MIN_SHUTDOWN_MS = 1500
# Open requests are answered this long before the process would be killed,
# which leaves time for the answers to reach their callers.
ANSWER_MARGIN_MS = 500
# The process exits this long before it would be killed: three of its ticks.
EXIT_MARGIN_MS = 150


@dataclasses.dataclass(slots=True, frozen=True)
class Shutdown:
    """The times of one shutdown, on the runtime's clock in milliseconds.

    Args:
        began_ms: When this process was asked to leave.
        withdraw_ms: When the targets of this host are withdrawn.
        refuse_ms: From when on new requests are refused.
        earliest_exit_ms: When the process may exit if nothing is open.
        answer_ms: When all requests that are still open are answered.
        exit_ms: When the process exits, whatever is open.
    """

    began_ms: int
    withdraw_ms: int
    refuse_ms: int
    earliest_exit_ms: int
    answer_ms: int
    exit_ms: int

    @classmethod
    def from_settings(
        cls, settings: setting_store.ProxySettings, now_ms: int
    ) -> typing.Self:
        """Return the times of a shutdown that starts now."""
        answer_ms = now_ms + settings.grace_ms - ANSWER_MARGIN_MS
        # A linger as long as the grace must not skip the refusals.
        refuse_ms = min(now_ms + settings.linger_ms, answer_ms)
        return cls(
            began_ms=now_ms,
            withdraw_ms=refuse_ms - WITHDRAW_BEFORE_REFUSAL_MS,
            refuse_ms=refuse_ms,
            earliest_exit_ms=max(refuse_ms, now_ms + MIN_SHUTDOWN_MS),
            answer_ms=answer_ms,
            exit_ms=now_ms + settings.grace_ms - EXIT_MARGIN_MS,
        )

    def may_exit(self, now_ms: int, *, idle: bool, sending: bool) -> bool:
        """Return whether the process may exit.

        Args:
            now_ms: The time on the runtime's clock.
            idle: Whether no request is open.
            sending: Whether requests or answers are still in transfer.
        """
        if now_ms >= self.exit_ms:
            return True
        if sending:
            return False
        if now_ms >= self.answer_ms:
            return True
        return idle and now_ms >= self.earliest_exit_ms
