"""The ledger that lets a once-only request with a key run at most once.

Each key has up to three keepers: the best by rendezvous hash among the hosts
of the service, those that went away lately included. A request runs only
once a majority of its keepers granted the claim, so two proxies can't both
get it. A keeper that may have forgotten the key, because it restarted or
because the key was another's, abstains; a claim without a majority is
refused with the truth: it is not known whether the key ran before.
"""

import collections
import dataclasses
import re
import typing

from trefoil_model import effects as common
from trefoil_model import hashing
from trefoil_wire import messages

from . import effects

KEEPERS = 3
KEEP_MS = 600_000
SKEW_MS = 5000
SYNC_PAUSE_MS = 500
# Hosts that restarted themselves can't vouch for minutes; asking them goes on
# ever less often.
SYNC_PAUSE_MAX_MS = 30_000
# Asked first, to learn whether callers send keys at all.
SAMPLE = 3
MAX_ENTRIES = 100_000
MAX_ANSWER_BYTES = 8192
MAX_ANSWERS_BYTES = 8 * 1024 * 1024
TIMED_KEY = re.compile(r"(\d{13})-.")

GRANTED = 1
TAKEN = 2
ABSTAIN = 3


def key_of(service: str, key: str) -> int:
    """Return the number under which keepers know a key."""
    return hashing.hash64(f"{service}\0{key}".encode())


def issued_ms_of(key: str) -> int:
    """Return the time in a key such as ``1764720000000-x81``, else 0."""
    found = TIMED_KEY.match(key)
    return int(found.group(1)) if found else 0


class KeeperSets:
    """The hosts of each service, with those that left lately."""

    __slots__ = ("hosts", "gone")

    def __init__(self) -> None:
        self.hosts: dict[str, set[str]] = {}
        self.gone: dict[tuple[str, str], int] = {}

    def update(
        self, hosts_of: typing.Mapping[str, list[str]], now_ms: int
    ) -> None:
        """Take in which hosts have targets of which service."""
        for service in set(self.hosts) | set(hosts_of):
            new = set(hosts_of.get(service, ()))
            for host in self.hosts.get(service, set()) - new:
                self.gone[(service, host)] = now_ms + KEEP_MS
            for host in new:
                self.gone.pop((service, host), None)
            self.hosts[service] = new

    def keepers(self, service: str, key: int, now_ms: int) -> list[str]:
        """Return a key's keepers, best first."""
        late = {
            host
            for (name, host), until_ms in self.gone.items()
            if name == service and until_ms > now_ms
        }
        pool = self.hosts.get(service, set()) | late
        return list(hashing.rank(str(key), pool)[:KEEPERS])


@dataclasses.dataclass(slots=True)
class Kept:
    """One claimed key."""

    claim_id: int
    fingerprint: int
    at_ms: int
    answer: messages.Answer | None = None


class Ledger:
    """The keys that this host keeps.

    Args:
        me: Name of this host.
        incarnation: This process's life.
        now_ms: Its start on the runtime's clock.
        wall_ms: Its start on the wall clock.
    """

    __slots__ = (
        "me",
        "incarnation",
        "started_ms",
        "started_wall_ms",
        "sets",
        "kept",
        "synced",
        "in_use",
        "unheard",
        "sync_wanted",
        "sync_at_ms",
        "sync_pause_ms",
        "answers",
        "answer_bytes",
    )

    def __init__(
        self, me: str, incarnation: int, now_ms: int, wall_ms: int
    ) -> None:
        self.me = me
        self.incarnation = incarnation
        self.started_ms = now_ms
        self.started_wall_ms = wall_ms
        self.sets = KeeperSets()
        self.kept: dict[int, Kept] = {}
        self.synced = False
        self.in_use = False
        self.unheard: set[str] = set()
        self.sync_wanted: set[str] | None = None
        self.sync_at_ms = 0
        self.sync_pause_ms = SYNC_PAUSE_MS
        self.answers: collections.deque[tuple[int, int]] = collections.deque()
        self.answer_bytes = 0

    def vouches(self, issued_ms: int, now_ms: int) -> bool:
        """Tell whether a key unknown here was certainly never granted here.

        True after a whole keeping time, after a sync with every other
        keeper, or for a key issued after this process started.
        """
        if self.synced or now_ms >= self.started_ms + KEEP_MS:
            return True
        return issued_ms > self.started_wall_ms + SKEW_MS

    def claim(self, claim: messages.Claim, now_ms: int) -> messages.ClaimReply:
        """Grant a key, or say that it is taken or can't be known."""
        kept = self.kept.get(claim.key)
        if kept is not None and now_ms - kept.at_ms < KEEP_MS:
            if kept.claim_id == claim.claim_id:
                return self._reply(claim, GRANTED)
            return self._reply(claim, TAKEN, self._answer_for(kept, claim))
        own_set = self.sets.keepers(claim.service_name, claim.key, now_ms)
        same_view = sorted(own_set) == sorted(claim.keepers or ())
        # A claimant with another view of the hosts could gather its
        # majority from other keepers than the claimant before it.
        if not same_view or not self.vouches(claim.issued_ms, now_ms):
            self._note_in_use()
            return self._reply(claim, ABSTAIN)
        self._drop_old(now_ms)
        if len(self.kept) >= MAX_ENTRIES:
            # Dropping a live key would let its resend run again.
            return self._reply(claim, ABSTAIN)
        self.kept[claim.key] = Kept(claim.claim_id, claim.fingerprint, now_ms)
        return self._reply(claim, GRANTED)

    def done(self, done: messages.ClaimDone) -> None:
        """Keep the answer of a claim, to give it to resends."""
        kept = self.kept.get(done.key)
        if kept is not None and kept.claim_id == done.claim_id:
            kept.answer = done.answer
            self.answers.append((done.key, len(done.answer.body or b"")))
            self.answer_bytes += self.answers[-1][1]
            self._drop_answers()

    def _drop_answers(self) -> None:
        """Drop the oldest answers, not their keys, to bound the memory.

        A resend of such a key is told that it ran, without the answer.
        """
        while self.answer_bytes > MAX_ANSWERS_BYTES:
            key, size = self.answers.popleft()
            self.answer_bytes -= size
            if key in self.kept:
                self.kept[key].answer = None

    def release(self, release: messages.ClaimRelease) -> None:
        """Drop a claim whose request certainly did not run."""
        kept = self.kept.get(release.key)
        if kept is not None and kept.claim_id == release.claim_id:
            del self.kept[release.key]

    # Coming back after a restart

    def tick(self, now_ms: int, ready: bool) -> list[str]:
        """Return the hosts to pull the ledger from now.

        A few are asked after each start; all of them only once keys are seen
        to be in use. Else each host of a fleet would ask each other one for
        as long as none has lived long enough to vouch.
        """
        if self.synced or not ready or now_ms < self.sync_at_ms:
            return []
        if self.sync_wanted is None:
            self.sync_wanted = self._sharers()
            ranked = hashing.rank(self.me, self.sync_wanted)
            self.unheard = set(ranked[:SAMPLE])
        asked = self.sync_wanted if self.in_use else self.unheard
        self.sync_at_ms = now_ms + self.sync_pause_ms
        if asked:
            pause_ms = 2 * self.sync_pause_ms
            self.sync_pause_ms = min(pause_ms, SYNC_PAUSE_MAX_MS)
        return sorted(asked)

    def _note_in_use(self) -> None:
        """Note that callers send keys, so that all keepers matter."""
        if not self.in_use:
            self.in_use = True
            self.sync_at_ms = 0
            self.sync_pause_ms = SYNC_PAUSE_MS

    def _sharers(self) -> set[str]:
        found: set[str] = set()
        for hosts in self.sets.hosts.values():
            found |= hosts
        found.discard(self.me)
        return found

    def pull(
        self, pull: messages.LedgerPull, now_ms: int
    ) -> messages.LedgerPush:
        """Return what another keeper lost."""
        entries = [
            messages.LedgerEntry(
                key=key,
                claim_id=kept.claim_id,
                fingerprint=kept.fingerprint,
                age_ms=now_ms - kept.at_ms,
                answer=kept.answer,
            )
            for key, kept in self.kept.items()
            if now_ms - kept.at_ms < KEEP_MS
        ]
        complete = self.vouches(0, now_ms)
        return messages.LedgerPush(self.me, entries, complete)

    def push(self, push: messages.LedgerPush, now_ms: int) -> None:
        """Take back what another keeper held."""
        if push.entries:
            self._note_in_use()
        self.unheard.discard(push.host)
        for entry in push.entries or ():
            if entry.key not in self.kept:
                self.kept[entry.key] = Kept(
                    entry.claim_id,
                    entry.fingerprint,
                    now_ms - entry.age_ms,
                    entry.answer,
                )
        if push.complete and self.sync_wanted is not None:
            self.sync_wanted.discard(push.host)
            # With nobody else to ask there is no proof, only silence.
            self.synced = not self.sync_wanted

    def _reply(
        self,
        claim: messages.Claim,
        verdict: int,
        answer: messages.Answer | None = None,
    ) -> messages.ClaimReply:
        return messages.ClaimReply(claim.claim_id, verdict, answer, self.me)

    def _answer_for(
        self, kept: Kept, claim: messages.Claim
    ) -> messages.Answer | None:
        if kept.answer is None or kept.fingerprint != claim.fingerprint:
            return None
        return kept.answer

    def _drop_old(self, now_ms: int) -> None:
        """Drop what is past its keeping time; never a live key."""
        while self.kept:
            key, kept = next(iter(self.kept.items()))
            if now_ms - kept.at_ms < KEEP_MS:
                break
            del self.kept[key]


@dataclasses.dataclass(slots=True)
class Pending:
    """A claim that waits for its keepers."""

    call_id: int
    claim: messages.Claim
    deadline_at_ms: int
    grants: set[str] = dataclasses.field(default_factory=set)
    replies: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Won:
    """The call may run, once."""

    call_id: int


@dataclasses.dataclass(slots=True)
class Ran:
    """The key was used before; its answer, if it is kept."""

    call_id: int
    answer: messages.Answer | None


@dataclasses.dataclass(slots=True)
class Unknown:
    """It can't be known whether the key was used before."""

    call_id: int


CLAIM_MS = 400


class Claims:
    """The claims that this proxy makes for its callers."""

    __slots__ = ("pending",)

    def __init__(self) -> None:
        self.pending: dict[int, Pending] = {}

    def begin(
        self, call_id: int, claim: messages.Claim, now_ms: int
    ) -> list[typing.Any]:
        """Ask the keepers of a key."""
        self.pending[claim.claim_id] = Pending(
            call_id, claim, now_ms + CLAIM_MS
        )
        if not claim.keepers:
            del self.pending[claim.claim_id]
            return [Unknown(call_id)]
        return [effects.Send(host, "", claim) for host in claim.keepers]

    def hear(self, reply: messages.ClaimReply) -> list[typing.Any]:
        """Take a keeper's reply."""
        pending = self.pending.get(reply.claim_id)
        if pending is None or reply.host not in pending.claim.keepers:
            return []
        if reply.verdict == TAKEN:
            del self.pending[reply.claim_id]
            given_back = self._release(pending)
            return given_back + [Ran(pending.call_id, reply.answer)]
        pending.replies.add(reply.host)
        if reply.verdict == GRANTED:
            pending.grants.add(reply.host)
        majority = len(pending.claim.keepers) // 2 + 1
        if len(pending.grants) >= majority:
            del self.pending[reply.claim_id]
            return [Won(pending.call_id)]
        if len(pending.replies) == len(pending.claim.keepers):
            return self._give_up(pending)
        return []

    def tick(self, now_ms: int) -> list[typing.Any]:
        """Give up claims whose keepers don't answer."""
        out: list[typing.Any] = []
        for pending in list(self.pending.values()):
            if now_ms >= pending.deadline_at_ms:
                out.extend(self._give_up(pending))
        return out

    def drop(self, call_id: int) -> list[typing.Any]:
        """Take back the claim of a call that is over."""
        for pending in list(self.pending.values()):
            if pending.call_id == call_id:
                del self.pending[pending.claim.claim_id]
                return self._release(pending)
        return []

    def _give_up(self, pending: Pending) -> list[typing.Any]:
        self.pending.pop(pending.claim.claim_id, None)
        return self._release(pending) + [Unknown(pending.call_id)]

    def _release(self, pending: Pending) -> list[typing.Any]:
        return release(pending.claim)


def release(claim: messages.Claim) -> list[typing.Any]:
    """Return the messages that give a claim back."""
    message = messages.ClaimRelease(claim.key, claim.claim_id)
    return [effects.Send(host, "", message) for host in claim.keepers]


def settle(claim: messages.Claim, answer: messages.Answer) -> list[typing.Any]:
    """Return the messages that leave an answer with the keepers."""
    body = answer.body or b""
    kept = answer if len(body) <= MAX_ANSWER_BYTES else None
    if kept is None:
        return [common.Count("ledger.answer_too_large")]
    done = messages.ClaimDone(claim.key, claim.claim_id, kept)
    return [effects.Send(host, "", done) for host in claim.keepers]
