"""Distribution of the configuration to this process.

The revision of a process never decreases. A new revision is first held,
once it has been validated as a whole. It is put in force in one step when it
is at or above the floor and, at a seed, when a majority of the domain's
seeds hold it.
"""

import typing

from trefoil_model import effects as common
from trefoil_wire import messages

from . import check
from . import effects
from . import floor as floors
from . import items as item_store

MAJORITY_WAIT_MS = 1000
REPAIR_DELAY_MS = 500
PULL_INTERVAL_MS = 300
FLOOR_QUERY_INTERVAL_MS = 400
# Longer than an election and a transfer of the configuration after a restart.
WAIT_NOTE_INTERVAL_MS = 3000


class Distribution:
    """One process's copy of the configuration.

    Args:
        floor: The minimum revision that may be in force, and its proof.
        is_seed: Whether this process is a seed of its failure domain, and
            confirms the revisions it holds.
        other_seeds: Names of the domain's other seeds.
        control: Whether this is a control process, which gets the
            configuration from Raft.
        floor_nonce: Number of this process's floor queries, not 0. Replies to
            another number answer a process that ran here before: the floor
            that they prove may be older than what it put in force since.

    ``newest_named`` is the newest revision that any peer has named.
    """

    __slots__ = (
        "floor",
        "is_seed",
        "other_seeds",
        "control",
        "held",
        "held_since_ms",
        "in_force",
        "rejected",
        "rejected_revision",
        "peer_held",
        "newest_named",
        "peer_lag_since_ms",
        "last_pull_ms",
        "floor_nonce",
        "floor_queried_ms",
        "wait_noted_ms",
        "pending_effects",
    )

    def __init__(
        self,
        floor: floors.Floor,
        *,
        is_seed: bool,
        other_seeds: list[str],
        control: bool,
        floor_nonce: int,
    ) -> None:
        self.floor = floor
        self.floor_nonce = floor_nonce
        self.is_seed = is_seed
        self.other_seeds = other_seeds
        self.control = control
        self.held = item_store.Items()
        self.held_since_ms = 0
        self.in_force = item_store.Items()
        self.rejected = ""
        self.rejected_revision = 0
        self.peer_held: dict[str, int] = {}
        self.newest_named = 0
        self.peer_lag_since_ms: dict[str, int] = {}
        self.last_pull_ms: dict[str, int] = {}
        self.floor_queried_ms = 0
        self.wait_noted_ms = 0
        self.pending_effects: list[typing.Any] = []

    # Input

    def publish(self, items: item_store.Items, now_ms: int) -> None:
        """Hold a revision that Raft just committed (control processes)."""
        if items.revision > self.held.revision:
            self._hold(items, now_ms)

    def on_delta(
        self, peer: str, delta: messages.ConfigDelta, now_ms: int
    ) -> None:
        """Hold the revision in a delta from a peer, if it is valid."""
        self._record_peer_revision(peer, delta.revision, now_ms)
        if delta.revision <= max(self.held.revision, self.rejected_revision):
            return
        candidate = self.held.with_delta(delta)
        if candidate is None:
            # The delta's base is ahead of the revision held here, or the two
            # copies differ. Applying it would put a mixture of two revisions
            # in force.
            self._pull(peer, now_ms, whole=delta.base <= self.held.revision)
            return
        problems = check.find_problems(candidate)
        if problems:
            self.rejected = "; ".join(problems)
            self.rejected_revision = candidate.revision
            self.pending_effects.append(
                common.Note(
                    "config.rejected",
                    {"revision": candidate.revision, "why": self.rejected},
                    "error",
                )
            )
            return
        self._hold(candidate, now_ms)

    def on_pull(self, peer: str, pull: messages.ConfigPull) -> None:
        """Send a peer the items that it lacks."""
        available = self._items_for(peer)
        if available.revision > pull.have or pull.whole:
            base = 0 if pull.whole else pull.have
            self.pending_effects.append(
                common.Send(peer, available.delta_since(base))
            )
            self.peer_held[peer] = available.revision

    def on_peer_revision(
        self, peer: str, revision: int, digest: int, now_ms: int
    ) -> None:
        """Record the revision that a peer reports, and pull if it is newer.

        Args:
            peer: Name of the peer.
            revision: The revision in its heartbeat or notice.
            digest: Digest of the configuration it holds, 0 if not given.
            now_ms: The time on the runtime's clock.
        """
        self._record_peer_revision(peer, revision, now_ms)
        if revision > max(self.held.revision, self.rejected_revision):
            self._pull(peer, now_ms)
        elif revision == self.held.revision and digest:
            if digest != self.held.digest:
                self._pull(peer, now_ms, whole=True)

    def add_peer(self, peer: str, revision: int) -> None:
        """Record the revision that a newly linked peer holds."""
        self.peer_held[peer] = revision
        self.newest_named = max(self.newest_named, revision)

    def drop_peer(self, peer: str) -> None:
        """Remove a peer's revision; a restarted peer may hold an older one."""
        self.peer_held.pop(peer, None)
        self.peer_lag_since_ms.pop(peer, None)

    def tick(self, links: list[str], now_ms: int) -> None:
        """Repair peers, query the floor and put a due revision in force.

        Args:
            links: Names of the linked peers.
            now_ms: The time on the runtime's clock.
        """
        for peer in links:
            self._repair(peer, now_ms)
        due_ms = self.floor_queried_ms + FLOOR_QUERY_INTERVAL_MS
        if links and not self.floor_reached and now_ms >= due_ms:
            self.floor_queried_ms = now_ms
            self._query_floor(links)
        self._put_in_force_if_due(now_ms)
        self._note_wait(now_ms)

    def _note_wait(self, now_ms: int) -> None:
        """Log which revision this process waits for before it can serve."""
        waiting = not self.control and not self.in_force.revision
        if not self.wait_noted_ms or not waiting:
            self.wait_noted_ms = now_ms
        if now_ms < self.wait_noted_ms + WAIT_NOTE_INTERVAL_MS:
            return
        self.wait_noted_ms = now_ms
        floor = self.floor
        fields = {
            "floor": floor.revision if floor.proved else None,
            "given_by": ",".join(floor.given_by),
            "newest": self.held.revision,
        }
        note = common.Note("config.waiting", fields, "warning")
        self.pending_effects.append(note)

    # Floor

    @property
    def floor_reached(self) -> bool:
        """Return whether the revision in force reaches the floor."""
        return self.floor.reached_by(self.in_force.revision)

    def query_floor_if_needed(self, peer: str) -> None:
        """Query a peer immediately unless the floor is reached.

        Until then a proxy refuses its callers, so it does not wait for the
        next regular query.
        """
        if not self.floor_reached:
            self._query_floor([peer])

    def _query_floor(self, links: list[str]) -> None:
        query = messages.FloorQuery(self.floor_nonce, self.floor.local_host)
        for peer in links:
            self.pending_effects.append(common.Send(peer, query))

    def confirmed_revision(self) -> int:
        """Return the revision that this seed confirms, -1 for none.

        A seed whose floor is proved may not hold that revision yet. If it
        confirmed the older one that it holds, a proxy that restarts as well
        could return to it.
        """
        if not self.is_seed or not self.floor.proved:
            return -1
        return max(self.held.revision, self.floor.revision)

    def on_floor_reply(self, reply: messages.FloorReply, now_ms: int) -> None:
        """Add a reply to one of this process's floor queries."""
        if self.floor_reached:
            return
        self.floor.add_reply(
            reply.host, reply.revision, reply.certain, reply.voters or ()
        )
        self._put_in_force_if_due(now_ms)

    # Holding and putting in force

    def _hold(self, candidate: item_store.Items, now_ms: int) -> None:
        self.held = candidate
        self.held_since_ms = now_ms
        self._put_in_force_if_due(now_ms)
        if self.is_seed and self.in_force.revision < candidate.revision:
            notice = messages.HeldNotice(
                host=self.floor.local_host, revision=candidate.revision
            )
            for peer in self.other_seeds:
                self.pending_effects.append(common.Send(peer, notice))

    def _put_in_force_if_due(self, now_ms: int) -> None:
        held = self.held
        if held.revision <= self.in_force.revision:
            return
        if not self.floor.reached_by(held.revision):
            return
        if (
            not self._held_by_majority()
            and now_ms < self.held_since_ms + MAJORITY_WAIT_MS
        ):
            return
        self.in_force = held
        self.rejected = ""
        self.pending_effects.append(effects.PutInForce(held))

    def _held_by_majority(self) -> bool:
        """Return whether a majority of the domain's seeds hold the revision.

        Suppose a lone seed put a revision in force, was cut off with its
        domain and then restarted: it would return to an older one. After
        ``MAJORITY_WAIT_MS`` the revision is put in force without a majority:
        when most seeds are down, callers that wait for it matter more than
        that rare sequence of faults.
        """
        if not self.is_seed:
            return True
        holding = 1 + sum(
            1
            for peer in self.other_seeds
            if self.peer_held.get(peer, 0) >= self.held.revision
        )
        return holding > (len(self.other_seeds) + 1) // 2

    # Peers

    def _items_for(self, peer: str) -> item_store.Items:
        """Return the configuration that a peer may be sent.

        Seeds send each other the revision they hold, so that a majority can
        hold it. All other peers get only the revision in force.
        """
        between_seeds = self.is_seed and peer in self.other_seeds
        return self.held if between_seeds else self.in_force

    def _record_peer_revision(
        self, peer: str, revision: int, now_ms: int
    ) -> None:
        self.newest_named = max(self.newest_named, revision)
        if revision > self.peer_held.get(peer, 0):
            self.peer_held[peer] = revision
            self._put_in_force_if_due(now_ms)

    def push(self, peers: list[str]) -> None:
        """Send the revision just put in force to peers with an older one."""
        for peer in peers:
            known = self.peer_held.get(peer)
            if known is None or known >= self.in_force.revision:
                continue
            self.pending_effects.append(
                common.Send(peer, self.in_force.delta_since(known))
            )
            self.peer_held[peer] = self.in_force.revision

    def _repair(self, peer: str, now_ms: int) -> None:
        """Send a delta to a peer that has lagged for ``REPAIR_DELAY_MS``.

        ``push`` sends only down the tree. This reaches peers whose own
        uplink was slow or failed, without sending every change twice.
        """
        available = self._items_for(peer)
        known = self.peer_held.get(peer)
        if known is None or known >= available.revision:
            self.peer_lag_since_ms.pop(peer, None)
            return
        since = self.peer_lag_since_ms.setdefault(peer, now_ms)
        if now_ms - since >= REPAIR_DELAY_MS:
            self.pending_effects.append(
                common.Send(peer, available.delta_since(known))
            )
            self.peer_lag_since_ms[peer] = now_ms

    def _pull(self, peer: str, now_ms: int, *, whole: bool = False) -> None:
        if self.control:
            return
        if (
            now_ms
            < self.last_pull_ms.get(peer, -PULL_INTERVAL_MS) + PULL_INTERVAL_MS
        ):
            return
        self.last_pull_ms[peer] = now_ms
        have = 0 if whole else self.held.revision
        pull = messages.ConfigPull(have=have, whole=whole)
        self.pending_effects.append(common.Send(peer, pull))
