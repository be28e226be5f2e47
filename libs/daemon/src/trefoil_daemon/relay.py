"""Operators' commands and queries passed from a proxy to control hosts."""

import typing

from trefoil_wire import messages

from . import operators


class Relay:
    """Passes lines on and the replies back.

    Args:
        controls: Address of each control process by name.
        tell: Sends on a request link; False if the peer can't be reached.
    """

    __slots__ = ("names", "controls", "tell", "at", "commands", "queries")

    def __init__(
        self,
        controls: dict[str, str],
        tell: typing.Callable[[str, str, typing.Any], bool],
    ) -> None:
        self.names = sorted(controls)
        self.controls = controls
        self.tell = tell
        self.at = 0
        self.commands = operators.Waiters()
        self.queries = operators.Waiters()

    def submit(
        self,
        command: messages.Command,
        reply: operators.OnReply,
        now_ms: int,
    ) -> None:
        """Pass a command on."""
        until_ms = (
            now_ms + operators.COMMAND_TIMEOUT_MS + operators.RETRY_AFTER_MS
        )
        request = messages.CommandRequest(command, 0)
        if self.commands.add(command.command_id, request, reply, until_ms):
            self._send(request)

    def ask(
        self, query: messages.Query, reply: operators.OnReply, now_ms: int
    ) -> None:
        """Pass a query on."""
        until_ms = (
            now_ms + operators.QUERY_TIMEOUT_MS + operators.RETRY_AFTER_MS
        )
        if self.queries.add(query.query_id, query, reply, until_ms):
            self._send(query)

    def _send(self, message: typing.Any) -> None:
        name = self.names[self.at % len(self.names)]
        if not self.tell(name, self.controls[name], message):
            self.at += 1

    def on_reply(self, message: typing.Any) -> None:
        """Give a reply to those who wait for it."""
        match message:
            case messages.CommandReply():
                if message.outcome == messages.Outcome.PENDING:
                    # Its control process may be cut off from the leader.
                    self.at += 1
                found = self.commands.take(message.command_id)
            case messages.QueryReply():
                found = self.queries.take(message.query_id)
            case _:
                found = []
        for waiter in found:
            waiter.reply(message)

    def tick(self, now_ms: int) -> None:
        """Answer those whose control host stays silent."""
        for waiter in self.commands.expired(now_ms):
            self.at += 1
            command_id = waiter.request.command.command_id
            waiter.reply(
                operators.pending(command_id, "no control host answers")
            )
        for waiter in self.queries.expired(now_ms):
            self.at += 1
            waiter.reply(
                messages.QueryReply(
                    waiter.request.query_id, False, "no control host answers"
                )
            )
