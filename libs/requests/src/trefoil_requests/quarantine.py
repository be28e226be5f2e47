"""Quarantine of requests that crash the targets that run them."""

import dataclasses

from trefoil_wire import messages

CRASHES_ALLOWED = 2
# When a target crashes, its connections break within this time.
CRASH_WINDOW_MS = 50
SOLE_SUSPECT_MS = 600_000
SHARED_SUSPECT_MS = 60_000
MAX_MARKS = 4096


@dataclasses.dataclass(slots=True)
class CrashMark:
    """A crash during which a request was running.

    Args:
        notice_id: Id of the crash's notice.
        began_ms: When the run began.
        crashed_ms: When the target crashed.
        until_ms: When the mark expires.
    """

    notice_id: int
    began_ms: int
    crashed_ms: int
    until_ms: int


class Quarantine:
    """Fingerprints of requests that ran during crashes, shared by the fleet.

    If several requests ran on a target that crashed, each is marked. One that
    did not cause the crash soon succeeds elsewhere, which clears its marks,
    and marks from such a crash expire sooner. The cause never succeeds.

    Targets may also crash together, because of their power or rack, under a
    request that many callers send. A crash therefore counts only if its run
    began after the crash counted before: what runs twice at one moment is
    seen once.
    """

    __slots__ = ("marks", "seen_notices")

    def __init__(self) -> None:
        self.marks: dict[int, list[CrashMark]] = {}
        self.seen_notices: dict[int, int] = {}

    def crashes(self, fingerprint: int, now_ms: int) -> int:
        """Return the number of successive crashes under a request."""
        marks = self.marks.get(fingerprint)
        if not marks:
            return 0
        current = [mark for mark in marks if mark.until_ms > now_ms]
        if current:
            self.marks[fingerprint] = current
        else:
            del self.marks[fingerprint]
        return _successive(current)

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
        crashed_ms = now_ms - notice.age_ms
        # Processes of an older release do not say how long requests had run.
        ran_ms = notice.ran_ms or [0] * len(notice.fingerprints)
        for fingerprint, run_ms in zip(notice.fingerprints, ran_ms):
            mark = CrashMark(
                notice.notice_id,
                crashed_ms - run_ms,
                crashed_ms,
                crashed_ms + duration_ms,
            )
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


def _successive(marks: list[CrashMark]) -> int:
    """Return how many crashes came one after the other.

    A request that is sent again because of a crash begins after its window.
    """
    count = 0
    crashed_ms = 0
    for mark in sorted(marks, key=lambda mark: mark.crashed_ms):
        if not count or mark.began_ms >= crashed_ms + CRASH_WINDOW_MS:
            count += 1
            crashed_ms = mark.crashed_ms
    return count
