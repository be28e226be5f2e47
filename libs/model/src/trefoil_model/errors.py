"""Errors that more than one trefoilroute library raises."""


class TrefoilError(Exception):
    """Base of every error that trefoilroute raises on purpose."""


class FrameError(TrefoilError):
    """A frame between processes is too large, unknown or malformed."""


class StoreDamaged(TrefoilError):
    """A synced record of the store does not read back.

    The process must not vote with what is left: it comes back under a new
    identity as a learner.
    """


class DiskRefused(TrefoilError):
    """The disk did not take a write; nothing of it may be vouched for."""


class ProtocolError(TrefoilError):
    """A caller, target or operator sent something malformed.

    Args:
        status: HTTP status that answers it.
        reason: One line for the sender.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
