"""Describes what a connection of a caller still owes it."""

from trefoil_model import effects as common

from . import exchanges


def describe(
    connection: exchanges.ServerConnection, request_id_header: bytes
) -> list[common.Note]:
    """Return a log line for each request or answer that is not complete.

    Args:
        connection: The connection.
        request_id_header: Lower-case name of the header with a request's id.
    """
    now_ms = connection.server.clock.now_ms()
    notes = [
        common.Note(
            "request.open",
            {
                "id": exchange.request.field(request_id_header),
                "waits_for": "turn",
                "waited_ms": now_ms - exchange.received_ms,
            },
            "warning",
        )
        for exchange in connection.exchanges
        if not exchange.started
    ]
    if connection.owes_bytes:
        notes.append(_answer_at_risk(connection))
    return notes


def _answer_at_risk(connection: exchanges.ServerConnection) -> common.Note:
    """Return a log line on an answer that may not arrive."""
    stream = connection.stream
    fields = {
        "id": connection.last_request_id,
        "unsent": stream.unsent,
        "unacknowledged": stream.unacknowledged,
        "unread": stream.unread,
        "caller_left": stream.eof_received,
    }
    return common.Note("answer.at_risk", fields, "warning")
