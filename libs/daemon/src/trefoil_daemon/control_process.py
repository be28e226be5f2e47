"""The engine of ``trefoilroute-control``: its cores, without sockets."""

import functools
import random
import typing

from trefoil_fleet import effects as fleet_effects
from trefoil_fleet import items as item_store
from trefoil_fleet import node as nodes
from trefoil_language import statements
from trefoil_model import clock as clocks
from trefoil_model import effects as common
from trefoil_model import errors
from trefoil_moves import command_results
from trefoil_moves import knobs as move_parameters
from trefoil_moves import state as states
from trefoil_quorum import effects as quorum_effects
from trefoil_quorum import raft as rafts
from trefoil_requests import quarantine as quarantines
from trefoil_settings import settings as setting_store
from trefoil_store import disk as disks
from trefoil_store import store as stores
from trefoil_wire import commands as log_commands
from trefoil_wire import frames
from trefoil_wire import messages

from . import _fleet_process
from . import account_metrics
from . import durability
from . import evacuations
from . import exposition
from . import facade
from . import floor_confirmations
from . import identities
from . import leading_moves
from . import load_reports
from . import operators
from . import queries
from . import quota_keepers
from . import revision_answers

# How often a host asks to join. Hosts that ask at the same time are added one
# after the other: a change of voters must be committed before the next.
JOIN_INTERVAL_MS = 250
MAX_HOPS = 3
# After this long without a message from a leader, a process assumes that it
# may have been removed and asks to join; longer than any election.
REJOIN_AFTER_MS = 3000
# A leader sends a heartbeat every 150 ms; six in a row are not lost.
LEADER_TIMEOUT_MS = 1000
# Hosts that start together are voters within 1.5 s. A host that is still
# missing after this time-out may be down, and the others accept the first
# configuration without it.
FOUNDING_TIMEOUT_MS = 3000
EVACUATE_CODE = frames.CODES[messages.EvacuateDomain]


ReadCallbacks = tuple[
    typing.Callable[[], typing.Any], typing.Callable[[], typing.Any]
]


def _do_nothing() -> None:
    """Do nothing."""


class ControlProcess(_fleet_process.FleetProcess):
    """The engine of one control process.

    Args:
        settings: Its settings.
        peers_address: Address where other processes connect to it.
        driver: Does the input and output of effects.
        clock: The runtime's clock.
        rng: Its random generator.
        disk: Its data folder.
    """

    def __init__(
        self,
        settings: setting_store.ControlSettings,
        *,
        peers_address: str,
        driver: facade.Driver,
        clock: clocks.Clock,
        rng: random.Random,
        disk: disks.Disk,
    ) -> None:
        self.settings = settings
        self.rng = rng
        now_ms = clock.now_ms()
        self.started_ms = now_ms
        if settings.found and settings.host in settings.founders:
            if disk.read(stores.HARD_STATE_FILE) is None:
                identities.create_founder_store(
                    disk, settings.host, settings.founders
                )
        self.disk = disk
        self.durability = durability.Durability()
        self._open_agreement(driver, now_ms)
        record = messages.HostRecord(
            host=settings.host,
            domain=settings.domain,
            region=settings.region,
            address=peers_address,
            incarnation=clock.wall_ms(),
            sequence=1,
            state=messages.HostState.ALIVE,
            targets=[],
        )
        node = nodes.Node(
            record,
            control=True,
            seeds={},
            controls=settings.known_controls,
            now_ms=now_ms,
            rng=rng,
        )
        super().__init__(node, driver, clock)
        self.node.config.publish(self.state.items.copy(), now_ms)
        self.quarantine = quarantines.Quarantine()
        self.moves = leading_moves.LeadingMoves(
            self, move_parameters.MoveParameters.from_settings(settings)
        )
        self.evacuations = evacuations.EvacuationCalls(self)
        self.commands = operators.Waiters()
        self.queries = operators.Waiters()
        self.in_log: dict[str, int] = {}
        self.reads: dict[int, ReadCallbacks] = {}
        self.read_number = 0
        self.join_at_ms = now_ms
        self.routed_to: dict[str, str] = {}
        self.published_controls_number = 0
        self.confirmations = floor_confirmations.FloorConfirmations(self)
        self.revision_answers = revision_answers.RevisionAnswers(self)
        self.quotas = quota_keepers.QuotaKeepers(self)
        self.loads = load_reports.LoadRelay(self)
        self.unpublished = False

    def _open_agreement(self, driver: facade.Driver, now_ms: int) -> None:
        """Load the agreement core from the disk."""
        settings = self.settings
        self.store, new_identity_reason = identities.open_store(
            self.disk, settings.host, self.rng
        )
        if new_identity_reason:
            driver.note(
                common.Note(
                    "store.new_identity",
                    {"why": new_identity_reason},
                    "warning",
                )
            )
        self.state = states.State()
        if self.store.snapshot is not None:
            self.state = states.State.from_bytes(self.store.snapshot.state)
        self.raft = rafts.Raft(
            self.store.hard_state.identity,
            voters=[
                identities.first_identity(name) for name in settings.voters
            ],
            hard_state=self.store.hard_state,
            snapshot=self.store.snapshot,
            entries=self.store.entries,
            now_ms=now_ms,
            rng=self.rng,
            heartbeat_ms=settings.heartbeat_ms,
            election_ms=settings.election_ms,
            min_voters=2 * settings.lost_disks + 1 if settings.join else 0,
        )

    def reconfigure(self, settings: setting_store.ControlSettings) -> None:
        """Apply changed settings."""
        self.settings = settings
        self.node.overlay.set_configured(settings.known_controls)

    def gauges(self) -> dict[str, float]:
        """Return the current values of the gauges, by metric name."""
        return {
            "revision": self.state.items.revision,
            "term": self.raft.term,
            "leads": float(self.raft.is_leader),
            "voters": len(self.raft.voters),
            "commit": self.raft.commit,
            "moves_running": len(self.state.running_moves()),
            "evacuations": len(self.state.items.all(item_store.EVACUATION)),
            "disk_refuses": float(self.durability.failed),
        }

    def families(self) -> list[exposition.Family]:
        """Return the metrics of accounts in this failure domain."""
        return account_metrics.keeper_families(self.quotas.keeper)

    def execute(self, effect: typing.Any) -> None:
        """Execute one effect."""
        execute(effect, self)

    def perform(self, effects: list[typing.Any]) -> None:
        """Execute effects in order, up to the first write that fails.

        Later effects, in this list and in the lists whose execution led to
        this one, may acknowledge the failed write and must not be executed.
        """
        failed_writes = self.durability.failed_writes
        for effect in effects:
            try:
                self.execute(effect)
            except errors.DiskWriteError as error:
                self._suspend(str(error))
            if self.durability.failed_writes != failed_writes:
                return
        if self.unpublished:
            self._publish()

    # Links

    def link_up(self, host: str, hello: messages.Hello, served: bool) -> None:
        """Handle a subscribed link that was established."""
        super().link_up(host, hello, served)
        if hello.control:
            self.raft.on_peer_reachable(self.clock.now_ms())

    def link_message(self, host: str, message: typing.Any) -> None:
        """Handle a message from a subscribed link."""
        receive(message, self, host)

    def request_message(self, origin: str, message: typing.Any) -> None:
        """Handle a command or query from a request link."""
        match message:
            case messages.CommandRequest():
                self.submit(
                    message.command,
                    lambda reply: self.driver.reply(origin, reply),
                )
            case messages.Query():
                self.ask(
                    message, lambda reply: self.driver.reply(origin, reply)
                )
            case messages.TokenAsk():
                self.quotas.on_ask(origin, message)

    def requests_lost(self, unsent: list[int], lost: list[int]) -> None:
        """Ignore: a control process sends no requests."""

    def set_peer_unresponsive(self, host: str, unresponsive: bool) -> None:
        """Ignore: a control process sends no requests."""

    def origin_lost(self, origin: str) -> None:
        """Ignore: replies to a lost connection are dropped."""

    # Commands

    def submit(
        self,
        command: messages.Command,
        reply: operators.OnReply,
        hops: int = 0,
    ) -> None:
        """Run an operator's command, or forward it to the leader.

        If its outcome is not agreed in time, the reply is ``pending`` rather
        than "not run": a command that was forwarded or appended may still
        run.

        Args:
            command: The command.
            reply: Receives the reply.
            hops: How often the command was forwarded.
        """
        known = self.state.recorded_outcome(command)
        if known is not None:
            reply(operators.reply_from(known))
            return
        refusal = self._local_refusal(command)
        if refusal is not None:
            reply(operators.refused(command.command_id, refusal))
            return
        if self.raft.is_leader:
            self._submit_as_leader(command, reply)
            return
        if hops >= MAX_HOPS:
            why = "no leader is known here"
            reply(operators.pending(command.command_id, why))
            return
        if self._wait_for(command, reply):
            self._forward(command, hops)

    def _local_refusal(
        self, command: messages.Command
    ) -> command_results.CommandResult | None:
        """Return why this host's settings make a command invalid, or None.

        Without this check, a mistyped failure domain would be acknowledged
        while the intended one continues to receive requests.
        """
        domains = self.settings.domains
        if command.kind != EVACUATE_CODE or not domains:
            return None
        try:
            body = frames.unpack_any(command.kind, command.body)
        except errors.FrameError:
            # The leader refuses it as malformed.
            return None
        if body.domain in domains:
            return None
        reason = f"there is no failure domain {body.domain}"
        cause = messages.Cause.INVALID
        return command_results.CommandResult(
            messages.Outcome.NOT_RUN, reason, cause
        )

    def _forward(self, command: messages.Command, hops: int) -> None:
        """Forward a command to the leader, if it is linked."""
        leader = rafts.process_name(self.raft.leader)
        if leader and leader in self.node.links:
            self.routed_to[command.command_id] = leader
            self.driver.link_send(
                leader, messages.CommandRequest(command, hops + 1)
            )

    def _forward_pending(self) -> None:
        """Send pending requests to the current leader if it lacks them.

        A leader that crashes or steps down loses its pending requests.
        Commands are identified by their ids and queries change nothing, so
        both may be sent twice. If they were not sent again, operators would
        get no answer after a change of leader until they repeat them.
        """
        if not self.queries.by_id and not self.commands.by_id:
            self.routed_to.clear()
            return
        leader = rafts.process_name(self.raft.leader)
        if not leader:
            return
        for waiter in self.queries.all():
            if self.routed_to.get(waiter.request.query_id) != leader:
                self._route_query(waiter.request)
        for waiter in self.commands.all():
            command = waiter.request
            if self.routed_to.get(command.command_id) != leader:
                if self.raft.is_leader:
                    self._propose_once(command)
                else:
                    self._forward(command, 0)

    def _submit_as_leader(
        self, command: messages.Command, reply: operators.OnReply
    ) -> None:
        command_id = command.command_id
        if command_id not in self.in_log:
            refusal = self.state.refusal(command)
            if refusal is not None:
                reply(operators.refused(command_id, refusal))
                return
        if self._wait_for(command, reply):
            self._propose_once(command)

    def _is_founding(self) -> bool:
        """Return whether the first configuration waits for more voters.

        Some hosts are founders and the others join later. A majority of the
        founders alone may be no more disks than the number that may be lost
        at the same time; a majority of all voters is at least one more.
        Waiting commands are retried on each tick.
        """
        if self.state.items.revision:
            return False
        if len(self.raft.voters) >= self.raft.min_voters:
            return False
        return self.clock.now_ms() < self.started_ms + FOUNDING_TIMEOUT_MS

    def _propose_once(self, command: messages.Command) -> None:
        if self._is_founding():
            return
        self.routed_to[command.command_id] = self.settings.host
        if command.command_id not in self.in_log:
            self.in_log[command.command_id] = 0
            self._propose(command)

    def _wait_for(
        self, command: messages.Command, reply: operators.OnReply
    ) -> bool:
        until_ms = self.clock.now_ms() + operators.COMMAND_TIMEOUT_MS
        added = self.commands.add(command.command_id, command, reply, until_ms)
        if not added:
            why = "too many commands wait"
            reply(operators.pending(command.command_id, why))
        return added

    def _propose(self, command: messages.Command) -> int:
        command.stamped_ms = max(self.clock.wall_ms(), self.state.clock_ms)
        index, effects = self.raft.propose(
            to_log_message(command), self.clock.now_ms()
        )
        self.perform(effects)
        return index

    def propose_own(self, body: typing.Any) -> int:
        """Append a decision of this leader; return the index of its entry."""
        kind, data = frames.pack_any(body)
        return self._propose(
            messages.Command(
                command_id="",
                operator_name=self.settings.host,
                issued_ms=self.clock.wall_ms(),
                kind=kind,
                body=data,
            )
        )

    def _answer_waiters(self, command_id: str) -> None:
        for waiter in self.commands.take(command_id):
            past = self.state.recorded_outcome(waiter.request)
            if past is not None:
                waiter.reply(operators.reply_from(past))

    def on_command_reply(self, reply: messages.CommandReply) -> None:
        """Pass the leader's reply on to those waiting for it."""
        for waiter in self.commands.take(reply.command_id):
            waiter.reply(reply)

    # Queries

    def ask(self, query: messages.Query, reply: operators.OnReply) -> None:
        """Answer an operator's query, or forward it to the leader.

        Args:
            query: The query.
            reply: Receives the reply.
        """
        until_ms = self.clock.now_ms() + operators.QUERY_TIMEOUT_MS
        if self.queries.add(query.query_id, query, reply, until_ms):
            self._route_query(query)

    def _route_query(self, query: messages.Query) -> None:
        """Answer a query if this process leads, else forward it."""
        query_id = query.query_id
        if self.raft.is_leader:
            self.routed_to[query_id] = self.settings.host
            self.read(
                lambda: self._answer_query(query_id, True),
                lambda: self.routed_to.pop(query_id, None),
            )
            return
        leader = rafts.process_name(self.raft.leader)
        hops = query.hops or 0
        if leader in self.node.links and hops < MAX_HOPS:
            self.routed_to[query_id] = leader
            subject = query.subject
            if query.kind == messages.QueryKind.DOCUMENT:
                subject = self.state.document_tag()
            forwarded = messages.Query(
                query_id, query.line, hops + 1, query.kind, subject
            )
            self.driver.link_send(leader, forwarded)

    def read(
        self,
        then: typing.Callable[[], typing.Any],
        failed: typing.Callable[[], typing.Any] = _do_nothing,
    ) -> None:
        """Confirm with a quorum that the state is the newest.

        Args:
            then: Called once it is confirmed.
            failed: Called if it cannot be confirmed.
        """
        self.read_number += 1
        self.reads[self.read_number] = (then, failed)
        self.perform(self.raft.read(self.read_number, self.clock.now_ms()))

    def _answer_query(self, query_id: str, confirmed: bool) -> None:
        for waiter in self.queries.take(query_id):
            waiter.reply(self._query_reply(waiter.request, confirmed))

    def _query_reply(
        self, query: messages.Query, confirmed: bool
    ) -> messages.QueryReply:
        statement, problem = statement_of(query)
        if statement is None:
            return messages.QueryReply(query.query_id, False, problem)
        if self._sender_holds_document(query):
            return messages.QueryReply(query.query_id, True, "", confirmed)
        context = queries.QueryContext(
            self.state,
            self.node,
            self.raft,
            self.clock.now_ms(),
            self.quotas.keeper,
            self.clock.boot_ms(),
        )
        body = queries.render(statement, context, confirmed=confirmed)
        return messages.QueryReply(query.query_id, True, body, confirmed)

    def _sender_holds_document(self, query: messages.Query) -> bool:
        """Return whether the sender holds the document that it asks for.

        If so, the body is left out of the reply. A document of hundreds of
        routes would otherwise be sent between failure domains each time that
        an operator reads it.
        """
        if query.kind != messages.QueryKind.DOCUMENT or not query.subject:
            return False
        return query.subject == self.state.document_tag()

    def on_query_reply(self, reply: messages.QueryReply) -> None:
        """Pass the leader's reply on to those waiting for it.

        The body is empty if this process holds the document itself.
        """
        for waiter in self.queries.take(reply.query_id):
            answer = reply
            if reply.ok and not reply.body:
                answer = self._query_reply(waiter.request, reply.confirmed)
            waiter.reply(answer)

    # Agreement

    def apply(self, entry: messages.Entry) -> None:
        """Apply a committed entry."""
        message = log_commands.decode(entry.command)
        if not isinstance(message, messages.CommandRequest):
            return
        command = message.command
        before = self.state.items.revision
        step_times = {m.move_id: m.step_ms for m in self.state.running_moves()}
        past = self.state.apply(entry.index, command)
        self.in_log.pop(command.command_id, None)
        if past is not None:
            self._answer_waiters(command.command_id)
            self._log_command(command, past)
        self.moves.on_step_applied(step_times)
        if self.state.items.revision != before:
            self.unpublished = True
        self._compact(entry.index)

    def _log_command(
        self, command: messages.Command, past: messages.PastCommand
    ) -> None:
        names = messages.Outcome._VALUES_TO_NAMES
        kind = frames.TYPES[command.kind].__name__
        self.driver.note(
            common.Note(
                "command.agreed",
                {
                    "id": command.command_id,
                    "operator": command.operator_name,
                    "kind": kind,
                    "outcome": names[past.outcome].lower(),
                    "reason": past.reason,
                },
            )
        )

    def _publish(self) -> None:
        """Publish the newest agreed configuration to the fleet.

        This is done once for all entries that are applied together: a
        starting process applies dozens, and the proxies need only the last.
        """
        self.unpublished = False
        self.quotas.put_in_force()
        self.perform(
            self.node.publish(self.state.items.copy(), self.clock.now_ms())
        )

    def _publish_controls(self, now_ms: int) -> None:
        """Publish the list of control hosts to the fleet."""
        raft = self.raft
        if raft.config_index > raft.commit:
            return
        number = raft.config_index + 1
        if number <= self.published_controls_number:
            return
        names = {rafts.process_name(i) for i in raft.voters + raft.learners}
        hosts = [self._control_host(name) for name in sorted(names)]
        known = [host for host in hosts if host is not None]
        if len(known) == len(hosts):
            self.published_controls_number = number
            controls = messages.ControlHosts(number, known)
            self.perform(self.node.update_controls(controls, now_ms))

    def _control_host(self, name: str) -> messages.ControlHost | None:
        record = self.node.members.record
        if name == self.settings.host:
            return messages.ControlHost(name, record.address, record.domain)
        domain = self.node.overlay.domains.get(name)
        if domain is None:
            return None
        address = self.node.overlay.controls.get(name, "")
        return messages.ControlHost(name, address, domain)

    def _compact(self, index: int) -> None:
        applied = index - self.raft.log.base_index
        if applied >= self.settings.snapshot_entries:
            self.perform(self.raft.compact(self.state.to_bytes(), index))

    def restore(self, snapshot: messages.Snapshot) -> None:
        """Replace the state with that of a snapshot."""
        self.state = states.State.from_bytes(snapshot.state)
        self._publish()

    # Disk

    def _suspend(self, why: str) -> None:
        """Leave the agreement until the disk accepts writes again.

        The others elect a leader as if this host had failed. Its proxies are
        informed that it has no leader and connect to another control host.
        """
        now_ms = self.clock.now_ms()
        self.driver.note(common.Note("store.failed", {"why": why}, "error"))
        self.durability.record_failure(now_ms)
        self.raft.retire()
        for callbacks in list(self.reads.values()):
            callbacks[1]()
        self.reads = {}
        self.routed_to = {}
        self._reset_leader_state()

    def _reopen_agreement(self, now_ms: int) -> None:
        """Load the agreement core and the state once more.

        The leader may still confirm the document that was held until then,
        and the reply would be filled in with the older one of the snapshot.
        """
        held = self.state.document_tag()
        self._open_agreement(self.driver, now_ms)
        if self.state.document_tag() == held:
            return
        for waiter in self.queries.take_all():
            waiter.reply(self._query_reply(waiter.request, False))

    def _retry_disk(self, now_ms: int) -> None:
        """Resume from the state on disk if it accepts writes again."""
        try:
            self._reopen_agreement(now_ms)
            self.store.save_hard_state(self.store.hard_state)
        except OSError:
            # The first failure was logged; retries are not.
            self.durability.record_failure(now_ms)
            self.raft.retire()
            return
        self.durability.record_recovery()
        self.published_controls_number = 0
        self.driver.note(
            common.Note("store.works_again", {"identity": self.raft.identity})
        )

    # Leading

    def _decide(self, now_ms: int) -> None:
        if not self.raft.is_leader:
            self._reset_leader_state()
        else:
            self.moves.decide(now_ms)

    def _reset_leader_state(self) -> None:
        self.moves.reset()
        self.in_log = {}

    # Time

    def tick(self) -> None:
        """Run the periodic work: time-outs, retries, decisions and joining."""
        now_ms = self.clock.now_ms()
        if self.durability.is_due(now_ms):
            self._retry_disk(now_ms)
        if not self.durability.failed:
            self.perform(self.raft.tick(now_ms))
        self.node.set_leader(rafts.process_name(self.raft.leader))
        self.confirmations.tick()
        self.revision_answers.tick()
        self.quotas.tick()
        self.loads.tick(now_ms)
        self.evacuations.tick()
        leader_heard = now_ms - self.raft.last_received_ms < LEADER_TIMEOUT_MS
        self.node.set_leader_known(self.raft.is_leader or leader_heard)
        self.perform(self.node.tick(now_ms))
        self._decide(now_ms)
        self._join(now_ms)
        self._forward_pending()
        self._publish_controls(now_ms)
        for waiter in self.commands.expired(now_ms):
            reason = "not agreed yet"
            waiter.reply(operators.pending(waiter.request.command_id, reason))
        for waiter in self.queries.expired(now_ms):
            waiter.reply(self._query_reply(waiter.request, False))

    def _join(self, now_ms: int) -> None:
        if self.durability.failed:
            return
        raft = self.raft
        known = raft.identity in raft.voters + raft.learners
        # A host that was removed while it was partitioned is not informed:
        # in its own log it is still a voter.
        no_leader = (
            not raft.is_leader
            and now_ms - raft.last_received_ms >= REJOIN_AFTER_MS
        )
        if (known and not no_leader) or now_ms < self.join_at_ms:
            return
        self.join_at_ms = now_ms + JOIN_INTERVAL_MS
        request = messages.JoinRequest(
            identity=raft.identity,
            name=self.settings.host,
            address=self.node.members.record.address,
        )
        for name in self.node.overlay.controls:
            self.driver.link_send(name, request)


def statement_of(query: messages.Query) -> tuple[typing.Any, str]:
    """Return the statement of a query, or None and the parser's error."""
    match query.kind:
        case messages.QueryKind.DOCUMENT:
            return statements.ShowDocument(), ""
        case messages.QueryKind.MOVE:
            return statements.MoveDone(query.subject), ""
    # Loading the grammar takes 0.1 s, which would delay the first vote after
    # a restart.
    from trefoil_language import parser

    parsed = parser.parse(query.line)
    if parsed.is_error():
        return None, str(parsed.error)
    return parsed.ok, ""


def to_log_message(command: messages.Command) -> messages.CommandRequest:
    """Return a command as the message that is stored in the log."""
    return messages.CommandRequest(command=command, hops=0)


@functools.singledispatch
def execute(effect: typing.Any, process: ControlProcess) -> None:
    """Execute one effect."""
    _fleet_process.execute(effect, process)


@execute.register
def _(effect: common.Send, process: ControlProcess) -> None:
    process.driver.link_send(rafts.process_name(effect.to), effect.message)


@execute.register
def _(effect: fleet_effects.PutInForce, process: ControlProcess) -> None:
    pass


@execute.register
def _(effect: fleet_effects.RecordsChanged, process: ControlProcess) -> None:
    pass


@execute.register
def _(effect: fleet_effects.AskFloor, process: ControlProcess) -> None:
    process.confirmations.ask(effect.nonce)


@execute.register
def _(effect: quorum_effects.SaveHardState, process: ControlProcess) -> None:
    with process.durability.write():
        process.store.save_hard_state(effect.state)


@execute.register
def _(effect: quorum_effects.AppendLog, process: ControlProcess) -> None:
    with process.durability.write():
        if effect.truncate_from:
            process.store.truncate_from(effect.truncate_from)
        process.store.append(effect.entries)


@execute.register
def _(effect: quorum_effects.SaveSnapshot, process: ControlProcess) -> None:
    with process.durability.write():
        process.store.save_snapshot(effect.snapshot)


@execute.register
def _(effect: quorum_effects.Restore, process: ControlProcess) -> None:
    process.restore(effect.snapshot)


@execute.register
def _(effect: quorum_effects.Apply, process: ControlProcess) -> None:
    process.apply(effect.entry)


@execute.register
def _(effect: quorum_effects.ReadReady, process: ControlProcess) -> None:
    callbacks = process.reads.pop(effect.read_id, None)
    if callbacks is not None:
        callbacks[0]()


@execute.register
def _(effect: quorum_effects.ReadFailed, process: ControlProcess) -> None:
    callbacks = process.reads.pop(effect.read_id, None)
    if callbacks is not None:
        callbacks[1]()


@functools.singledispatch
def receive(message: typing.Any, process: ControlProcess, host: str) -> None:
    """Handle one message from a subscribed link."""
    process.perform(
        process.node.receive(host, message, process.clock.now_ms())
    )


def _receive_raft(
    message: typing.Any, process: ControlProcess, host: str
) -> None:
    # The silence time-out of the link must count this traffic too.
    link = process.node.links.get(host)
    now_ms = process.clock.now_ms()
    if link is not None:
        link.last_received_ms = now_ms
    if process.durability.failed:
        if isinstance(message, messages.AppendRequest):
            # Commands and queries are still forwarded to the leader.
            process.raft.leader = message.leader
        return
    process.perform(process.raft.receive(host, message, now_ms))


for _kind in (
    messages.VoteRequest,
    messages.VoteReply,
    messages.AppendRequest,
    messages.AppendReply,
    messages.SnapshotRequest,
    messages.JoinRequest,
):
    receive.register(_kind, _receive_raft)


@receive.register
def _(
    message: messages.CommandRequest, process: ControlProcess, host: str
) -> None:
    process.submit(
        message.command,
        lambda reply: process.driver.link_send(host, reply),
        message.hops or 0,
    )


@receive.register
def _(
    message: messages.CommandReply, process: ControlProcess, host: str
) -> None:
    process.on_command_reply(message)


@receive.register
def _(message: messages.Query, process: ControlProcess, host: str) -> None:
    process.ask(message, lambda reply: process.driver.link_send(host, reply))


@receive.register
def _(
    message: messages.QueryReply, process: ControlProcess, host: str
) -> None:
    process.on_query_reply(message)


@receive.register
def _(
    message: messages.RevisionQuery, process: ControlProcess, host: str
) -> None:
    process.revision_answers.ask(host, message)


@receive.register
def _(
    message: messages.RevisionReply, process: ControlProcess, host: str
) -> None:
    process.revision_answers.on_reply(message)


@receive.register
def _(
    message: messages.LoadReport, process: ControlProcess, host: str
) -> None:
    process.loads.on_report(host, message)


@receive.register
def _(
    message: messages.DomainLoads, process: ControlProcess, host: str
) -> None:
    process.loads.on_loads(host, message)


@receive.register
def _(message: messages.TokenAsk, process: ControlProcess, host: str) -> None:
    process.quotas.on_ask(host, message)


@receive.register
def _(
    message: messages.TokenReply, process: ControlProcess, host: str
) -> None:
    process.quotas.on_reply(host, message)


@receive.register
def _(
    message: messages.EvidenceReport, process: ControlProcess, host: str
) -> None:
    process.moves.receive_report(host, message)


@receive.register
def _(
    message: messages.CrashNotice, process: ControlProcess, host: str
) -> None:
    if process.quarantine.receive(message, process.clock.now_ms()):
        for peer in process.node.links:
            if peer != host:
                process.driver.link_send(peer, message)
