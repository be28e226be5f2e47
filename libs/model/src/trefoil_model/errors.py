"""Errors shared by the trefoilroute libraries."""


class TrefoilError(Exception):
    """Base class of all errors that trefoilroute raises itself."""


class FrameError(TrefoilError):
    """A frame is too large, malformed or of an unknown type."""


class EncodeError(TrefoilError):
    """No frame can hold a message: a fault of the process that made it."""


class StoreDamaged(TrefoilError):
    """A synced record of the store cannot be read back.

    The process must not vote with the remaining records: it rejoins as a
    learner under a new identity.
    """


class DiskWriteError(TrefoilError):
    """A write to disk failed; none of its data may be acknowledged."""


class ProtocolError(TrefoilError):
    """A caller, target or operator sent something malformed.

    Args:
        status: HTTP status of the answer.
        reason: One-line explanation for the sender.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
