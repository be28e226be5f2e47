"""The configuration's way to this process: held, witnessed, in force.

A revision only ever goes up here. It is held once its whole has been
checked, and put in force in one step when the floor is reached and, at a
seed, when a majority of the domain's seeds hold it.
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


class Distribution:
    """One process's copy of the configuration.

    Args:
        floor: The proof that a restart forgot nothing.
        is_seed: Whether this process witnesses for its failure domain.
        other_seeds: Names of the domain's other seeds.
        control: Whether the agreement publishes here.
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
        "peer_lag_since_ms",
        "last_pull_ms",
        "floor_queried_ms",
        "out",
    )

    def __init__(
        self,
        floor: floors.Floor,
        *,
        is_seed: bool,
        other_seeds: list[str],
        control: bool,
    ) -> None:
        self.floor = floor
        self.is_seed = is_seed
        self.other_seeds = other_seeds
        self.control = control
        self.held = item_store.Items()
        self.held_since_ms = 0
        self.in_force = item_store.Items()
        self.rejected = ""
        self.rejected_revision = 0
        self.peer_held: dict[str, int] = {}
        self.peer_lag_since_ms: dict[str, int] = {}
        self.last_pull_ms: dict[str, int] = {}
        self.floor_queried_ms = 0
        self.out: list[typing.Any] = []

    # Input

    def publish(self, items: item_store.Items, now_ms: int) -> None:
        """Hold what the agreement just made (control processes)."""
        if items.revision > self.held.revision:
            self._hold(items, now_ms)

    def on_delta(
        self, peer: str, delta: messages.ConfigDelta, now_ms: int
    ) -> None:
        """Take a delta from a peer."""
        self._record_peer_revision(peer, delta.revision, now_ms)
        if delta.revision <= max(self.held.revision, self.rejected_revision):
            return
        candidate = self.held.with_delta(delta)
        if candidate is None:
            # The base is ahead of what is held here, or the copies differ:
            # applying it would leave a mixture of two revisions in force.
            self._pull(peer, now_ms, whole=delta.base <= self.held.revision)
            return
        problems = check.find_problems(candidate)
        if problems:
            self.rejected = "; ".join(problems)
            self.rejected_revision = candidate.revision
            self.out.append(
                common.Note(
                    "config.rejected",
                    {"revision": candidate.revision, "why": self.rejected},
                    "error",
                )
            )
            return
        self._hold(candidate, now_ms)

    def on_pull(self, peer: str, pull: messages.ConfigPull) -> None:
        """Give a peer what it lacks."""
        available = self._items_for(peer)
        if available.revision > pull.have or pull.whole:
            base = 0 if pull.whole else pull.have
            self.out.append(common.Send(peer, available.delta_since(base)))
            self.peer_held[peer] = available.revision

    def on_peer_revision(
        self, peer: str, revision: int, digest: int, now_ms: int
    ) -> None:
        """Note what a peer holds, as its heartbeat or notice tells."""
        self._record_peer_revision(peer, revision, now_ms)
        if revision > max(self.held.revision, self.rejected_revision):
            self._pull(peer, now_ms)
        elif revision == self.held.revision and digest:
            if digest != self.held.digest:
                self._pull(peer, now_ms, whole=True)

    def drop_peer(self, peer: str) -> None:
        """Forget what a peer held; its next life may hold less."""
        self.peer_held.pop(peer, None)
        self.peer_lag_since_ms.pop(peer, None)

    def tick(self, links: list[str], now_ms: int) -> None:
        """Repair peers that lag, put in force what is due."""
        for peer in links:
            self._repair(peer, now_ms)
        due_ms = self.floor_queried_ms + FLOOR_QUERY_INTERVAL_MS
        if links and not self.floor.proved and now_ms >= due_ms:
            self.floor_queried_ms = now_ms
            self._query_floor(links)
        self._put_in_force_if_due(now_ms)

    # Floor

    def query_floor_if_unproved(self, peer: str) -> None:
        """Ask a peer at once, if there is still no proof.

        A proxy that waits for its next turn refuses its callers meanwhile.
        """
        if not self.floor.proved:
            self._query_floor([peer])

    def _query_floor(self, links: list[str]) -> None:
        query = messages.FloorQuery(nonce=0, host=self.floor.me)
        for peer in links:
            self.out.append(common.Send(peer, query))

    def confirmed_revision(self) -> int:
        """Return the revision this seed vouches for, -1 for none."""
        if not self.is_seed or not self.floor.proved:
            return -1
        return self.held.revision

    def on_floor_reply(self, reply: messages.FloorReply, now_ms: int) -> None:
        """Take a word about the floor."""
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
                host=self.floor.me, revision=candidate.revision
            )
            for peer in self.other_seeds:
                self.out.append(common.Send(peer, notice))

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
        self.out.append(effects.PutInForce(held))

    def _held_by_majority(self) -> bool:
        """Tell whether a majority of the domain's seeds hold what is held.

        A lone seed that put a revision in force, was cut off with its
        domain and then restarted would come back to an older one. After
        ``WITNESS_MS`` the revision goes in force all the same: with most
        seeds away, callers waiting on it matter more than that rare chain.
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
        """Return what a peer may be given.

        Seeds exchange what they hold, to witness it; everybody else gets
        only what is witnessed and in force.
        """
        between_seeds = self.is_seed and peer in self.other_seeds
        return self.held if between_seeds else self.in_force

    def _record_peer_revision(
        self, peer: str, revision: int, now_ms: int
    ) -> None:
        if revision > self.peer_held.get(peer, 0):
            self.peer_held[peer] = revision
            self._put_in_force_if_due(now_ms)

    def push(self, peers: list[str]) -> None:
        """Send what just came in force to the peers served from here."""
        for peer in peers:
            known = self.peer_held.get(peer)
            if known is None or known >= self.in_force.revision:
                continue
            self.out.append(
                common.Send(peer, self.in_force.delta_since(known))
            )
            self.peer_held[peer] = self.in_force.revision

    def _repair(self, peer: str, now_ms: int) -> None:
        """Push to a peer that has lagged for a while.

        The eager push goes down the tree only; this catches peers whose
        own giver was slow or lost, without sending every change twice.
        """
        available = self._items_for(peer)
        known = self.peer_held.get(peer)
        if known is None or known >= available.revision:
            self.peer_lag_since_ms.pop(peer, None)
            return
        since = self.peer_lag_since_ms.setdefault(peer, now_ms)
        if now_ms - since >= REPAIR_DELAY_MS:
            self.out.append(common.Send(peer, available.delta_since(known)))
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
        self.out.append(common.Send(peer, pull))
