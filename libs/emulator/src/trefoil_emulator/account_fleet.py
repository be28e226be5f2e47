"""The simulated fleet with client accounts, their limits and keepers."""

import bisect
import collections
import dataclasses
import random
import typing

from trefoil_accounts import quota_keeper
from trefoil_accounts import quota_terms
from trefoil_fleet import items as item_store
from trefoil_model import keys
from trefoil_requests import call as calls
from trefoil_requests import effects
from trefoil_requests import routing
from trefoil_wire import frames
from trefoil_wire import messages

from . import core_fleet
from . import quota_ways

KEEPERS = "keepers"
WHOLE = "whole limit at each host"
EQUAL = "equal part at each host"
TOLD = "told use"
WAYS = (KEEPERS, WHOLE, EQUAL, TOLD)
TERMS = quota_terms.QuotaTerms()
# Round trip within and between failure domains, both directions.
LOCAL_MS = 0.3
REMOTE_MS = 2.0


@dataclasses.dataclass(slots=True)
class Load:
    """An account and the requests that its callers send.

    Args:
        account: The account.
        rate_per_s: Requests that are sent per second, at all hosts together.
        domain: Failure domain of its callers; empty for all.
    """

    account: messages.Account
    rate_per_s: float
    domain: str = ""


def account_load(
    name: str, limit_per_s: float, rate_per_s: float, domain: str = ""
) -> Load:
    """Return the load of an account whose burst is a second of its rate."""
    account = messages.Account(
        name=name,
        key_digests=[keys.digest_of(name.encode())],
        rate_per_s=limit_per_s,
        burst=limit_per_s,
    )
    return Load(account, rate_per_s, domain)


@dataclasses.dataclass(slots=True)
class Sent:
    """A request that a caller sent.

    Args:
        account: Name of its account.
        at_ms: When it was sent.
        status: Status of its answer.
        latency_ms: Time until the answer.
    """

    account: str
    at_ms: float
    status: int = 0
    latency_ms: float = 0.0


class AccountFleet(core_fleet.CoreFleet):
    """Simulated hosts whose callers have accounts with limits.

    Targets answer at once; callers do not come back.

    Args:
        loads: The accounts and what their callers send.
        hosts: Number of hosts.
        domains: Number of failure domains, each with a keeper.
        way: One of ``WAYS``.
        seed: Seed of the random generator.
    """

    def __init__(
        self,
        loads: list[Load],
        *,
        hosts: int,
        domains: int = 3,
        way: str = KEEPERS,
        seed: int = 1,
    ) -> None:
        self.loads = loads
        self.way = way
        self.sent: list[Sent] = []
        self.runs: list[Sent] = []
        self.sent_by_call: dict[int, Sent] = {}
        self.quota_bytes = 0
        self.cross_domain_quota_bytes = 0
        self.cut: set[str] = set()
        self.asks: dict[int, str] = {}
        kind = core_fleet.RequestKind("read", 1.0, 1.0, 500, 1000, 1000)
        super().__init__(
            [1.0] * hosts,
            domains=domains,
            slots=1000,
            kinds=[kind],
            retries=0,
            seed=seed,
        )
        self.keepers = {
            f"d{n}": quota_keeper.QuotaKeeper(TERMS) for n in range(domains)
        }
        self._give_accounts()

    def _give_accounts(self) -> None:
        accounts = {load.account.name: load.account for load in self.loads}
        items = item_store.Items()
        for key, record in self._records_of(accounts).items():
            items.set(1, key, record)
        table = routing.RouteTable(items)
        for domain, keeper in self.keepers.items():
            peers = [peer for peer in self.keepers if peer != domain]
            keeper.put_in_force(accounts, 0)
            keeper.set_keepers(peers, len(self.keepers), 0)
        for host in self.hosts.values():
            host.entry.put_in_force(table)
            self._use_way(host, accounts)

    def _records_of(
        self, accounts: dict[str, messages.Account]
    ) -> dict[str, typing.Any]:
        service = messages.Service(core_fleet.SERVICE, [], core_fleet.VERSION)
        records: dict[str, typing.Any] = {
            item_store.SERVICE + core_fleet.SERVICE: service,
            item_store.SHARES + core_fleet.SERVICE: core_fleet.shares_of(0),
            item_store.ACCESS_POLICY: messages.AccessPolicy(True),
        }
        for kind in self.kinds:
            records[item_store.ROUTE + kind.name] = core_fleet.route_of(kind)
        for name, account in accounts.items():
            records[item_store.ACCOUNT + name] = account
        return records

    def _use_way(
        self, host: core_fleet.Host, accounts: dict[str, messages.Account]
    ) -> None:
        hosts = len(self.hosts)
        if self.way == WHOLE:
            host.entry.tokens = quota_ways.LocalBuckets(accounts, 1.0)
        elif self.way == EQUAL:
            host.entry.tokens = quota_ways.LocalBuckets(accounts, 1.0 / hosts)
        elif self.way == TOLD:
            host.entry.tokens = quota_ways.ToldUse(accounts, hosts)

    # Callers

    def play(self, duration_ms: int) -> typing.Self:
        """Simulate requests for some time."""
        for load in self.loads:
            self._draw_requests(load, duration_ms)
        for at_ms in range(0, duration_ms + 2000, core_fleet.TICK_MS):
            self._schedule(at_ms, self._tick)
        if self.way == TOLD:
            step_ms = quota_ways.REPORT_INTERVAL_MS
            for at_ms in range(0, duration_ms, step_ms):
                self._schedule(at_ms, self._tell_use)
        self._run_events()
        return self

    def _draw_requests(self, load: Load, duration_ms: int) -> None:
        at_ms = 0.0
        while at_ms < duration_ms:
            at_ms += self.rng.expovariate(load.rate_per_s / 1000)
            self._schedule(at_ms, lambda load=load: self._send_request(load))

    def _send_request(self, load: Load) -> None:
        names = [
            host.name
            for host in self.hosts.values()
            if load.domain in ("", host.domain)
        ]
        host = self.hosts[self.rng.choice(names)]
        number = next(self.numbers)
        sent = Sent(load.account.name, self.now_ms)
        self.sent.append(sent)
        self.sent_by_call[number] = sent
        call = calls.Call(
            number,
            "GET",
            "any",
            f"/read/{number}",
            deadline_ms=1000,
            account_key=load.account.name,
            received_boot_ms=int(self.now_ms),
        )
        now_us = int(self.now_ms * 1000)
        self._apply(host, host.entry.start(call, int(self.now_ms), now_us))

    def _finish_call(self, host: core_fleet.Host, final: calls.Final) -> None:
        sent = self.sent_by_call[final.call_id]
        sent.status = final.status
        sent.latency_ms = self.now_ms - sent.at_ms

    def _run_request(
        self, host: core_fleet.Host, request: messages.Request
    ) -> None:
        self.runs.append(Sent(request.account, self.now_ms))
        answer = messages.Answer(
            request_id=request.request_id, status=200, ran=True
        )
        self._apply(
            host, host.targets.on_target_answer(answer, int(self.now_ms))
        )

    # Tokens

    def _apply(
        self, host: core_fleet.Host, new_effects: list[typing.Any]
    ) -> None:
        for effect in new_effects:
            if isinstance(effect, effects.AskTokens):
                self._ask(host, effect.ask)
        super()._apply(host, new_effects)

    def _tick(self) -> None:
        super()._tick()
        now_ms = int(self.now_ms)
        for host in self.hosts.values():
            ask = host.entry.tokens.ask_ahead(now_ms)
            if ask is not None:
                self._ask(host, ask)
            for late in host.entry.tokens.take_unanswered(now_ms):
                released = host.entry.tokens.release_unanswered(late.account)
                self._release(host, released)
        for domain, keeper in self.keepers.items():
            self._deliver(domain, keeper.tick(now_ms))

    def _ask(self, host: core_fleet.Host, ask: messages.TokenAsk) -> None:
        self.quota_bytes += len(frames.encode(ask))

        def arrive() -> None:
            keeper = self.keepers[host.domain]
            sends = keeper.on_ask(host.name, ask, int(self.now_ms))
            self._deliver(host.domain, sends)

        self._schedule(self.now_ms + LOCAL_MS, arrive)

    def _deliver(self, domain: str, sends: list[quota_keeper.Send]) -> None:
        for send in sends:
            size = len(frames.encode(send.message))
            self.quota_bytes += size
            if send.to_keeper:
                self.cross_domain_quota_bytes += size
                self._send_to_keeper(domain, send)
            else:
                self._send_to_host(self.hosts[send.to], send.message)

    def _send_to_keeper(self, domain: str, send: quota_keeper.Send) -> None:
        if (domain in self.cut) != (send.to in self.cut):
            return

        def arrive() -> None:
            keeper = self.keepers[send.to]
            now_ms = int(self.now_ms)
            if isinstance(send.message, messages.TokenAsk):
                sends = keeper.on_ask(domain, send.message, now_ms)
            else:
                sends = keeper.on_reply(domain, send.message, now_ms)
            self._deliver(send.to, sends)

        self._schedule(self.now_ms + REMOTE_MS, arrive)

    def _send_to_host(
        self, host: core_fleet.Host, reply: messages.TokenReply
    ) -> None:
        def arrive() -> None:
            now_ms = int(self.now_ms)
            tokens = host.entry.tokens
            self._release(host, tokens.on_reply(reply, now_ms))
            for grant in reply.grants:
                ask = tokens.ask_waiting(grant.account, now_ms)
                if ask is not None:
                    self._ask(host, ask)

        self._schedule(self.now_ms + LOCAL_MS, arrive)

    def _release(
        self, host: core_fleet.Host, released: list[typing.Any]
    ) -> None:
        now_us = int(self.now_ms * 1000)
        self._apply(
            host, host.entry.release(released, int(self.now_ms), now_us)
        )

    def _tell_use(self) -> None:
        for host in self.hosts.values():
            report = host.entry.tokens.take_report()
            if not report:
                continue
            wishes = [
                messages.TokenWish(name, count, 0)
                for name, count in report.items()
            ]
            size = len(frames.encode(messages.TokenAsk(0, wishes)))
            for other in self.hosts.values():
                if other is not host:
                    other.entry.tokens.hear(report, int(self.now_ms))
                    self.quota_bytes += size
                    crosses = other.domain != host.domain
                    self.cross_domain_quota_bytes += size * crosses

    # Results

    def worst_window(self) -> float:
        """Return the most runs in a window, over what is allowed."""
        worst = 0.0
        for load in self.loads:
            account = load.account
            times = [r.at_ms for r in self.runs if r.account == account.name]
            most = most_in_window(times, TERMS.window_ms)
            allowed = TERMS.allowed(account.rate_per_s, account.burst)
            worst = max(worst, most / allowed)
        return worst

    def used(self, name: str, from_ms: int, to_ms: int) -> float:
        """Return the runs of an account over its rate in a time."""
        (load,) = [x for x in self.loads if x.account.name == name]
        count = sum(
            from_ms <= run.at_ms < to_ms
            for run in self.runs
            if run.account == name
        )
        return count * 1000 / (to_ms - from_ms) / load.account.rate_per_s

    def refused_wrongly(self, part: float = 0.8) -> float:
        """Return the share of wrong refusals at accounts below their limits.

        A refusal is wrong if the runs of the window before it were less than
        rate x window + burst.

        Args:
            part: Accounts that send less than this part of their rate count.
        """
        sent = wrong = 0
        for load in self.loads:
            if load.rate_per_s < part * load.account.rate_per_s:
                sent += sum(s.account == load.account.name for s in self.sent)
                wrong += self._wrong_refusals(load.account)
        return wrong / max(sent, 1)

    def _wrong_refusals(self, account: messages.Account) -> int:
        in_window = account.rate_per_s * TERMS.window_ms / 1000
        limit = in_window + account.burst
        runs = [r.at_ms for r in self.runs if r.account == account.name]
        refused = [
            s.at_ms
            for s in self.sent
            if s.account == account.name and s.status != core_fleet.OK
        ]
        return sum(
            1
            + bisect.bisect(runs, at_ms)
            - bisect.bisect(runs, at_ms - TERMS.window_ms)
            <= limit
            for at_ms in refused
        )

    def added_ms(self) -> float:
        """Return the mean time until an answer of requests that ran."""
        served = [s.latency_ms for s in self.sent if s.status == core_fleet.OK]
        return sum(served) / max(len(served), 1)


def most_in_window(times: list[float], window_ms: float) -> int:
    """Return the most times that lie in one window."""
    recent: collections.deque[float] = collections.deque()
    most = 0
    for at_ms in sorted(times):
        recent.append(at_ms)
        while recent[0] <= at_ms - window_ms:
            recent.popleft()
        most = max(most, len(recent))
    return most


def skewed_loads(
    accounts: int, total_per_s: float, *, flooding: float = 1.0, seed: int = 1
) -> list[Load]:
    """Return accounts of which a few make half of the traffic.

    Args:
        accounts: How many there are.
        total_per_s: Requests per second of all of them together.
        flooding: How many times its usual the second largest account sends.
        seed: Seed of the failure domains of the small ones.
    """
    rng = random.Random(seed)
    weights = [1 / (rank + 1) ** 1.2 for rank in range(accounts)]
    loads = []
    for rank, weight in enumerate(weights):
        usual = total_per_s * weight / sum(weights)
        sends = usual * (flooding if rank == 1 else 1.0)
        small = usual < 2.0
        domain = f"d{rng.randrange(3)}" if small else ""
        loads.append(account_load(f"a{rank}", usual * 1.6, sends, domain))
    return loads
