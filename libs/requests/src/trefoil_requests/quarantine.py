"""Quarantine of requests that crash the targets that run them."""

import dataclasses

from trefoil_wire import messages

CRASHES_ALLOWED = 2
SOLE_SUSPECT_MS = 600_000
SHARED_SUSPECT_MS = 60_000
MAX_MARKS = 4096


@dataclasses.dataclass(slots=True)
class CrashMark:
    """A crash during which a request was running.

    Args:
        notice_id: Id of the crash's notice.
        until_ms: When the mark expires.
    """

    notice_id: int
    until_ms: int


class Quarantine:
    """Fingerprints of requests that ran during crashes, shared by the fleet.

    If several requests ran on a target that crashed, each is marked. One that
    did not cause the crash soon succeeds elsewhere, which clears its marks,
    and marks from such a crash expire sooner. The cause never succeeds.
    """

    __slots__ = ("marks", "seen_notices")

    def __init__(self) -> None:
        self.marks: dict[int, list[CrashMark]] = {}
        self.seen_notices: dict[int, int] = {}

    def crashes(self, fingerprint: int, now_ms: int) -> int:
        """Return the number of crashes during which a request was running."""
        marks = self.marks.get(fingerprint)
        if not marks:
            return 0
        current = [mark for mark in marks if mark.until_ms > now_ms]
        if current:
            self.marks[fingerprint] = current
        else:
            del self.marks[fingerprint]
        return len(current)

    def refuses(self, fingerprint: int, now_ms: int) -> bool:
        """Return whether a request is quarantined and must not run again."""
        return self.crashes(fingerprint, now_ms) >= CRASHES_ALLOWED

    def receive(self, notice: messages.CrashNotice, now_ms: int) -> bool:
        """Apply a notice; return whether it is new and must be forwarded."""
        if notice.notice_id in self.seen_notices:
            return False
        self._remember(notice.notice_id, now_ms)
        if notice.cleared:
            for fingerprint in notice.fingerprints:
                self.marks.pop(fingerprint, None)
            return True
        sole = len(notice.fingerprints) == 1
        duration_ms = SOLE_SUSPECT_MS if sole else SHARED_SUSPECT_MS
        mark = CrashMark(
            notice.notice_id, now_ms + duration_ms - notice.age_ms
        )
        for fingerprint in notice.fingerprints:
            self.marks.setdefault(fingerprint, []).append(mark)
        while len(self.marks) > MAX_MARKS:
            del self.marks[next(iter(self.marks))]
        return True

    def succeeded(
        self, fingerprint: int, notice_id: int
    ) -> messages.CrashNotice | None:
        """Clear a request that succeeded; return the notice to broadcast."""
        if fingerprint not in self.marks:
            return None
        del self.marks[fingerprint]
        return messages.CrashNotice(
            notice_id=notice_id,
            fingerprints=[fingerprint],
            age_ms=0,
            cleared=True,
        )

    def _remember(self, notice_id: int, now_ms: int) -> None:
        self.seen_notices[notice_id] = now_ms
        while len(self.seen_notices) > MAX_MARKS:
            del self.seen_notices[next(iter(self.seen_notices))]
