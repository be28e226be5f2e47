"""Checks what comes from outside against what frames can hold.

Status reports, documents and orders become part of a process's own state,
which it sends to others. Text that is no Unicode or a number that is too large
is refused where it enters: later, each message with it would fail.
"""

import typing

from trefoil_model import errors
from trefoil_wire import frames
from trefoil_wire import messages

# A frame holds the records of 64 hosts with 64 targets each.
MAX_TARGET_TEXT_BYTES = 256
# A command is sent within a request, an entry of the log and an append. One
# that fits but for these would be in the leader's log and nowhere else, and
# nothing behind it could be agreed on.
ENVELOPE_BYTES = 1024


def checked(record: typing.Any) -> typing.Any:
    """Return a record that was made of what came from outside.

    Raises:
        ProtocolError: No frame can hold it.
    """
    try:
        size = len(frames.pack(record)) + ENVELOPE_BYTES
        frames.check_size(type(record), size)
    except errors.EncodeError as error:
        raise errors.ProtocolError(400, str(error))
    return record


def checked_target(record: messages.TargetRecord) -> messages.TargetRecord:
    """Return the record of a target that announced itself.

    Raises:
        ProtocolError: No frame can hold it, beside those of other targets.
    """
    checked(record)
    for text in (record.name, record.service_name, record.version):
        if len(text.encode()) > MAX_TARGET_TEXT_BYTES:
            raise errors.ProtocolError(400, "a name is too long")
    return record


def can_send(record: typing.Any) -> bool:
    """Return whether frames can hold a record."""
    try:
        checked(record)
    except errors.ProtocolError:
        return False
    return True
