"""Replicated ledger of idempotency keys for once-only requests.

Each key has up to three replicas, chosen by rendezvous hashing among the hosts
of the service, including those that left recently. A request runs only after
a majority of its replicas has granted the claim, so two proxies cannot both
run it. A replica abstains if it may lack the record of an earlier claim,
because it restarted or because it joined the service and the key had other
replicas before. A claim without a majority is refused, and the answer says
that it is unknown whether the request ran before.
"""

import collections
import dataclasses
import re
import typing

from trefoil_model import hashing
from trefoil_wire import messages

from . import effects
from . import joining
from . import replica_sets

RETENTION_MS = replica_sets.RETENTION_MS
# Callers' clocks may be 10 s ahead, and those of hosts 10 s behind.
MAX_DATE_AHEAD_MS = 20_000
SYNC_INTERVAL_MS = 500
# Hosts that have restarted too cannot confirm keys for minutes, so the
# interval between requests to them grows up to this bound.
MAX_SYNC_INTERVAL_MS = 30_000
# Number of hosts asked first, to detect whether callers send keys at all.
SAMPLE_HOSTS = 3
MAX_ENTRIES = 100_000
MAX_TOTAL_ANSWER_BYTES = 8 * 1024 * 1024
TIMED_KEY = re.compile(r"(\d{13})-.")

GRANTED = 1
TAKEN = 2
ABSTAIN = 3


def key_of(service: str, key: str, account: str = "") -> int:
    """Return the hash under which replicas store a key.

    The same key of two accounts is not the same: one of them would be given
    the answer to the other's request.
    """
    scope = f"{service}\0{account}" if account else service
    return hashing.hash64(f"{scope}\0{key}".encode())


def issued_ms_of(key: str) -> int:
    """Return the time in a key such as ``1764720000000-x81``, or 0.

    The time is in milliseconds since the Unix epoch.
    """
    match = TIMED_KEY.match(key)
    return int(match.group(1)) if match else 0


@dataclasses.dataclass(slots=True)
class ClaimRecord:
    """One claimed key.

    Args:
        claim_id: The claim that was granted.
        fingerprint: Fingerprint of its request.
        granted_at_ms: When it was granted, on the runtime's clock.
        answer: The answer to resends, None until it is known.
        rivals: Other claims that other hosts granted the key to; while there
            are any, it is not known which of them may have run.
    """

    claim_id: int
    fingerprint: int
    granted_at_ms: int
    answer: messages.Answer | None = None
    rivals: set[int] = dataclasses.field(default_factory=set)


class Ledger:
    """The keys that this host stores as a replica.

    Args:
        local_host: Name of this host.
        incarnation: Identifier of this run of the process.
        now_ms: Start of this process on the runtime's clock.
        wall_ms: Start of this process on the wall clock.
    """

    __slots__ = (
        "local_host",
        "incarnation",
        "started_ms",
        "started_wall_ms",
        "replica_sets",
        "records",
        "synced",
        "keys_in_use",
        "sample_pending",
        "sync_pending",
        "sync_at_ms",
        "sync_interval_ms",
        "answer_sizes",
        "answer_bytes",
        "held_claims",
    )

    def __init__(
        self, local_host: str, incarnation: int, now_ms: int, wall_ms: int
    ) -> None:
        self.local_host = local_host
        self.incarnation = incarnation
        self.started_ms = now_ms
        self.started_wall_ms = wall_ms
        self.replica_sets = replica_sets.ReplicaSets(local_host, now_ms)
        self.records: dict[int, ClaimRecord] = {}
        self.synced = False
        self.keys_in_use = False
        self.sample_pending: set[str] = set()
        self.sync_pending: set[str] | None = None
        self.sync_at_ms = 0
        self.sync_interval_ms = SYNC_INTERVAL_MS
        self.answer_sizes: collections.deque[tuple[int, int]] = (
            collections.deque()
        )
        self.answer_bytes = 0
        self.held_claims: list[joining.HeldClaim] = []

    def can_confirm(self, issued_ms: int, now_ms: int) -> bool:
        """Return whether a key with no record was certainly never granted.

        True after a full retention period, after a sync with all other
        hosts, or for a key issued after this process started. No replica
        grants a key that is dated further ahead than ``MAX_DATE_AHEAD_MS``,
        so a key dated that much after the start was never granted before it.
        """
        if issued_ms > self._wall_ms(now_ms) + MAX_DATE_AHEAD_MS:
            return False
        if self.synced or now_ms >= self.started_ms + RETENTION_MS:
            return True
        return issued_ms > self.started_wall_ms + MAX_DATE_AHEAD_MS

    def _wall_ms(self, now_ms: int) -> int:
        return self.started_wall_ms + now_ms - self.started_ms

    def claim(self, claim: messages.Claim, now_ms: int) -> messages.ClaimReply:
        """Grant a claim, report its key as taken, or abstain."""
        record = self._live_record(claim.key, now_ms)
        if record is not None and record.rivals:
            return self._reply(claim, ABSTAIN)
        if record is not None and record.claim_id != claim.claim_id:
            return self._reply(claim, TAKEN, self._answer_for(record, claim))
        if not self._may_grant(claim, now_ms):
            return self._reply(claim, ABSTAIN)
        # A record of this claim may be another replica's grant. Counted here
        # without these checks it would make a majority under a view that an
        # earlier claim did not have, and both would run. The claimant sends
        # each claim once, so no grant of this replica is taken back.
        if record is None:
            self.records[claim.key] = ClaimRecord(
                claim.claim_id, claim.fingerprint, now_ms
            )
        return self._reply(claim, GRANTED)

    def _live_record(self, key: int, now_ms: int) -> ClaimRecord | None:
        """Return the record of a key, None once it has expired."""
        record = self.records.get(key)
        if record is None or now_ms - record.granted_at_ms >= RETENTION_MS:
            return None
        return record

    def _may_grant(self, claim: messages.Claim, now_ms: int) -> bool:
        """Return whether no other claim can have got a majority before."""
        own_set = self.replica_sets.replicas(
            claim.service_name, claim.key, now_ms
        )
        same_view = sorted(own_set) == sorted(claim.keepers or ())
        # A claimant with another view of the hosts could get its majority
        # from other replicas than an earlier claimant.
        if not same_view or not self.can_confirm(claim.issued_ms, now_ms):
            self._note_keys_in_use()
            return False
        # The date of a key does not help here: former replicas may grant it
        # under their view of before the join for as long as they are cut off.
        if self.replica_sets.is_joining(claim.service_name, now_ms):
            return False
        # Members that these replicas do not know yet may grant the key too.
        if self.replica_sets.may_lack_members(
            claim.service_name, own_set, now_ms
        ):
            return False
        self._drop_expired(now_ms)
        # Removing a live key would let its resend run again.
        return len(self.records) < MAX_ENTRIES

    def done(self, done: messages.ClaimDone) -> None:
        """Store the answer of a claim for resends of its request."""
        record = self.records.get(done.key)
        if record is None:
            return
        if done.claim_id in (record.claim_id, *record.rivals):
            record.claim_id = done.claim_id
            record.rivals.clear()
            record.answer = done.answer
            self.answer_sizes.append((done.key, len(done.answer.body or b"")))
            self.answer_bytes += self.answer_sizes[-1][1]
            self._drop_answers()

    def _drop_answers(self) -> None:
        """Drop the oldest answers, not their keys, to bound the memory.

        A resend with such a key is answered as already run, without the
        answer itself.
        """
        while self.answer_bytes > MAX_TOTAL_ANSWER_BYTES:
            key, size = self.answer_sizes.popleft()
            self.answer_bytes -= size
            if key in self.records:
                self.records[key].answer = None

    def release(self, release: messages.ClaimRelease) -> None:
        """Remove a claim whose request certainly did not run."""
        self.held_claims = [
            held
            for held in self.held_claims
            if held.claim.claim_id != release.claim_id
        ]
        record = self.records.get(release.key)
        if record is None:
            return
        if record.claim_id != release.claim_id:
            record.rivals.discard(release.claim_id)
        elif record.rivals:
            record.claim_id = record.rivals.pop()
        else:
            del self.records[release.key]

    # Recovery after a restart

    def tick(self, now_ms: int, ready: bool) -> list[str]:
        """Return the hosts to pull the ledger from now.

        After a start only a few hosts are asked, and all of them once keys
        are known to be in use. Otherwise, after a restart of the whole fleet,
        each host would ask every other one until some host has run long enough
        to confirm keys.

        Args:
            now_ms: The time on the runtime's clock.
            ready: Whether a configuration is in force in this process.
        """
        if self.synced or not ready or now_ms < self.sync_at_ms:
            return []
        if self.sync_pending is None:
            self.sync_pending = self._other_hosts()
            ranked = hashing.rank(self.local_host, self.sync_pending)
            self.sample_pending = set(ranked[:SAMPLE_HOSTS])
        asked = self.sync_pending if self.keys_in_use else self.sample_pending
        self.sync_at_ms = now_ms + self.sync_interval_ms
        if asked:
            interval_ms = 2 * self.sync_interval_ms
            self.sync_interval_ms = min(interval_ms, MAX_SYNC_INTERVAL_MS)
        return sorted(asked)

    def receive_claim(
        self, origin: str, claim: messages.Claim, now_ms: int
    ) -> list[typing.Any]:
        """Reply to a claim, once this host has caught up where it joined.

        Without the wait, the first callers after each join would be refused.

        Args:
            origin: Address of the claimant.
            claim: The claim.
            now_ms: The time on the runtime's clock.
        """
        if not self.replica_sets.is_joining(claim.service_name, now_ms):
            reply = self.claim(claim, now_ms)
            return [joining.ReplyToClaim(origin, reply)]
        until_ms = now_ms + joining.MAX_HOLD_MS
        self.held_claims.append(joining.HeldClaim(origin, claim, until_ms))
        self.replica_sets.joins[claim.service_name].is_needed = True
        return self.join_pulls(now_ms)

    def reply_to_held(self, now_ms: int) -> list[joining.ReplyToClaim]:
        """Return the replies to claims that need not wait any more."""
        held, self.held_claims = self.held_claims, []
        replies = []
        for waiting in held:
            service = waiting.claim.service_name
            is_joining = self.replica_sets.is_joining(service, now_ms)
            if is_joining and now_ms < waiting.until_ms:
                self.held_claims.append(waiting)
                continue
            reply = self.claim(waiting.claim, now_ms)
            replies.append(joining.ReplyToClaim(waiting.origin, reply))
        return replies

    def join_pulls(self, now_ms: int) -> list[effects.Send]:
        """Return the pulls for the services that this host has joined.

        They begin with the first claim that this host cannot confirm: where
        nobody sends keys, a start of the whole fleet costs no messages.
        """
        pulls = []
        for service in list(self.replica_sets.joins):
            if not self.replica_sets.is_joining(service, now_ms):
                continue
            asked = self.replica_sets.joins[service].ask(now_ms)
            if asked:
                pull = self._join_pull(service, now_ms)
                pulls += [effects.Send(host, "", pull) for host in asked]
        return pulls

    def _join_pull(self, service: str, now_ms: int) -> messages.LedgerPull:
        members = self.replica_sets.members(service, now_ms)
        return messages.LedgerPull(
            self.local_host, self.incarnation, service, sorted(members)
        )

    def _note_keys_in_use(self) -> None:
        """Record that callers send keys, so that all hosts are asked."""
        if not self.keys_in_use:
            self.keys_in_use = True
            self.sync_at_ms = 0
            self.sync_interval_ms = SYNC_INTERVAL_MS

    def _other_hosts(self) -> set[str]:
        hosts_to_ask: set[str] = set()
        for hosts in self.replica_sets.hosts.values():
            hosts_to_ask |= hosts
        hosts_to_ask.discard(self.local_host)
        return hosts_to_ask

    def pull(
        self, pull: messages.LedgerPull, now_ms: int
    ) -> messages.LedgerPush:
        """Return the live records for a replica that restarted."""
        entries = [
            messages.LedgerEntry(
                key=key,
                claim_id=record.claim_id,
                fingerprint=record.fingerprint,
                age_ms=now_ms - record.granted_at_ms,
                answer=record.answer,
            )
            for key, record in self.records.items()
            if now_ms - record.granted_at_ms < RETENTION_MS
        ]
        push = messages.LedgerPush(
            self.local_host, entries, self.can_confirm(0, now_ms)
        )
        push.knows_members = False
        if pull.service_name:
            members = self.replica_sets.members(pull.service_name, now_ms)
            push.service_name = pull.service_name
            push.knows_members = members.issuperset(pull.members or ())
        return push

    def push(self, push: messages.LedgerPush, now_ms: int) -> None:
        """Add the records that another host sent."""
        if push.entries:
            self._note_keys_in_use()
        self.sample_pending.discard(push.host)
        for entry in push.entries or ():
            self._add_record(entry, now_ms)
        self._note_caught_up(push)
        if push.complete and self.sync_pending is not None:
            self.sync_pending.discard(push.host)
            # A host that has no other to ask is never synced: no other host
            # can confirm its records.
            self.synced = not self.sync_pending

    def _note_caught_up(self, push: messages.LedgerPush) -> None:
        """Record that a former replica has sent what it granted."""
        if push.knows_members is None:
            # A process of an older release does not say which members it
            # sees. Without this, keyed requests would be refused for as long
            # as a rolling upgrade lasts.
            for join in self.replica_sets.joins.values():
                join.pending.discard(push.host)
            return
        join = self.replica_sets.joins.get(push.service_name or "")
        if join is not None and push.knows_members:
            join.pending.discard(push.host)
            if push.complete:
                join.settled.add(push.host)

    def _add_record(self, entry: messages.LedgerEntry, now_ms: int) -> None:
        """Add a record of another host.

        A retry may have got a single grant where its first attempt was lost.
        If that grant arrives before those of the first attempt, it must not
        hide them.
        """
        known = self.records.get(entry.key)
        if known is not None and known.claim_id == entry.claim_id:
            return
        if known is not None and entry.answer is None:
            if known.answer is None:
                known.rivals.add(entry.claim_id)
            return
        self.records[entry.key] = ClaimRecord(
            entry.claim_id,
            entry.fingerprint,
            now_ms - entry.age_ms,
            entry.answer,
        )

    def _reply(
        self,
        claim: messages.Claim,
        verdict: int,
        answer: messages.Answer | None = None,
    ) -> messages.ClaimReply:
        return messages.ClaimReply(
            claim.claim_id, verdict, answer, self.local_host
        )

    def _answer_for(
        self, record: ClaimRecord, claim: messages.Claim
    ) -> messages.Answer | None:
        if record.answer is None or record.fingerprint != claim.fingerprint:
            return None
        return record.answer

    def _drop_expired(self, now_ms: int) -> None:
        """Drop the records past their retention period, never a live key."""
        while self.records:
            key, record = next(iter(self.records.items()))
            if now_ms - record.granted_at_ms < RETENTION_MS:
                break
            del self.records[key]
