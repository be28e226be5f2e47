"""Checks the calls that arrive: their route and the key that they carry."""

import dataclasses
import typing

from trefoil_accounts import access as accesses
from trefoil_model import effects as common
from trefoil_model import errors
from trefoil_wire import messages

from . import call as calls
from . import effects
from . import pending as pending_calls
from . import routing

RETRY_AFTER_MS = 1000
LEAVING = "this proxy is leaving"


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """A call that may be served.

    Args:
        route: The route that it matched.
        account: The caller's account, None without one.
    """

    route: messages.Route
    account: messages.Account | None

    @property
    def priority(self) -> int:
        """Return the priority of the account, or else that of the route."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority or 0


class IncomingCalls:
    """Accepts or answers the calls that arrive at one proxy.

    Args:
        access: Checks the keys of callers.

    Calls that come before this proxy can serve are held for a moment.
    """

    __slots__ = ("access", "table", "held", "draining", "pending_effects")

    def __init__(self, access: accesses.Access) -> None:
        self.access = access
        self.table: routing.RouteTable | None = None
        self.held = pending_calls.PendingCalls()
        self.draining = False
        self.pending_effects: list[typing.Any] = []

    def put_in_force(self, table: routing.RouteTable) -> None:
        """Route and check calls by a new configuration."""
        self.table = table
        self.access.put_in_force(table.accounts, table.revision)

    @property
    def is_starting(self) -> bool:
        """Return whether this proxy has just started and can't serve yet."""
        return self.table is None or self.access.is_starting

    def may_overlap(self, host: str, path: str, method: str) -> bool:
        """Return whether a request may run beside others of its caller.

        A caller that sends a request which may not be repeated behind another
        one relies on their order.
        """
        if self.table is None:
            return False
        try:
            route = self.table.match(host, path, method)
        except errors.ProtocolError:
            return False
        return route.repeat == messages.Repeat.ANY

    def accept(self, call: calls.Call, now_ms: int) -> Accepted | None:
        """Return an accepted call's route and account.

        Any other call is held, or answered by an effect.
        """
        if self.is_starting and not self.draining:
            if self.held.hold(call, now_ms):
                return None
        if self.draining:
            self._refuse(call, 503, LEAVING)
            return None
        if self.table is None:
            self._refuse(call, 503, "no configuration is in force yet")
            return None
        try:
            route = self.table.match(call.host, call.path, call.method)
        except errors.ProtocolError as error:
            self._refuse(call, error.status, error.reason)
            return None
        return self._authorize(call, route)

    def _authorize(
        self, call: calls.Call, route: messages.Route
    ) -> Accepted | None:
        decision = self.access.check(
            call.account_key, bool(route.open), call.received_boot_ms
        )
        if isinstance(decision, accesses.Denied):
            self._note_denied(call, route, decision)
            self._refuse(
                call,
                decision.status,
                decision.denial,
                decision.retry_after_ms,
            )
            return None
        if not self.access.directory.keys_required:
            call.headers += call.authorization
        return Accepted(route, decision.account)

    def release(self, now_ms: int) -> list[calls.Call]:
        """Return the calls that were held, once this proxy can serve."""
        return [] if self.is_starting else self.held.release(now_ms)

    def tick(self, now_ms: int) -> None:
        """Refuse the calls that were held for too long."""
        for call in self.held.expired(now_ms):
            self._refuse(call, 503, "no configuration is in force yet")

    def take_effects(self) -> list[typing.Any]:
        """Return and forget the effects that are due."""
        due, self.pending_effects = self.pending_effects, []
        return due

    def _refuse(
        self,
        call: calls.Call,
        status: int,
        reason: str,
        retry_after_ms: int = 0,
    ) -> None:
        if status == 503:
            retry_after_ms = retry_after_ms or RETRY_AFTER_MS
        final = calls.Final(
            call.call_id, status, reason, retry_after_ms=retry_after_ms
        )
        self.pending_effects.append(effects.Finish(final))

    def _note_denied(
        self, call: calls.Call, route: messages.Route, denied: accesses.Denied
    ) -> None:
        fields = {
            "id": call.caller_id or call.call_id,
            "route": route.name,
            "status": denied.status,
            "why": denied.denial,
            "revision": self.table.revision,
        }
        self.pending_effects.append(common.Note("request.denied", fields))
