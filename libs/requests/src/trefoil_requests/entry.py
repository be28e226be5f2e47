"""The entry core: handles a caller's request until its final answer.

It chooses the route, version and target, claims the idempotency key of a
once-only request, retries where that is safe, and gives every call exactly one
final answer. It performs no input or output itself.
"""

import random
import typing

from trefoil_accounts import access as accesses
from trefoil_accounts import account_tokens
from trefoil_accounts import key_lease
from trefoil_fleet import records as record_store
from trefoil_model import effects as common
from trefoil_wire import messages

from . import attribution
from . import budget
from . import call as calls
from . import claims as claiming
from . import effects
from . import incoming as incoming_calls
from . import ledger as ledgers
from . import live as live_calls
from . import observing
from . import patience as original_deadlines
from . import placing as placements
from . import quarantine as quarantines
from . import retry_budgets as budgets
from . import routing

# A safe request that takes this many times its route's usual run time is sent
# to a second target: its answer is probably lost, or its target slow. In
# normal operation this applies to one request in thirty.
HEDGE_FACTOR = 3.0
MIN_HEDGE_WAIT_US = 50_000
# Refusals by targets' proxies cost no run and no retry budget, but each costs
# its caller a round trip.
MAX_PLACEMENTS = 5
NO_TARGET_RETRY_AFTER_MS = 100
MIN_FAILED_STATUS = 400
# Without a keeper an account's limit can't be checked.
NO_KEEPER_RETRY_AFTER_MS = 500
# The last answers of other hosts reach a proxy that leaves within this time,
# also over links that are busy.
LAST_REPLY_MS = 200
OUTCOME_UNKNOWN = "it is not known whether the request ran"


class LocalTargets(typing.Protocol):
    """The part of the local targets' interface that the entry core uses."""

    @property
    def services_key(self) -> str:
        """Return the key of their set of services."""

    def repeat_share(self, share: float) -> float:
        """Return the probability that a new request is a repeat's call.

        Args:
            share: Probability that it is a call at all.
        """


class Entry:
    """The entry core of one proxy.

    Args:
        local_host: Name of this host.
        domain: Its failure domain.
        ledger: This host's replica of the idempotency keys; its replica sets
            name the hosts that store a key.
        quarantine: Requests known to crash targets.
        targets: The targets on this host, which send their calls here.
        rng: Draws versions, targets and ids.
        access: Checks callers' keys; without it keys are honoured for any
            time.
    """

    __slots__ = (
        "local_host",
        "domain",
        "targets",
        "call_shares",
        "ledger",
        "quarantine",
        "rng",
        "original_deadlines",
        "placement",
        "balancer",
        "retry_budgets",
        "incoming",
        "tokens",
        "claims",
        "live",
        "by_request",
        "ends_at_ms",
        "last_id",
        "pending_effects",
    )

    def __init__(
        self,
        local_host: str,
        domain: str,
        *,
        ledger: ledgers.Ledger,
        quarantine: quarantines.Quarantine,
        targets: LocalTargets,
        rng: random.Random,
        access: accesses.Access | None = None,
    ) -> None:
        self.local_host = local_host
        self.domain = domain
        self.targets = targets
        self.call_shares = attribution.CallShares()
        self.ledger = ledger
        self.quarantine = quarantine
        self.rng = rng
        self.original_deadlines = original_deadlines.OriginalDeadlines()
        self.placement = placements.Placement(local_host, domain, rng)
        self.balancer = self.placement.balancer
        self.retry_budgets = budgets.RetryBudgets()
        self.incoming = incoming_calls.IncomingCalls(
            access or accesses.Access(key_lease.KeyLease())
        )
        self.claims = claiming.Claims()
        self.live: dict[int, live_calls.LiveCall] = {}
        self.by_request: dict[int, int] = {}
        self.ends_at_ms = 0
        self.last_id = rng.getrandbits(61)
        self.tokens = account_tokens.AccountTokens(self.last_id)
        self.pending_effects: list[typing.Any] = []

    # Configuration and fleet

    def put_in_force(self, table: routing.RouteTable) -> None:
        """Switch to a new configuration in one step."""
        self.placement.put_in_force(table)
        names = {route.name for route in table.routes}
        self.original_deadlines.keep_only(names)
        self.call_shares.keep_only(names)
        self.retry_budgets.put_in_force(table.services)
        self.incoming.put_in_force(table)
        self.tokens.keep_only(table.accounts.by_name)

    def records_changed(
        self, records: record_store.Records, now_ms: int
    ) -> None:
        """Update endpoints and replica sets from the hosts' records."""
        self.placement.records_changed(records, now_ms)
        self.ledger.replica_sets.update(
            self.placement.endpoints.hosts_of, now_ms
        )

    # Life cycle of a call

    def start(
        self, call: calls.Call, now_ms: int, now_us: int
    ) -> list[typing.Any]:
        """Start a caller's request."""
        accepted = self.incoming.accept(call, now_ms)
        if accepted is None:
            return self._flush()
        route = accepted.route
        account = accepted.account
        timeout_ms = route.timeout_ms
        if call.deadline_ms:
            timeout_ms = min(timeout_ms, call.deadline_ms)
        latency_target_ms = route.latency_aim_ms or timeout_ms
        waited_ms = self.original_deadlines.waited_ms(
            route.name, call.deadline_ms
        )
        live = live_calls.LiveCall(
            call=call,
            route=route,
            fingerprint=call.fingerprint(),
            started_us=now_us,
            deadline_at_ms=self._capped(now_ms + timeout_ms),
            due_at_ms=now_ms + latency_target_ms - waited_ms,
            service=routing.draw_service(route, self.rng),
            account=account.name if account else "",
            priority=accepted.priority,
        )
        self.live[call.call_id] = live
        if self._would_outlast_proxy(live, now_ms):
            self._finish_leaving(live)
            return self._flush()
        if self.quarantine.refuses(live.fingerprint, now_ms):
            self._finish_quarantined(live)
            return self._flush()
        if account is not None and account.rate_per_s:
            self._take_token(live, now_ms, now_us)
        else:
            self._begin(live, now_ms, now_us)
        return self._flush()

    def _begin(
        self, live: live_calls.LiveCall, now_ms: int, now_us: int
    ) -> None:
        """Begin to serve a call that its account's limit lets through."""
        self._add_to_budget(live)
        if live.route.repeat == messages.Repeat.ONCE and live.call.key:
            self._claim(live, now_ms)
        else:
            self._attempt(live, now_ms, now_us)

    # Limits of accounts

    def _take_token(
        self, live: live_calls.LiveCall, now_ms: int, now_us: int
    ) -> None:
        boot_ms = live.call.received_boot_ms
        decision = self.tokens.take(live.account, live.call.call_id, boot_ms)
        if isinstance(decision, account_tokens.Wait):
            ask = self.tokens.ask_waiting(live.account, boot_ms)
            if ask is not None:
                self.pending_effects.append(effects.AskTokens(ask))
            return
        self._on_token_decision(live, decision, now_ms, now_us)

    def _on_token_decision(
        self,
        live: live_calls.LiveCall,
        decision: account_tokens.Taken | account_tokens.OverLimit | None,
        now_ms: int,
        now_us: int,
    ) -> None:
        match decision:
            case account_tokens.Taken():
                live.token = decision.token
                self._begin(live, now_ms, now_us)
            case account_tokens.OverLimit():
                self._finish_not_run(
                    live,
                    429,
                    "the account's limit is used up",
                    decision.retry_after_ms,
                )
            case None:
                self._finish_not_run(
                    live,
                    503,
                    "the account's limit can't be checked now",
                    NO_KEEPER_RETRY_AFTER_MS,
                )

    def release(
        self,
        released: list[account_tokens.Released],
        now_ms: int,
        now_us: int,
    ) -> list[typing.Any]:
        """Go on with calls that need not wait for tokens any more."""
        for item in released:
            live = self.live.get(item.call_id)
            if live is not None:
                self._on_token_decision(live, item.decision, now_ms, now_us)
        return self._flush()

    def _give_token_back(self, live: live_calls.LiveCall) -> None:
        """Return the token of a call that certainly did not run."""
        token, live.token = live.token, None
        if token is not None:
            self.tokens.give_back(live.account, token)

    def _add_to_budget(self, live: live_calls.LiveCall) -> None:
        """Credit the budget, or charge it for a call of a repeat."""
        if live.call.retried:
            live.repeat = 1.0
        else:
            share = self.call_shares.share(live.route.name)
            live.repeat = self.targets.repeat_share(share) if share else 0.0
        self.retry_budgets.deposit(live)

    def start_pending(self, now_ms: int, now_us: int) -> list[typing.Any]:
        """Start the calls that were held while this proxy started."""
        released = []
        for call in self.incoming.release(now_ms):
            released.extend(self.start(call, now_ms, now_us))
        return released

    def _claim(self, live: live_calls.LiveCall, now_ms: int) -> None:
        service = live.service
        issued_ms = ledgers.issued_ms_of(live.call.key)
        key = ledgers.key_of(service, live.call.key, live.account)
        claim = messages.Claim(
            claim_id=self._next_id(),
            key=key,
            fingerprint=live.fingerprint,
            keepers=self.ledger.replica_sets.replicas(service, key, now_ms),
            service_name=service,
            issued_ms=issued_ms,
        )
        live.claim = claim
        self._apply_claim_results(
            self.claims.begin(live.call.call_id, claim, now_ms), now_ms, 0
        )

    def on_claim_reply(
        self, reply: messages.ClaimReply, now_ms: int, now_us: int
    ) -> list[typing.Any]:
        """Handle the reply of a replica to the claim of a key."""
        self._apply_claim_results(
            self.claims.receive_reply(reply), now_ms, now_us
        )
        return self._flush()

    def _apply_claim_results(
        self, results: list[typing.Any], now_ms: int, now_us: int
    ) -> None:
        for item in results:
            match item:
                case claiming.ClaimGranted():
                    live = self.live.get(item.call_id)
                    if live is not None:
                        self._attempt(live, now_ms, now_us)
                case claiming.KeyUsed():
                    self._finish_ran_before(item)
                case claiming.ClaimUndecided():
                    self._finish_unknown(item.call_id)
                case _:
                    self.pending_effects.append(item)

    def _attempt(
        self, live: live_calls.LiveCall, now_ms: int, now_us: int
    ) -> None:
        """Send a call to a target, or refuse it if none can take it."""
        endpoint = self.placement.place(live, now_ms)
        if endpoint is None:
            self.retry_budgets.refund(live)
            self._finish_no_target(live)
            return
        self._send_to(live, endpoint, now_ms, now_us)

    def _send_to(
        self,
        live: live_calls.LiveCall,
        endpoint: routing.Endpoint,
        now_ms: int,
        now_us: int,
    ) -> None:
        route = live.route
        live.endpoint = endpoint
        live.version = endpoint.target.version
        live.attempts += 1
        live.sends += 1
        live.tried.add(endpoint.key)
        live.request_id = self._next_id()
        if live.attempts == 1:
            live.first_request_id = live.request_id
        live.sent_us = now_us
        self.by_request[live.request_id] = live.call.call_id
        self.balancer.started(endpoint.key, now_ms)
        body = live.call.body
        is_remote = endpoint.host != self.local_host
        body_follows = is_remote and self.placement.is_large(body)
        request = messages.Request(
            request_id=live.request_id,
            route=route.name,
            method=live.call.method,
            path=live.call.path,
            headers=live.call.headers,
            body=b"" if body_follows else body,
            body_bytes=len(body) if body_follows else 0,
            deadline_ms=self._remaining_ms(live, now_ms),
            target=endpoint.target.name,
            crashes=live.crashes,
            fingerprint=live.fingerprint,
            version=live.version,
            retried=live.call.retried or live.attempts > 1,
            priority=live.priority,
            caller_id=live.call.caller_id,
            aim_ms=max(live.due_at_ms - now_ms, 1),
            settled=live.may_queue,
            services_key=self.targets.services_key,
            repeat_permille=_repeat_permille(live),
            limit_per_s=self.placement.statements.limit_per_s(endpoint),
            account=live.account,
            route_priority=route.priority if live.account else 0,
        )
        self.pending_effects.append(
            effects.Forward(endpoint.host, endpoint.address, request)
        )

    def on_body_pull(self, pull: messages.BodyPull) -> list[typing.Any]:
        """Send a chunk of a body to the target's proxy that pulls it."""
        live = self.live.get(self.by_request.get(pull.request_id, -1))
        attempt = live.attempt_of(pull.request_id) if live else None
        if attempt is None:
            # The request was cancelled; the target's proxy is notified.
            return []
        end = pull.offset + pull.length
        chunk = messages.BodyPiece(
            pull.request_id, pull.offset, live.call.body[pull.offset : end]
        )
        endpoint = attempt.endpoint
        return [effects.Send(endpoint.host, endpoint.address, chunk)]

    # Answers

    def on_answer(
        self, answer: messages.Answer, now_ms: int, now_us: int
    ) -> list[typing.Any]:
        """Handle an answer; drop one that is late or unknown.

        Each attempt has its own id, so an answer that arrives after a retry
        or after the deadline cannot be matched to another call.
        """
        live = self._take_attempt(answer.request_id)
        if live is None:
            return self._flush()
        self._note_links(live, answer, now_ms, now_us)
        self.placement.statements.hear(live.endpoint, answer)
        self.call_shares.add_report(live.route.name, answer.called_permille)
        unserved = not answer.ran or answer.crashed or answer.unusable
        if unserved and self._await_other_attempt(live, answer, now_ms):
            return self._flush()
        if not answer.ran:
            self._on_refused(live, answer, now_ms, now_us)
        elif answer.crashed:
            self._on_crashed(live, answer, now_ms, now_us)
        elif answer.unusable:
            self._on_unusable(live, answer, now_ms, now_us)
        else:
            self._on_served(live, answer, now_ms, now_us)
        return self._flush()

    def _note_links(
        self,
        live: live_calls.LiveCall,
        answer: messages.Answer,
        now_ms: int,
        now_us: int,
    ) -> None:
        held_us = (answer.held_ms or 0) * 1000
        self.balancer.note_links(
            live.endpoint.key,
            body_wait_ms=answer.body_wait_ms or 0,
            transit_us=max(now_us - live.sent_us - held_us, 0),
            now_ms=now_ms,
        )
        self.balancer.note_limit(
            live.endpoint.key, answer.limit_wait_ms or 0, now_ms
        )

    def _on_served(
        self,
        live: live_calls.LiveCall,
        answer: messages.Answer,
        now_ms: int,
        now_us: int,
    ) -> None:
        latency_us = now_us - live.sent_us
        self.placement.note_answered(live, answer, latency_us, now_ms)
        failed = answer.status >= MIN_FAILED_STATUS
        run_us = answer.service_us or latency_us
        if answer.status != 504 or not self._is_cut(live):
            # The end of this proxy says nothing of the version that ran.
            self._observe(live, latency_us, run_us, failed, now_ms)
        self.pending_effects.extend(
            observing.overtaken(self.placement.endpoints, live, now_ms, now_us)
        )
        if not failed:
            notice = self.quarantine.succeeded(
                live.fingerprint, self._next_id()
            )
            if notice is not None:
                self.pending_effects.append(effects.BroadcastNotice(notice))
        if live.claim is not None:
            self.pending_effects.extend(
                claiming.store_answer(live.claim, answer)
            )
            live.claim = None
        self._finish(
            live,
            calls.Final.from_answer(live.call.call_id, answer),
        )

    def _on_refused(
        self,
        live: live_calls.LiveCall,
        answer: messages.Answer,
        now_ms: int,
        now_us: int,
    ) -> None:
        """Try another target: the request did not run at this one."""
        load = -1 if answer.load is None else answer.load
        wait_ms = 0 if answer.full else answer.retry_after_ms
        if answer.shed:
            self.balancer.note_outcome(live.endpoint.key, True, now_ms)
        self.balancer.refused(live.endpoint.key, now_ms, wait_ms, load)
        if answer.full and not live.may_queue:
            live.full_targets.add(live.endpoint.key)
            live.tried.discard(live.endpoint.key)
        live.retry_after_ms = max(live.retry_after_ms, answer.retry_after_ms)
        if answer.status == 422:
            self._finish_quarantined(live)
        elif self._may_place_again(live, answer, now_ms):
            self._attempt(live, now_ms, now_us)
        else:
            self._finish_no_target(live)

    def _on_crashed(
        self,
        live: live_calls.LiveCall,
        answer: messages.Answer,
        now_ms: int,
        now_us: int,
    ) -> None:
        self.balancer.lost(live.endpoint.key, now_ms)
        self._observe_failure(live, now_ms, now_us)
        live.may_have_run = True
        live.crashes += 1
        # If it was the only request that ran, it probably caused the crash and
        # would crash a second target.
        repeatable = live.may_repeat and not answer.sole and live.crashes < 2
        if repeatable and self._may_retry(live, budget.Cause.BROKEN, now_ms):
            self._attempt(live, now_ms, now_us)
        else:
            self._finish_lost(
                live,
                502,
                "the target broke off",
            )

    def _on_unusable(
        self,
        live: live_calls.LiveCall,
        answer: messages.Answer,
        now_ms: int,
        now_us: int,
    ) -> None:
        """Retry where that is safe: the answer cannot be passed on."""
        latency_us = now_us - live.sent_us
        self.placement.note_answered(live, answer, latency_us, now_ms)
        self._observe_failure(live, now_ms, now_us)
        live.may_have_run = True
        repeatable = live.may_repeat
        if repeatable and self._may_retry(live, budget.Cause.BROKEN, now_ms):
            self._attempt(live, now_ms, now_us)
        else:
            self._finish_lost(live, 502, answer.reason or "no whole answer")

    def on_unsent(
        self, request_id: int, now_ms: int, now_us: int
    ) -> list[typing.Any]:
        """Handle a request that was not sent, and thus did not run."""
        live = self._take_attempt(request_id)
        unsent = messages.Answer(request_id=request_id, ran=False)
        if live is not None and self._await_other_attempt(
            live, unsent, now_ms
        ):
            return self._flush()
        if live is not None:
            self.balancer.lost(live.endpoint.key, now_ms)
            live.attempts -= 1
            if live.sends < MAX_PLACEMENTS and now_ms < live.deadline_at_ms:
                self._attempt(live, now_ms, now_us)
            else:
                self._finish_no_target(live)
        return self._flush()

    def on_lost(
        self, request_id: int, now_ms: int, now_us: int
    ) -> list[typing.Any]:
        """Handle a lost link: it is unknown whether the request ran."""
        live = self._take_attempt(request_id)
        lost = messages.Answer(request_id=request_id, ran=True)
        if live is not None and self._await_other_attempt(live, lost, now_ms):
            return self._flush()
        if live is not None:
            self.balancer.lost(live.endpoint.key, now_ms)
            live.may_have_run = True
            repeatable = live.may_repeat
            if repeatable and self._may_retry(live, budget.Cause.LOST, now_ms):
                self._attempt(live, now_ms, now_us)
            else:
                self._finish_lost(live, 502, "the target's host is lost")
        return self._flush()

    def set_unresponsive(
        self, host: str, unresponsive: bool, now_ms: int, now_us: int
    ) -> list[typing.Any]:
        """Record that a host's proxy is unresponsive, or responds again.

        While it is unresponsive its targets get no new requests, and requests
        that may be repeated are hedged at another target.
        """
        self.balancer.set_unresponsive(host, unresponsive)
        if unresponsive:
            for live in list(self.live.values()):
                if self._may_hedge(live) and live.endpoint.host == host:
                    self._hedge(live, now_ms, now_us)
        return self._flush()

    def _take_attempt(self, request_id: int) -> live_calls.LiveCall | None:
        call_id = self.by_request.pop(request_id, None)
        live = self.live.get(call_id) if call_id is not None else None
        if live is None:
            return None
        if live.request_id != request_id:
            if live.hedge is None or live.hedge.request_id != request_id:
                return None
            live.swap_attempts()
        return live

    # Hedged requests

    def _hedge(
        self, live: live_calls.LiveCall, now_ms: int, now_us: int
    ) -> None:
        """Send a call to a second target while the first one continues."""
        endpoint = self.placement.choose(
            live, live.tried | live.full_targets, now_ms
        )
        if endpoint is None or not self.balancer.has_free_slots(
            endpoint, now_ms
        ):
            # Where all targets are full, requests are slow because they
            # queue. Sending them twice would lengthen all queues.
            return
        if not self.retry_budgets.withdraw(live.service, budget.Cause.HEDGED):
            return
        first = live.attempt
        live.may_queue = False
        self._note(
            "request.hedged",
            live,
            target=first.endpoint.key,
            waited_ms=(now_us - first.sent_us) // 1000,
            also=endpoint.key,
            budget=round(self.retry_budgets.remaining(live.service), 1),
        )
        live.paid = True
        self._send_to(live, endpoint, now_ms, now_us)
        live.hedge = first

    def _may_hedge(self, live: live_calls.LiveCall) -> bool:
        if live.hedge is not None or not live.request_id:
            return False
        repeatable = live.route.repeat == messages.Repeat.ANY
        if not repeatable or live.call.retried:
            return False
        return live.attempts < live.route.max_attempts

    def _wants_hedge(
        self, live: live_calls.LiveCall, now_ms: int, now_us: int
    ) -> bool:
        if not self._may_hedge(live):
            return False
        usual_us = self.placement.usual_us(live.route)
        hedge_after_us = max(usual_us * HEDGE_FACTOR, MIN_HEDGE_WAIT_US)
        # A hedge cannot help an answer that waits for a link; its own answer
        # would queue for a link as well.
        hedge_after_us += self.balancer.link_wait_us(live.endpoint.key, now_ms)
        return usual_us > 0 and now_us - live.sent_us >= hedge_after_us

    def _await_other_attempt(
        self, live: live_calls.LiveCall, answer: messages.Answer, now_ms: int
    ) -> bool:
        """Continue with the other attempt; return False without one."""
        if live.hedge is None:
            return False
        key = live.endpoint.key
        self.balancer.note_cancelled(key)
        if answer.shed or answer.ran:
            self.balancer.note_outcome(key, True, now_ms)
        if answer.ran:
            live.may_have_run = True
        else:
            live.attempts -= 1
        self.retry_budgets.end(live)
        live.swap_attempts()
        live.hedge = None
        return True

    def on_repeat_arrived(self, request_id: int) -> None:
        """Record that a repeat reached its target.

        While another attempt is still in flight, the budget waits for that
        one: if it arrives later, it is the repeat.
        """
        live = self.live.get(self.by_request.get(request_id, -1))
        if live is not None and live.request_id == request_id:
            if live.hedge is None:
                self.retry_budgets.end(live)

    def _may_place_again(
        self, live: live_calls.LiveCall, answer: messages.Answer, now_ms: int
    ) -> bool:
        """Return whether a call that was refused may go to another target.

        A request that the target's proxy refused did not reach the target.
        It adds no load there and does not count as an attempt. A refusal by
        the target itself used its time, so sending it to
        another one is an ordinary retry.
        """
        if answer.shed:
            return self._may_retry(live, budget.Cause.REFUSED, now_ms)
        live.attempts -= 1
        if live.sends >= MAX_PLACEMENTS:
            return False
        return now_ms < live.deadline_at_ms

    def _may_retry(
        self, live: live_calls.LiveCall, cause: budget.Cause, now_ms: int
    ) -> bool:
        if live.call.retried or live.attempts >= live.route.max_attempts:
            # A proxy closer to the caller already retries this call chain.
            # Retries at several levels would multiply.
            return False
        if now_ms >= live.deadline_at_ms:
            return False
        if not self.retry_budgets.has_budget(live.service):
            return False
        self.retry_budgets.end(live)
        granted = self.retry_budgets.withdraw(live.service, cause)
        live.paid = granted
        self._note(
            "request.retried" if granted else "request.out_of_budget",
            live,
            target=live.endpoint.key,
            cause=cause,
            left_ms=live.deadline_at_ms - now_ms,
            budget=round(self.retry_budgets.remaining(live.service), 1),
        )
        return granted

    def _observe(
        self,
        live: live_calls.LiveCall,
        latency_us: int,
        run_us: int,
        failed: bool,
        now_ms: int,
    ) -> None:
        self.pending_effects.extend(
            observing.answered(
                self.placement.endpoints,
                live,
                latency_us=latency_us,
                run_us=run_us,
                failed=failed,
                now_ms=now_ms,
            )
        )

    def _observe_failure(
        self, live: live_calls.LiveCall, now_ms: int, now_us: int
    ) -> None:
        waited_us = now_us - live.sent_us
        self._observe(live, waited_us, waited_us, True, now_ms)

    # Shutdown

    def leave(self, ends_at_ms: int, now_ms: int) -> list[typing.Any]:
        """Let no call wait longer than this proxy can answer it.

        Calls that wait at other hosts are refused there in time, which tells
        for certain that they did not run.

        Args:
            ends_at_ms: Until when this proxy answers callers.
            now_ms: The time on the runtime's clock.
        """
        self.ends_at_ms = ends_at_ms
        for live in self.live.values():
            live.deadline_at_ms = self._capped(live.deadline_at_ms)
            self._update_deadline(live, now_ms)
        return self._flush()

    def _update_deadline(self, live: live_calls.LiveCall, now_ms: int) -> None:
        """Tell other hosts until when a call's answer can be used."""
        deadline_ms = self._remaining_ms(live, now_ms)
        for attempt in live.attempts_in_flight(self.by_request):
            endpoint = attempt.endpoint
            update = messages.DeadlineUpdate(attempt.request_id, deadline_ms)
            if endpoint.host != self.local_host:
                self.pending_effects.append(
                    effects.Send(endpoint.host, endpoint.address, update)
                )

    def _remaining_ms(self, live: live_calls.LiveCall, now_ms: int) -> int:
        """Return how long other hosts may take to answer a call."""
        remaining_ms = live.deadline_at_ms - now_ms
        if self._is_cut(live):
            remaining_ms -= LAST_REPLY_MS
        return max(remaining_ms, 1)

    def _is_cut(self, live: live_calls.LiveCall) -> bool:
        """Return whether this proxy ends before a call's own deadline."""
        return live.deadline_at_ms == self.ends_at_ms

    def _capped(self, deadline_at_ms: int) -> int:
        if not self.ends_at_ms:
            return deadline_at_ms
        return min(deadline_at_ms, self.ends_at_ms)

    def _would_outlast_proxy(
        self, live: live_calls.LiveCall, now_ms: int
    ) -> bool:
        """Return whether a call would usually be answered too late."""
        if not self.ends_at_ms:
            return False
        usual_ms = self.placement.usual_us(live.route) / 1000
        return now_ms + usual_ms > self.ends_at_ms

    def _finish_leaving(self, live: live_calls.LiveCall) -> None:
        self._finish_not_run(
            live, 503, incoming_calls.LEAVING, incoming_calls.RETRY_AFTER_MS
        )

    # Final answers

    def cancel(self, call_id: int, now_ms: int) -> list[typing.Any]:
        """Drop a call whose caller disconnected."""
        self.incoming.held.drop(call_id)
        live = self.live.get(call_id)
        if live is not None:
            self.tokens.cancel(live.account, call_id)
            if not live.sends:
                self._give_token_back(live)
            self._cancel_attempt(live)
            if live.request_id:
                self.balancer.note_cancelled(live.endpoint.key)
            self._drop(live)
        return self._flush()

    def tick(self, now_ms: int, now_us: int) -> list[typing.Any]:
        """Hedge slow calls, and end those whose deadline has passed."""
        self.incoming.tick(now_ms)
        self._apply_claim_results(self.claims.tick(now_ms), now_ms, now_us)
        late = [
            live
            for live in self.live.values()
            if now_ms >= live.deadline_at_ms
        ]
        for live in list(self.live.values()):
            if self._wants_hedge(live, now_ms, now_us):
                self._hedge(live, now_ms, now_us)
        for live in late:
            self.tokens.cancel(live.account, live.call.call_id)
            self._cancel_attempt(live)
            if live.request_id:
                if not self._is_cut(live):
                    self.balancer.timed_out(live.endpoint.key, now_ms)
                    self._observe_failure(live, now_ms, now_us)
                live.may_have_run = True
            self._finish_late(live)
        return self._flush()

    def _finish_late(self, live: live_calls.LiveCall) -> None:
        """Answer a call whose deadline or whose proxy's time has passed."""
        if not self._is_cut(live):
            self._finish_lost(live, 504, "the deadline has passed")
        elif live.may_have_run:
            self._finish_lost(live, 504, incoming_calls.LEAVING)
        else:
            self._finish_leaving(live)

    def _cancel_attempt(self, live: live_calls.LiveCall) -> None:
        """Cancel the request at the target's proxy, or drop the claim."""
        if live.request_id in self.by_request:
            self._send_cancel(live.request_id, live.endpoint)
        else:
            self.pending_effects.extend(self.claims.drop(live.call.call_id))

    def _send_cancel(
        self, request_id: int, endpoint: routing.Endpoint
    ) -> None:
        self.by_request.pop(request_id, None)
        self.pending_effects.append(
            effects.Send(
                endpoint.host, endpoint.address, messages.Cancel(request_id)
            )
        )

    def _finish_quarantined(self, live: live_calls.LiveCall) -> None:
        self._finish_not_run(
            live,
            422,
            "this request crashed the targets that ran it",
        )

    def _finish_no_target(self, live: live_calls.LiveCall) -> None:
        wait_ms = live.retry_after_ms or NO_TARGET_RETRY_AFTER_MS
        reason = "no target can take it in time"
        if live.may_have_run:
            # 503 states that it did not run, but an earlier attempt may have.
            self._finish_lost(live, 502, reason, wait_ms)
            return
        self._finish_not_run(live, 503, reason, wait_ms)

    def _finish_not_run(
        self,
        live: live_calls.LiveCall,
        status: int,
        reason: str,
        wait_ms: int = 0,
    ) -> None:
        self._give_token_back(live)
        if live.claim is not None:
            self.pending_effects.extend(claiming.release(live.claim))
            live.claim = None
        self._finish(
            live,
            calls.Final(
                live.call.call_id, status, reason, retry_after_ms=wait_ms
            ),
        )

    def _finish_lost(
        self,
        live: live_calls.LiveCall,
        status: int,
        reason: str,
        wait_ms: int = 0,
    ) -> None:
        if not live.may_have_run:
            self._finish_not_run(
                live, status, reason, wait_ms or incoming_calls.RETRY_AFTER_MS
            )
            return
        self._finish(
            live,
            calls.Final(
                live.call.call_id,
                status,
                f"{reason}; {OUTCOME_UNKNOWN}",
                ran=True,
                retry_after_ms=wait_ms,
            ),
        )

    def _finish_ran_before(self, result: claiming.KeyUsed) -> None:
        live = self.live.get(result.call_id)
        if live is None:
            return
        self._give_token_back(live)
        live.claim = None
        if result.answer is None:
            self._finish(
                live,
                calls.Final(
                    result.call_id,
                    409,
                    "the key was used before; its answer is not known here",
                    ran=True,
                ),
            )
            return
        self._finish(
            live,
            calls.Final.from_answer(result.call_id, result.answer),
        )

    def _finish_unknown(self, call_id: int) -> None:
        live = self.live.get(call_id)
        if live is None:
            return
        live.claim = None
        self._finish(
            live,
            calls.Final(
                call_id,
                503,
                "not run now; it can't be known whether the key ran before",
                retry_after_ms=incoming_calls.RETRY_AFTER_MS,
            ),
        )

    def _finish(self, live: live_calls.LiveCall, final: calls.Final) -> None:
        if final.own:
            self._log_own_answer(live, final)
        self._drop(live)
        self.pending_effects.append(effects.Finish(final))

    def _drop(self, live: live_calls.LiveCall) -> None:
        self.live.pop(live.call.call_id, None)
        self.by_request.pop(live.request_id, None)
        if live.hedge is not None:
            self._send_cancel(live.hedge.request_id, live.hedge.endpoint)
            self.balancer.note_cancelled(live.hedge.endpoint.key)
            if live.hedge.paid:
                self.retry_budgets.arrived(live.service)
            live.hedge = None
        self.retry_budgets.end(live)

    def _log_own_answer(
        self, live: live_calls.LiveCall, final: calls.Final
    ) -> None:
        """Log a final answer that this proxy generated itself."""
        event = "request.lost" if final.ran else "request.refused"
        endpoint = live.endpoint
        self._note(
            event,
            live,
            status=final.status,
            why=final.reason,
            target=endpoint.key if endpoint else "",
            come_back_ms=final.retry_after_ms,
            entered_ms=live.call.entered_ms,
        )

    def _note(
        self, event: str, live: live_calls.LiveCall, **fields: typing.Any
    ) -> None:
        revision = self.placement.table.revision if self.placement.table else 0
        self.pending_effects.append(
            common.Note(
                event,
                {
                    "id": live.call.caller_id or live.call.call_id,
                    "route": live.route.name,
                    "service": live.service,
                    "attempts": live.attempts,
                    "sent_on": len(live.full_targets),
                    "revision": revision,
                }
                | fields,
            )
        )

    def _next_id(self) -> int:
        self.last_id = (self.last_id + 1) & ((1 << 62) - 1)
        return self.last_id

    def _flush(self) -> list[typing.Any]:
        pending_effects = self.incoming.take_effects() + self.pending_effects
        self.pending_effects = []
        return pending_effects


def _repeat_permille(live: live_calls.LiveCall) -> int:
    """Return the probability that an attempt is a repeat, in permille."""
    return int(1000 * (1.0 if live.paid else live.repeat))
