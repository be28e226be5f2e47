"""Answers to operators' queries from the state of this control process."""

import datetime
import functools
import json
import typing

from trefoil_accounts import quota_keeper
from trefoil_fleet import items as item_store
from trefoil_fleet import node as nodes
from trefoil_language import statements
from trefoil_moves import state as states
from trefoil_quorum import raft as rafts
from trefoil_wire import messages

Row = dict[str, typing.Any]


class QueryContext:
    """The data that queries are answered from.

    Args:
        state: The agreed state.
        node: The fleet core, which holds records and reports.
        raft: The agreement core.
        now_ms: The time on the runtime's clock.
        keeper: The keeper of the quotas in this failure domain.
        boot_ms: The time on the keeper's clock.
    """

    __slots__ = ("state", "node", "raft", "now_ms", "keeper", "boot_ms")

    def __init__(
        self,
        state: states.State,
        node: nodes.Node,
        raft: rafts.Raft,
        now_ms: int,
        keeper: quota_keeper.QuotaKeeper | None = None,
        boot_ms: int = 0,
    ) -> None:
        self.state = state
        self.node = node
        self.raft = raft
        self.now_ms = now_ms
        self.keeper = keeper
        self.boot_ms = boot_ms


def render(
    statement: typing.Any, context: QueryContext, *, confirmed: bool
) -> str:
    """Return the answer to a query as JSON.

    Args:
        statement: The query.
        context: The data to answer from.
        confirmed: Whether a quorum confirmed that the state is the newest.
    """
    return json.dumps(
        {
            "rows": answer(statement, context),
            "confirmed": confirmed,
            "told_by": context.node.local_host,
        }
    )


@functools.singledispatch
def answer(statement: typing.Any, context: QueryContext) -> list[Row]:
    """Return the rows that answer a query."""
    return [{"problem": f"{type(statement).__name__} is not a query here"}]


@answer.register
def _(statement: statements.InForce, context: QueryContext) -> list[Row]:
    hosts = [
        _host_row(record, context)
        for record in context.node.members.records.present()
        if statement.host in ("", record.host)
        and statement.domain in ("", record.domain)
    ]
    hosts.sort(key=lambda row: (row["domain"], row["host"]))
    if statement.by == "host":
        return hosts
    if statement.by == "service":
        return _rows_by_service(hosts, context)
    return _rows_by_domain(hosts, context)


def _host_row(record: messages.HostRecord, context: QueryContext) -> Row:
    reported = context.node.reports.by_host.get(record.host)
    row: Row = {
        "host": record.host,
        "domain": record.domain,
        "revision": None,
        "age_s": None,
        "note": "not heard from",
    }
    if reported is not None:
        row["revision"] = reported.report.revision
        row["age_s"] = round(reported.age_ms(context.now_ms) / 1000, 1)
        rejected = reported.report.rejected
        row["note"] = f"rejected: {rejected}" if rejected else ""
    return row


def _rows_by_domain(hosts: list[Row], context: QueryContext) -> list[Row]:
    domains = sorted({row["domain"] for row in hosts})
    return [
        {"domain": domain}
        | _summary([row for row in hosts if row["domain"] == domain], context)
        for domain in domains
    ]


def _rows_by_service(hosts: list[Row], context: QueryContext) -> list[Row]:
    by_host = {row["host"]: row for row in hosts}
    services: dict[str, set[str]] = {}
    for record in context.node.members.records.present():
        for target in record.targets or ():
            services.setdefault(target.service_name, set()).add(record.host)
    return [
        {"service": service}
        | _summary(
            [by_host[h] for h in sorted(names) if h in by_host], context
        )
        for service, names in sorted(services.items())
    ]


def _summary(rows: list[Row], context: QueryContext) -> Row:
    newest = context.state.items.revision
    ages = [row["age_s"] for row in rows if row["age_s"] is not None]
    unreported = [row["host"] for row in rows if row["revision"] is None]
    behind = [
        row["host"]
        for row in rows
        if row["revision"] is not None and row["revision"] < newest
    ]
    return {
        "revision": newest,
        "in_force_at": len(rows) - len(unreported) - len(behind),
        "of": len(rows),
        "oldest_report_s": max(ages, default=None),
        "behind": " ".join(behind),
        "not_heard_from": " ".join(unreported),
    }


@answer.register
def _(statement: statements.ShowDocument, context: QueryContext) -> list[Row]:
    document = context.state.document
    if document is None:
        return []
    return [
        {
            "number": document.number,
            "base": document.base,
            "text": document.text.decode("utf-8", "replace"),
        }
    ]


@answer.register
def _(
    statement: statements.ShowEvacuations, context: QueryContext
) -> list[Row]:
    evacuations = context.state.items.all(item_store.EVACUATION)
    return [_evacuation_row(evacuation, context) for evacuation in evacuations]


def _evacuation_row(
    evacuation: messages.Evacuation, context: QueryContext
) -> Row:
    """Return an evacuation and the hosts where it is not in force yet."""
    domain = evacuation.domain
    revision = context.state.items.revision_of(item_store.EVACUATION + domain)
    hosts = [
        _host_row(record, context)
        for record in context.node.members.records.present()
    ]
    behind = [
        row["host"]
        for row in hosts
        if row["revision"] is None or row["revision"] < revision
    ]
    since = datetime.datetime.fromtimestamp(
        evacuation.since_ms // 1000, datetime.UTC
    )
    return {
        "domain": domain,
        "revision": revision,
        "since": since.strftime("%Y-%m-%dT%H:%M:%SZ"),
        "by": evacuation.operator_name,
        "reason": evacuation.reason,
        "in_force_at": len(hosts) - len(behind),
        "of": len(hosts),
        "behind": " ".join(behind),
    }


@answer.register
def _(statement: statements.ShowAccounts, context: QueryContext) -> list[Row]:
    accounts = context.state.items.all(item_store.ACCOUNT)
    rows = [
        _account_row(account, context)
        for account in accounts
        if statement.account in ("", account.name)
    ]
    if statement.account and not rows:
        return [{"problem": f"there is no account {statement.account}"}]
    return rows


def _account_row(account: messages.Account, context: QueryContext) -> Row:
    """Return an account and its use in this keeper's failure domain."""
    key = item_store.ACCOUNT + account.name
    row: Row = {
        "account": account.name,
        "priority": account.priority,
        "keys": len(account.key_digests),
        "rate_per_s": account.rate_per_s or "unlimited",
        "burst": account.burst,
        "revision": context.state.items.revision_of(key),
    }
    keeper = context.keeper
    purse = keeper.purses.get(account.name) if keeper is not None else None
    if purse is not None:
        limited = keeper.limited_accounts(context.boot_ms)
        row |= {
            "asked_per_s": round(purse.demand.per_s(context.boot_ms), 1),
            "issued": purse.issued,
            "lent": round(purse.lent, 1),
            "refused": purse.denied,
            "over_limit": account.name in limited,
        }
    return row


@answer.register
def _(statement: statements.ShowMoves, context: QueryContext) -> list[Row]:
    return [
        _move_row(move, context)
        for move in context.state.moves.values()
        if statement.service in ("", move.service_name)
    ]


def _move_row(move: messages.MoveRecord, context: QueryContext) -> Row:
    names = messages.Outcome._VALUES_TO_NAMES
    outcome = names.get(move.outcome, "running")
    left_ms = move.deadline_ms - context.state.clock_ms
    return {
        "move": move.move_id,
        "service": move.service_name,
        "from": move.from_version,
        "to": move.to_version,
        "outcome": outcome.lower().replace("_", " "),
        "phase": move.phase,
        "share": f"{move.permille / 10:g}%",
        "deadline_in_s": round(left_ms / 1000),
        "reason": move.reason,
    }


def _newest_move(
    service: str, context: QueryContext
) -> messages.MoveRecord | None:
    moves = [
        move
        for move in context.state.moves.values()
        if service in (move.service_name, move.move_id)
    ]
    return moves[-1] if moves else None


@answer.register
def _(statement: statements.MoveDone, context: QueryContext) -> list[Row]:
    move = _newest_move(statement.service, context)
    if move is None:
        return [{"problem": f"no move of {statement.service} is known"}]
    row = _move_row(move, context)
    return [
        {
            key: row[key]
            for key in ("service", "to", "outcome", "share", "reason")
        }
    ]


@answer.register
def _(statement: statements.Explain, context: QueryContext) -> list[Row]:
    move = _newest_move(statement.service, context)
    if move is None:
        return [{"problem": f"no move of {statement.service} is known"}]
    return [{"what": line} for line in move.history]


@answer.register
def _(statement: statements.ShowTargets, context: QueryContext) -> list[Row]:
    state_names = messages.TargetState._VALUES_TO_NAMES
    rows = []
    for record in context.node.members.records.present():
        for target in record.targets or ():
            if statement.service in ("", target.service_name):
                rows.append(
                    {
                        "service": target.service_name,
                        "version": target.version,
                        "host": record.host,
                        "domain": record.domain,
                        "target": target.name,
                        "slots": target.slots,
                        "state": state_names[target.state].lower(),
                        "limit_per_s": _limit_text(target),
                    }
                )
    rows.sort(key=lambda row: tuple(str(value) for value in row.values()))
    return rows


def _limit_text(target: messages.TargetRecord) -> str:
    """Return the rate limit that a target names, empty if none."""
    return "" if target.limit_per_s is None else f"{target.limit_per_s:g}"


@answer.register
def _(statement: statements.ShowRoutes, context: QueryContext) -> list[Row]:
    return [
        {
            "route": route.name,
            "host": route.host,
            "prefix": route.prefix,
            "methods": " ".join(route.methods) or "all",
            "service": route.service_name,
            "resource": route.resource,
            "tenant": route.tenant,
            "timeout_ms": route.timeout_ms,
            "repeat": messages.Repeat._VALUES_TO_NAMES[route.repeat].lower(),
        }
        for route in context.state.items.all(item_store.ROUTE)
    ]


@answer.register
def _(statement: statements.ShowServices, context: QueryContext) -> list[Row]:
    return [
        {
            "service": shares.service_name,
            "versions": " ".join(
                f"{share.version}={share.permille / 10:g}%"
                for share in shares.shares
            ),
            "move": shares.move_id,
        }
        for shares in context.state.items.all(item_store.SHARES)
    ]


@answer.register
def _(statement: statements.ShowControls, context: QueryContext) -> list[Row]:
    raft = context.raft
    rows = []
    for identity in raft.voters + raft.learners:
        name = rafts.process_name(identity)
        rows.append(
            {
                "control": name,
                "identity": identity,
                "role": _role(identity, raft),
                "linked": name == context.node.local_host
                or name in context.node.links,
                "revision": context.state.items.revision,
            }
        )
    return rows


def _role(identity: str, raft: rafts.Raft) -> str:
    if identity == raft.leader:
        return "leader"
    return "voter" if identity in raft.voters else "learner"
