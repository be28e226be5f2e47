"""Forwards operators' commands and queries from a proxy to control hosts."""

import math
import typing

from trefoil_wire import messages

from . import operators


class Relay:
    """Forwards commands and queries, and returns the replies.

    Requests go to one control host until it cannot be reached or does not
    answer; then the next one is tried.

    Args:
        controls: Address of each control process, by name.
        request_send: Sends on a request link; returns False if the peer
            cannot be reached.
    """

    __slots__ = (
        "control_names",
        "controls",
        "request_send",
        "control_index",
        "commands",
        "queries",
    )

    def __init__(
        self,
        controls: dict[str, str],
        request_send: typing.Callable[[str, str, typing.Any], bool],
    ) -> None:
        self.control_names = sorted(controls)
        self.controls = controls
        self.request_send = request_send
        self.control_index = 0
        self.commands = operators.Waiters()
        self.queries = operators.Waiters()

    def submit(
        self,
        command: messages.Command,
        reply: operators.OnReply,
        now_ms: int,
    ) -> None:
        """Forward a command; dropped if too many are waiting."""
        until_ms = (
            now_ms + operators.COMMAND_TIMEOUT_MS + operators.RETRY_AFTER_MS
        )
        request = messages.CommandRequest(command, 0)
        if self.commands.add(command.command_id, request, reply, until_ms):
            self._send(request)

    def ask(
        self, query: messages.Query, reply: operators.OnReply, now_ms: int
    ) -> None:
        """Forward a query; dropped if too many are waiting."""
        until_ms = (
            now_ms + operators.QUERY_TIMEOUT_MS + operators.RETRY_AFTER_MS
        )
        if self.queries.add(query.query_id, query, reply, until_ms):
            self._send(query)

    def _send(self, message: typing.Any) -> None:
        name = self.control_names[self.control_index % len(self.control_names)]
        if not self.request_send(name, self.controls[name], message):
            self.control_index += 1

    def on_reply(self, message: typing.Any) -> None:
        """Deliver a reply to all who wait for it."""
        match message:
            case messages.CommandReply():
                if message.outcome == messages.Outcome.PENDING:
                    # This control process may be partitioned from the leader.
                    self.control_index += 1
                waiters = self.commands.take(message.command_id)
            case messages.QueryReply():
                waiters = self.queries.take(message.query_id)
            case _:
                waiters = []
        for waiter in waiters:
            waiter.reply(message)

    def tick(self, now_ms: int) -> None:
        """Answer requests that no control host answered in time."""
        commands = self.commands.expired(now_ms)
        queries = self.queries.expired(now_ms)
        self.control_index += len(commands) + len(queries)
        _answer(commands, queries, "no control host answers")

    def answer_all(self, reason: str) -> None:
        """Answer all requests that wait, with a reason."""
        commands = self.commands.expired(math.inf)
        _answer(commands, self.queries.expired(math.inf), reason)


def _answer(
    commands: list[operators.Waiter],
    queries: list[operators.Waiter],
    reason: str,
) -> None:
    """Tell operators that the outcome is not known."""
    for waiter in commands:
        command_id = waiter.request.command.command_id
        waiter.reply(operators.pending(command_id, reason))
    for waiter in queries:
        query_id = waiter.request.query_id
        waiter.reply(messages.QueryReply(query_id, False, reason))
