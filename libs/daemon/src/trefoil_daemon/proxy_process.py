"""The engine of ``trefoilroute-proxy``: combines the cores, does no I/O."""

import functools
import random
import typing

from trefoil_accounts import access as accesses
from trefoil_accounts import key_lease
from trefoil_fleet import effects as fleet_effects
from trefoil_fleet import items as item_store
from trefoil_fleet import node as nodes
from trefoil_model import clock as clocks
from trefoil_model import effects as common
from trefoil_moves import evidence as evidences
from trefoil_moves import judge as comparisons
from trefoil_moves import knobs as move_parameters
from trefoil_requests import attribution
from trefoil_requests import bodies
from trefoil_requests import call as calls
from trefoil_requests import effects as request_effects
from trefoil_requests import entry as entries
from trefoil_requests import held_memory
from trefoil_requests import joining
from trefoil_requests import ledger as ledgers
from trefoil_requests import notices
from trefoil_requests import open_requests
from trefoil_requests import quarantine as quarantines
from trefoil_requests import routing
from trefoil_requests import spending as spendings
from trefoil_requests import target_side
from trefoil_requests import warmup as warmups
from trefoil_settings import settings as setting_store
from trefoil_wire import messages

from . import _fleet_process
from . import account_metrics
from . import announcements
from . import budget_metrics
from . import config_lag
from . import exposition
from . import facade
from . import key_leases
from . import load_reports
from . import operators
from . import relay as relays
from . import sendable
from . import shutdown as shutdowns
from . import slot_metrics
from . import token_asks

HALT_CHECK_INTERVAL_MS = 1000
# Each reported processing time or limit is sent to every proxy of the fleet.
PROCESSING_TIME_INTERVAL_MS = 1000
# The accepted false-alarm probability of a move is divided among this many
# checks on each of this many proxies.
HALT_CHECK_WINDOWS = 600
HALT_CHECK_PROXIES = 860
LEAVING_RETRY_MS = 5000


class ProxyProcess(_fleet_process.FleetProcess):
    """The engine of one proxy.

    Args:
        settings: Settings of the proxy.
        peers_address: Address at which other processes reach it.
        driver: Does the input and output of effects.
        clock: The runtime's clock.
        rng: Random generator.
        not_run_header: Response header by which a target states that it did
            not run a request.
        memory: The account of what the process holds; one of its own by
            default.
    """

    def __init__(
        self,
        settings: setting_store.ProxySettings,
        *,
        peers_address: str,
        driver: facade.Driver,
        clock: clocks.Clock,
        rng: random.Random,
        not_run_header: bytes = target_side.NOT_RUN_HEADER,
        memory: held_memory.HeldMemory | None = None,
    ) -> None:
        self.memory = memory or held_memory.HeldMemory.from_memory(
            settings.memory_mb
        )
        self.settings = settings
        now_ms = clock.now_ms()
        self.started_ms = incarnation = clock.wall_ms()
        record = messages.HostRecord(
            host=settings.host,
            domain=settings.domain,
            region=settings.region,
            address=peers_address,
            incarnation=incarnation,
            sequence=1,
            state=messages.HostState.ALIVE,
            targets=[],
        )
        node = nodes.Node(
            record,
            control=False,
            seeds=settings.seeds,
            controls=settings.known_controls,
            now_ms=now_ms,
            rng=rng,
        )
        super().__init__(node, driver, clock)
        self.quarantine = quarantines.Quarantine()
        self.ledger = ledgers.Ledger(
            settings.host, incarnation, now_ms, clock.wall_ms()
        )
        self.targets = target_side.TargetSide(
            self.quarantine, rng, not_run_header.lower(), self.memory
        )
        self.entry = entries.Entry(
            settings.host,
            settings.domain,
            ledger=self.ledger,
            quarantine=self.quarantine,
            targets=self.targets,
            rng=rng,
            access=accesses.Access(
                key_lease.KeyLease(settings.key_revocation_ms)
            ),
        )
        self.key_leases = key_leases.KeyLeases(self)
        self.token_asks = token_asks.TokenAsks(self)
        self.load_reporter = load_reports.LoadReporter(self)
        self.config_lag = config_lag.ConfigLag(self)
        self.entry.retry_budgets.max_ratio = settings.retry_ratio
        self.entry.placement.large_bytes = bodies.large_from(
            settings.link_mbps
        )
        self.entry.placement.cost_per_kib = settings.crossing_cost
        self.announced = announcements.Announcements(settings.lease_ms)
        self.collectors: dict[str, evidences.Collector] = {}
        self.version_comparisons: dict[str, comparisons.VersionComparison] = {}
        self.next_halt_check_ms = 0
        self.processing_times_due_ms = 0
        self.route_service: dict[str, str] = {}
        self.shutdown: shutdowns.Shutdown | None = None
        self.targets_withdrawn = False
        self.requests_by_origin: dict[str, set[int]] = {}
        self.records_dirty = False
        self.spending_log = spendings.SpendingLog()
        self.relay = relays.Relay(settings.known_controls, driver.request_send)

    # Effects

    def execute(self, effect: typing.Any) -> None:
        """Execute one effect."""
        execute(effect, self)

    def now_us(self) -> int:
        """Return the clock's time in microseconds."""
        return self.clock.now_us()

    # Configuration and fleet

    def put_in_force(self, items: item_store.Items) -> None:
        """Replace the whole configuration in one step."""
        table = routing.RouteTable(items, self.entry.placement.table)
        self.entry.put_in_force(table)
        self.route_service = {
            route.name: route.service_name for route in table.routes
        }
        self.targets.keep_routes(self.route_service)
        self.targets.set_cold_limits(
            self._cold_limits(table), self.clock.now_ms()
        )
        self.targets.set_account_weights(table.accounts.weights())
        self.records_changed()
        self._apply_evacuation(table)
        self._update_collectors(table)
        if table.limits is not None:
            self.driver.limit_callers(table.limits)
        self.driver.note(
            common.Note("config.in_force", {"revision": items.revision})
        )
        self.perform(
            self.entry.start_pending(self.clock.now_ms(), self.now_us())
        )

    def _cold_limits(
        self, table: routing.RouteTable
    ) -> dict[str, warmups.Limit]:
        settings = self.settings
        limits = {
            name: warmups.Limit.from_service(
                service, settings.cold_overage, settings.cold_slack
            )
            for name, service in table.services.items()
        }
        return {name: limit for name, limit in limits.items() if limit}

    def _apply_evacuation(self, table: routing.RouteTable) -> None:
        """Stop or resume the use of this host's targets with their domain."""
        evacuated = self.settings.domain in table.excluded.domains
        if evacuated == self.targets.evacuated:
            return
        event = "evacuation.begun" if evacuated else "evacuation.ended"
        self.driver.note(
            common.Note(
                event,
                {
                    "domain": self.settings.domain,
                    "revision": table.revision,
                    "running": len(self.targets.running),
                },
            )
        )
        self.perform(self.targets.evacuate(evacuated, self.clock.now_ms()))

    def records_changed(self) -> None:
        """Update routing from the hosts' records."""
        self.records_dirty = False
        records = self.node.members.records
        self.entry.records_changed(records, self.clock.now_ms())
        self.targets.origins.hosts = attribution.hosts_by_services(
            [target.service_name for target in record.targets or ()]
            for record in records.present()
        )
        if self.settings.retry_slack:
            # Unreachable hosts count too: they may be partitioned and still
            # spend. One more host may have joined and not be known here yet.
            hosts = len(records.by_host) + 1
            reserve = self.settings.retry_slack / hosts
            self.entry.retry_budgets.set_reserve(reserve)

    def reconfigure(self, settings: setting_store.ProxySettings) -> None:
        """Apply changed settings."""
        self.settings = settings
        self.entry.incoming.access.lease.revocation_ms = (
            settings.key_revocation_ms
        )
        self.node.overlay.set_configured(settings.known_controls)
        self.records_dirty = True

    def _update_collectors(self, table: routing.RouteTable) -> None:
        for service, shares in table.shares.items():
            collector = self.collectors.get(service)
            if not shares.move_id:
                self.collectors.pop(service, None)
                self.version_comparisons.pop(service, None)
                self.entry.placement.halted.pop(service, None)
            elif collector is None or collector.move_id != shares.move_id:
                self._begin_collecting(service, shares)
            else:
                collector.has_all_traffic = all(
                    share.version == collector.new_version
                    for share in shares.shares
                    if share.permille
                )

    def _begin_collecting(self, service: str, shares: messages.Shares) -> None:
        self.entry.placement.halted.pop(service, None)
        ordered = sorted(shares.shares, key=lambda share: -share.permille)
        self.collectors[service] = evidences.Collector(
            shares.move_id,
            self.settings.host,
            self.node.members.record.incarnation,
            ordered[-1].version,
        )
        parameters = move_parameters.MoveParameters()
        self.version_comparisons[service] = comparisons.VersionComparison(
            ordered[0].version,
            ordered[-1].version,
            threshold=comparisons.threshold_for(
                parameters.false_alarms / HALT_CHECK_PROXIES,
                HALT_CHECK_WINDOWS,
            ),
            tolerance=parameters.tolerance,
        )

    def observe(self, effect: request_effects.Observe) -> None:
        """Count an answer as evidence if its service is being moved.

        A version is judged by its processing time, without the wait for a
        slot. That wait differs between versions because their slots are spread
        over failure domains, and a good version that is briefly short of slots
        would be rolled back.
        """
        service = self.route_service.get(effect.route, "")
        collector = self.collectors.get(service)
        if collector is not None:
            key = evidences.TallyKey(
                effect.route, effect.version, effect.domain
            )
            collector.observe(key, effect.run_us, effect.failed, effect.cold)
        self.driver.observe(effect)

    def _halt_bad_versions(self, now_ms: int) -> None:
        """Stop sending to a bad version on this proxy's evidence alone.

        The leader may be down or partitioned when a version turns bad. A halt
        only ever reduces traffic; only the leader restores it.
        """
        if now_ms < self.next_halt_check_ms:
            return
        self.next_halt_check_ms = now_ms + HALT_CHECK_INTERVAL_MS
        for service, comparison in self.version_comparisons.items():
            collector = self.collectors[service]
            verdict = comparison.add(collector.take_window())
            if verdict is None or collector.halted:
                continue
            collector.halted = True
            collector.changed.update(collector.counts)
            self.entry.placement.halted[service] = frozenset(
                (comparison.new_version,)
            )
            self.driver.note(
                common.Note(
                    "version.halted",
                    {
                        "service": service,
                        "version": comparison.new_version,
                        "why": str(verdict),
                    },
                    "warning",
                )
            )

    def _report(self, now_ms: int) -> None:
        report_peer = self.node.report_peer
        if not report_peer:
            return
        hosts = len(self.node.members.records.by_host)
        for collector in self.collectors.values():
            report = collector.report(now_ms, hosts)
            if report is not None:
                self.driver.link_send(report_peer, report)

    # Links

    def link_up(self, host: str, hello: messages.Hello, served: bool) -> None:
        """Handle a subscribed link that was established."""
        self.config_lag.links_opened += 1
        super().link_up(host, hello, served)

    def link_message(self, host: str, message: typing.Any) -> None:
        """Handle a message from a subscribed link."""
        match message:
            case messages.CrashNotice():
                self._on_crash_notice(host, message)
            case messages.EvidenceReport():
                self._forward_evidence(host, message)
            case messages.DomainLoads():
                loads = self.entry.placement.domain_loads
                loads.hear(message, self.clock.now_ms())
            case messages.RevisionQuery():
                self.key_leases.ask(host, message)
            case messages.RevisionReply():
                self._on_revision_reply(message)
            case messages.AnnouncementFloors():
                self._restore_floors(message.floors or [])
            case _:
                self.perform(
                    self.node.receive(host, message, self.clock.now_ms())
                )

    def _restore_floors(
        self, floors: list[messages.AnnouncementFloor]
    ) -> None:
        """Use what this host acknowledged before its process restarted.

        An announcement from before a target's end may still arrive. Without
        this it would bring the target back until its lease ends.
        """
        now_ms = self.clock.now_ms()
        for name in self.announced.restore_floors(floors, now_ms):
            self.drop_target(name, "acknowledged as gone before a restart")
        self._publish_targets(now_ms)

    def _on_revision_reply(self, reply: messages.RevisionReply) -> None:
        self.key_leases.on_reply(reply)
        self.perform(
            self.entry.start_pending(self.clock.now_ms(), self.now_us())
        )

    def _on_crash_notice(
        self, source: str, notice: messages.CrashNotice
    ) -> None:
        if self.quarantine.receive(notice, self.clock.now_ms()):
            self._flood(notice, source)

    def _flood(self, notice: messages.CrashNotice, source: str) -> None:
        for host in self.node.links:
            if host != source:
                self.driver.link_send(host, notice)

    def _forward_evidence(
        self, source: str, report: messages.EvidenceReport
    ) -> None:
        uplink = self.node.overlay.uplink
        if uplink != source:
            self.driver.link_send(uplink, report)

    # Request links

    def request_message(self, origin: str, message: typing.Any) -> None:
        """Handle a message from a request link."""
        receive(message, self, origin)

    def requests_lost(self, unsent: list[int], lost: list[int]) -> None:
        """Handle the requests in flight on a request link that broke."""
        now_ms, now_us = self.clock.now_ms(), self.now_us()
        for request_id in unsent:
            self.perform(self.entry.on_unsent(request_id, now_ms, now_us))
        for request_id in lost:
            self.perform(self.entry.on_lost(request_id, now_ms, now_us))

    def set_peer_unresponsive(self, host: str, unresponsive: bool) -> None:
        """Handle a peer that became unresponsive, or responds again."""
        now_ms, now_us = self.clock.now_ms(), self.now_us()
        self.perform(
            self.entry.set_unresponsive(host, unresponsive, now_ms, now_us)
        )

    def origin_lost(self, origin: str) -> None:
        """Cancel the requests of a lost entry proxy.

        Nobody waits for their answers.
        """
        request_ids = self.requests_by_origin.pop(origin, set())
        now_ms = self.clock.now_ms()
        self.perform(self.targets.on_entry_lost(request_ids, now_ms))

    def forward(self, effect: request_effects.Forward) -> None:
        """Send a request to its target's proxy, which may be this one."""
        request = effect.request
        if effect.host == self.settings.host:
            self.perform(
                self.targets.on_request(
                    target_side.LOCAL, request, self.clock.now_ms()
                )
            )
            return
        if not self.driver.request_send(effect.host, effect.address, request):
            self.requests_lost([request.request_id], [])

    def request_send(
        self, host: str, address: str, message: typing.Any
    ) -> None:
        """Send on a peer's request link, or to this process itself."""
        if host == self.settings.host:
            receive(message, self, target_side.LOCAL)
            return
        record = self.node.members.records.get(host)
        if not address and record is not None:
            address = record.address
        self.driver.request_send(host, address, message)

    def reply(self, origin: str, message: typing.Any) -> None:
        """Reply to the origin of a message."""
        if isinstance(message, messages.Answer):
            request_ids = self.requests_by_origin.get(origin)
            if request_ids is not None:
                request_ids.discard(message.request_id)
        if origin == target_side.LOCAL:
            receive(message, self, target_side.LOCAL)
        else:
            self.driver.reply(origin, message)

    # Callers

    def call(self, call: calls.Call) -> None:
        """Start a caller's request."""
        self.perform(
            self.entry.start(call, self.clock.now_ms(), self.now_us())
        )

    def may_overlap(self, host: str, path: str, method: str) -> bool:
        """Return whether a request may run beside others of its caller."""
        return self.entry.incoming.may_overlap(host, path, method)

    def caller_disconnected(self, call_id: int) -> None:
        """Cancel the call of a caller that disconnected."""
        self.perform(self.entry.cancel(call_id, self.clock.now_ms()))

    # Targets

    def announce(self, announcement: announcements.Announcement) -> None:
        """Handle a target's announcement or renewal."""
        now_ms = self.clock.now_ms()
        for name in self.announced.replaced_by(announcement):
            self.drop_target(name, "replaced by another on its port")
        if self.announced.is_stale(announcement, now_ms):
            return
        changed = self.announced.put(announcement, now_ms)
        released = self.targets.put_target(
            announcement.record,
            announcement.port,
            now_ms,
            announcement.warmup_left_ms,
        )
        if changed:
            self._publish_targets(now_ms)
            self.driver.note(
                common.Note(
                    "target.announced",
                    {
                        "target": announcement.record.name,
                        "version": announcement.record.version,
                        "state": announcement.record.state,
                    },
                )
            )
        # Other proxies learn that the target drains before they receive its
        # refused requests.
        self.perform(released)

    def deregister_target(self, name: str, incarnation: int) -> bool:
        """Drop a target that announced the end of this incarnation.

        Returns:
            False if the announcement is outdated: the target has restarted.
        """
        accepted = self.announced.deregister(
            name, incarnation, self.clock.now_ms(), self.clock.wall_ms()
        )
        if not accepted:
            return False
        if not self.drop_target(name, "deregistered"):
            self._publish_targets(self.clock.now_ms())
        return True

    def drop_target(self, name: str, why: str) -> bool:
        """Remove a target; return whether it was known."""
        now_ms = self.clock.now_ms()
        if not self.announced.remove(name):
            return False
        self._publish_targets(now_ms)
        self.perform(self.targets.remove_target(name, now_ms))
        self.driver.note(
            common.Note("target.left", {"target": name, "why": why})
        )
        return True

    def _publish_targets(self, now_ms: int) -> None:
        names = (
            [] if self.targets_withdrawn else sorted(self.announced.by_name)
        )
        records = [
            self.targets.advertised_record(name, now_ms) for name in names
        ]
        sound = [record for record in records if self._can_publish(record)]
        floors = self.announced.published_floors(now_ms)
        self.perform(self.node.set_targets(sound, now_ms, floors))

    def _can_publish(self, record: messages.TargetRecord) -> bool:
        """Return whether other processes can be told of a target.

        All targets of a host share one record: with one that no frame can
        hold, none of them would be known elsewhere.
        """
        if sendable.can_send(record):
            return True
        self.driver.note(
            common.Note("target.unsendable", {"target": record.name}, "error")
        )
        return False

    def _publish_target_changes(self, now_ms: int) -> None:
        """Publish changed states, processing times and rate limits."""
        times_due = now_ms >= self.processing_times_due_ms
        if times_due and self.targets.has_figures_to_report():
            self.processing_times_due_ms = now_ms + PROCESSING_TIME_INTERVAL_MS
            self._publish_targets(now_ms)
        elif self.targets.has_state_changed(now_ms):
            self._publish_targets(now_ms)

    def target_warmup(self, target: str, left_ms: int) -> None:
        """Handle a local target's reported remaining warm-up time."""
        self.targets.on_warmup(target, left_ms, self.clock.now_ms())

    def target_answered(
        self,
        answer: messages.Answer,
        notice: notices.Notice = notices.NONE,
    ) -> None:
        """Handle a local target's complete answer."""
        now_ms = self.clock.now_ms()
        self.perform(self.targets.on_target_answer(answer, now_ms, notice))

    def target_unsent(self, request_id: int) -> None:
        """Handle a request that did not reach its local target.

        The lease of a dead target lasts for seconds more. Requests would be
        sent to it, refused and retried until the service's retry budget is
        spent and callers see refusals. The target is therefore dropped
        immediately; if it is alive, its next renewal adds it again within a
        second.
        """
        entry = self.targets.running.get(request_id)
        self.perform(
            self.targets.on_target_unsent(request_id, self.clock.now_ms())
        )
        if entry is not None:
            self.drop_target(entry.target, "refuses connections")

    def target_checked(self, target: str, accepts: bool) -> None:
        """Handle the result of a local target's connection check."""
        self.perform(self.targets.on_target_checked(target, accepts))

    def target_silent(self, request_id: int, waited_ms: int) -> None:
        """Handle a request whose connection may have gone silent."""
        self.perform(self.targets.on_target_silent(request_id, waited_ms))

    def target_disconnected(self, request_id: int) -> None:
        """Handle a local target's connection that broke during a request."""
        self.perform(
            self.targets.on_target_disconnected(
                request_id, self.clock.now_ms()
            )
        )

    # Time

    def tick(self) -> None:
        """Run periodic work."""
        now_ms, now_us = self.clock.now_ms(), self.now_us()
        self.perform(self.node.tick(now_ms))
        self.key_leases.tick()
        self.token_asks.tick()
        self.load_reporter.tick(now_ms)
        self.config_lag.tick(now_ms)
        if self.records_dirty:
            self.records_changed()
        for name in self.announced.expired(now_ms):
            self.drop_target(name, "lease expired")
        self.perform(self.targets.tick(now_ms))
        self.perform(self.entry.tick(now_ms, now_us))
        pull = messages.LedgerPull(
            self.settings.host, self.node.members.record.incarnation
        )
        for host in self.ledger.tick(now_ms, self.node.ready):
            self.request_send(host, "", pull)
        self.perform(self.ledger.join_pulls(now_ms))
        self.perform(self.ledger.reply_to_held(now_ms))
        self._halt_bad_versions(now_ms)
        self._report(now_ms)
        self._publish_target_changes(now_ms)
        self.perform(
            self.spending_log.report(self.entry.retry_budgets.budgets, now_ms)
        )
        self._withdraw_targets_if_due(now_ms)
        self.relay.tick(now_ms)

    # Operators

    @property
    def ready(self) -> bool:
        """Return whether callers are served here."""
        return self.node.ready and self.shutdown is None

    def submit(
        self, command: messages.Command, reply: operators.OnReply
    ) -> None:
        """Forward an operator's command to a control host."""
        self.relay.submit(command, reply, self.clock.now_ms())

    def ask(self, query: messages.Query, reply: operators.OnReply) -> None:
        """Forward an operator's query to a control host."""
        self.relay.ask(query, reply, self.clock.now_ms())

    def gauges(self) -> dict[str, float]:
        """Return the current gauge values for metrics."""
        return {
            "revision": self.node.config.in_force.revision,
            "incarnation": self.node.members.record.incarnation,
            "started_ms": self.started_ms,
            "revision_floor": self.node.config.floor.revision,
            "revision_served": self.config_lag.served_revision,
            "revision_newest": self.config_lag.newest,
            "calls_waiting": len(self.entry.live),
            "targets_known": len(self.entry.placement.endpoints.by_key),
            "running_here": len(self.targets.running),
            "bodies_waiting": len(self.targets.incoming_bodies.waiting),
            "body_wait_ms": self.targets.incoming_bodies.expected_ms(
                self.clock.now_ms()
            ),
            "held_bytes": self.memory.total,
            "held_limit": self.memory.limit,
            "ready": float(self.ready),
            "evacuated": float(self.targets.evacuated),
        }

    def families(self) -> list[exposition.Family]:
        """Return metrics of retries, slots and denied requests."""
        repeats = budget_metrics.families(self.entry.retry_budgets.budgets)
        slots = slot_metrics.families(self.targets.targets.values())
        denied = account_metrics.denial_families(self.entry.incoming.access)
        return repeats + slots + denied

    # Leaving

    def leave(self) -> None:
        """Start a graceful shutdown.

        The targets of this host keep running and stay reachable through this
        proxy while callers still use it. Otherwise a rolling restart would
        make each host's targets unavailable for the whole linger time.
        """
        if self.shutdown is not None:
            return
        now_ms = self.clock.now_ms()
        self.shutdown = shutdowns.Shutdown.from_settings(self.settings, now_ms)
        self.driver.note(
            common.Note(
                "proxy.leaving",
                {
                    "calls": len(self.entry.live),
                    "running": len(self.targets.running),
                },
            )
        )
        # The entry core first: what the targets refuse goes to other hosts.
        self.perform(self.entry.leave(self.shutdown.answer_ms, now_ms))
        self.perform(self.targets.leave(self.shutdown.answer_ms, now_ms))
        if not self.settings.linger_ms:
            self.refuse_calls()
        self._withdraw_targets_if_due(now_ms)

    def _withdraw_targets_if_due(self, now_ms: int) -> None:
        """Withdraw this host's targets shortly before the shutdown ends.

        A record without targets stops other proxies from sending more.
        Requests that they sent before still run.
        """
        if self.targets_withdrawn or self.shutdown is None:
            return
        if now_ms >= self.shutdown.withdraw_ms:
            self.targets_withdrawn = True
            self._publish_targets(now_ms)
            self.perform(self.node.leave(now_ms))

    def refuse_calls(self) -> None:
        """Refuse new requests as not run; running ones are finished."""
        self.entry.incoming.draining = True
        self.targets.leaving = True

    @property
    def idle(self) -> bool:
        """Return whether no call is waiting and no request is running."""
        waiting = self.entry.live or self.entry.incoming.held.by_id
        return not waiting and not self.targets.running

    def open_requests(self) -> list[common.Note]:
        """Return a log line for each request that has no answer yet."""
        return open_requests.describe(
            self.entry, self.targets, self.clock.now_ms()
        )

    def may_exit(self, sending: bool = False) -> bool:
        """Return whether a shutdown is complete or its time is up.

        Args:
            sending: Whether requests or answers are still in transfer.
        """
        return self.shutdown.may_exit(
            self.clock.now_ms(), idle=self.idle, sending=sending
        )

    def answer_operators(self) -> None:
        """Answer the operators who still wait, before this process exits."""
        self.relay.answer_all("this process is leaving")

    def admit(self, hello: messages.Hello) -> int:
        """Return 0 to accept a peer, else its retry delay in ms."""
        if self.shutdown is not None:
            return LEAVING_RETRY_MS
        return super().admit(hello)


@functools.singledispatch
def execute(effect: typing.Any, process: ProxyProcess) -> None:
    """Execute one effect."""
    _fleet_process.execute(effect, process)


@execute.register
def _(effect: fleet_effects.PutInForce, process: ProxyProcess) -> None:
    process.put_in_force(effect.items)


@execute.register
def _(effect: fleet_effects.RecordsChanged, process: ProxyProcess) -> None:
    # Routing is updated at the next tick: when many hosts return at the same
    # time, the endpoints would otherwise be rebuilt for every record.
    process.records_dirty = True


@execute.register
def _(effect: request_effects.Finish, process: ProxyProcess) -> None:
    process.driver.finish(effect.final)


@execute.register
def _(effect: request_effects.Forward, process: ProxyProcess) -> None:
    process.forward(effect)


@execute.register
def _(effect: request_effects.Send, process: ProxyProcess) -> None:
    process.request_send(effect.host, effect.address, effect.message)


@execute.register
def _(effect: request_effects.AskTokens, process: ProxyProcess) -> None:
    process.token_asks.send(effect.ask)


@execute.register
def _(effect: request_effects.Dispatch, process: ProxyProcess) -> None:
    process.driver.dispatch(effect)


@execute.register
def _(effect: request_effects.CheckTarget, process: ProxyProcess) -> None:
    process.driver.check_target(effect)


@execute.register
def _(effect: request_effects.CheckWarmup, process: ProxyProcess) -> None:
    table = process.entry.placement.table
    service = table.services.get(effect.service) if table else None
    if service is not None and service.health_path:
        process.driver.check_warmup(effect, service.health_path)


@execute.register
def _(effect: request_effects.Abort, process: ProxyProcess) -> None:
    process.driver.abort(effect.dispatch_id)


@execute.register
def _(effect: request_effects.Reply, process: ProxyProcess) -> None:
    process.reply(effect.origin, effect.answer)


@execute.register
def _(effect: request_effects.RepeatArrived, process: ProxyProcess) -> None:
    process.reply(effect.origin, messages.RepeatArrived(effect.request_id))


@execute.register
def _(effect: joining.ReplyToClaim, process: ProxyProcess) -> None:
    process.reply(effect.origin, effect.reply)


@execute.register
def _(effect: bodies.ChunkRequest, process: ProxyProcess) -> None:
    process.reply(effect.origin, effect.pull)


@execute.register
def _(effect: request_effects.BroadcastNotice, process: ProxyProcess) -> None:
    process.quarantine.receive(effect.notice, process.clock.now_ms())
    process._flood(effect.notice, "")


@execute.register
def _(effect: request_effects.ReleaseMemory, process: ProxyProcess) -> None:
    effect.holding.holder.release(effect.holding)


@execute.register
def _(effect: request_effects.Observe, process: ProxyProcess) -> None:
    process.observe(effect)


@functools.singledispatch
def receive(message: typing.Any, process: ProxyProcess, origin: str) -> None:
    """Handle a message from a request link; unknown ones are ignored."""


@receive.register
def _(message: messages.Request, process: ProxyProcess, origin: str) -> None:
    process.requests_by_origin.setdefault(origin, set()).add(
        message.request_id
    )
    process.perform(
        process.targets.on_request(origin, message, process.clock.now_ms())
    )


@receive.register
def _(message: messages.Answer, process: ProxyProcess, origin: str) -> None:
    process.perform(
        process.entry.on_answer(
            message, process.clock.now_ms(), process.now_us()
        )
    )


@receive.register
def _(
    message: messages.RepeatArrived, process: ProxyProcess, origin: str
) -> None:
    process.entry.on_repeat_arrived(message.request_id)


@receive.register
def _(
    message: messages.TokenReply, process: ProxyProcess, origin: str
) -> None:
    process.token_asks.on_reply(message)


@receive.register
def _(message: messages.BodyPull, process: ProxyProcess, origin: str) -> None:
    process.perform(process.entry.on_body_pull(message))


@receive.register
def _(message: messages.BodyPiece, process: ProxyProcess, origin: str) -> None:
    process.perform(
        process.targets.on_body_chunk(message, process.clock.now_ms())
    )


@receive.register
def _(message: messages.Cancel, process: ProxyProcess, origin: str) -> None:
    process.perform(
        process.targets.on_cancel(message.request_id, process.clock.now_ms())
    )


@receive.register
def _(
    message: messages.DeadlineUpdate, process: ProxyProcess, origin: str
) -> None:
    process.perform(
        process.targets.on_deadline_update(message, process.clock.now_ms())
    )


@receive.register
def _(message: messages.Claim, process: ProxyProcess, origin: str) -> None:
    now_ms = process.clock.now_ms()
    process.perform(process.ledger.receive_claim(origin, message, now_ms))


@receive.register
def _(
    message: messages.ClaimReply, process: ProxyProcess, origin: str
) -> None:
    process.perform(
        process.entry.on_claim_reply(
            message, process.clock.now_ms(), process.now_us()
        )
    )


@receive.register
def _(message: messages.ClaimDone, process: ProxyProcess, origin: str) -> None:
    process.ledger.done(message)


@receive.register
def _(
    message: messages.ClaimRelease, process: ProxyProcess, origin: str
) -> None:
    process.ledger.release(message)


@receive.register
def _(
    message: messages.LedgerPull, process: ProxyProcess, origin: str
) -> None:
    process.reply(origin, process.ledger.pull(message, process.clock.now_ms()))


@receive.register
def _(
    message: messages.LedgerPush, process: ProxyProcess, origin: str
) -> None:
    now_ms = process.clock.now_ms()
    process.ledger.push(message, now_ms)
    process.perform(process.ledger.reply_to_held(now_ms))


@receive.register
def _(
    message: messages.CommandReply, process: ProxyProcess, origin: str
) -> None:
    process.relay.on_reply(message)


@receive.register
def _(
    message: messages.QueryReply, process: ProxyProcess, origin: str
) -> None:
    process.relay.on_reply(message)
