"""Decides whether a request may be served by the key that it carries."""

import dataclasses
import enum

from trefoil_wire import messages

from . import directory as directories
from . import key_lease

UNAUTHORIZED = 401
UNAVAILABLE = 503
# A proxy whose lease has ended asks the control hosts several times a second.
RETRY_AFTER_MS = 500


class Denial(enum.StrEnum):
    """Why a request is not served."""

    NO_KEY = "no key"
    UNKNOWN_KEY = "no account holds this key"
    UNCONFIRMED = "the keys in force can't be confirmed now"


@dataclasses.dataclass(slots=True, frozen=True)
class Allowed:
    """The request may be served.

    Args:
        account: The caller's account, None on an open route without a key.
    """

    account: messages.Account | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Denied:
    """The request is not served.

    Args:
        status: HTTP status of the answer.
        denial: The reason.
        retry_after_ms: When the caller may come back, 0 for no advice.
    """

    status: int
    denial: Denial
    retry_after_ms: int = 0


class Access:
    """Checks the keys of requests at one proxy.

    Args:
        lease: The lease on the keys that this proxy knows.
    """

    __slots__ = ("lease", "directory", "denials")

    def __init__(self, lease: key_lease.KeyLease) -> None:
        self.lease = lease
        self.directory = directories.Directory()
        self.denials = dict.fromkeys(Denial, 0)

    def put_in_force(
        self, directory: directories.Directory, revision: int
    ) -> None:
        """Check keys by the accounts of a new configuration."""
        self.directory = directory
        self.lease.put_in_force(revision)

    @property
    def is_starting(self) -> bool:
        """Return whether the first lease since the start is still to come."""
        return self.directory.keys_required and self.lease.is_first

    def check(
        self, key: str, open_route: bool, at_ms: int
    ) -> Allowed | Denied:
        """Return whether a request may be served.

        Args:
            key: Its key, empty without one.
            open_route: Whether its route needs no key.
            at_ms: When it was read, on the clock of the lease.
        """
        if not self.directory.keys_required:
            return Allowed()
        if not key and open_route:
            return Allowed()
        if not self.lease.is_valid(at_ms):
            # The key may have been added or taken away since.
            return self._deny(UNAVAILABLE, Denial.UNCONFIRMED, RETRY_AFTER_MS)
        if not key:
            return self._deny(UNAUTHORIZED, Denial.NO_KEY)
        account = self.directory.find(key)
        if account is None:
            return self._deny(UNAUTHORIZED, Denial.UNKNOWN_KEY)
        return Allowed(account)

    def _deny(
        self, status: int, denial: Denial, retry_after_ms: int = 0
    ) -> Denied:
        self.denials[denial] += 1
        return Denied(status, denial, retry_after_ms)
