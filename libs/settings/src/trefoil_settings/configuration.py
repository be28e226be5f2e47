"""Configuration documents: the services and routes that operators apply."""

import typing

import expression

from trefoil_model import findings as finding_store
from trefoil_wire import messages
from trefoil_wire import routes

from . import schema

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
REPEAT = {"any": messages.Repeat.ANY, "once": messages.Repeat.ONCE}
DEFAULT_TIMEOUT_MS = 2000
DEFAULT_RETRY_BUDGET = 0.2
DEFAULT_ATTEMPTS = 3
MAX_ATTEMPTS = 100
MAX_WEIGHT = 1_000_000
MAX_CONNECTIONS = 100_000
MAX_WARMUP_PER_S = 1_000_000
MAX_ACCOUNT_PER_S = 1_000_000
MAX_DOCUMENT_NUMBER = (1 << 63) - 1
MAX_HEAD_BYTES = 1 << 20
MAX_BODY_BYTES = 1 << 30

SERVICE = schema.Record(
    (
        ("name", schema.Field(schema.Name(), required=True)),
        ("version", schema.Field(schema.Name(), default="")),
        ("resources", schema.Field(schema.ListOf(schema.Name()), default=[])),
        (
            "retry_budget",
            schema.Field(
                schema.Number(0, 1, integer=False),
                default=DEFAULT_RETRY_BUDGET,
            ),
        ),
        ("health_path", schema.Field(schema.Text(), default="")),
        (
            "max_connections",
            schema.Field(schema.Number(0, MAX_CONNECTIONS), default=0),
        ),
        ("warmup", schema.Field(schema.Duration(), default=0)),
        (
            "warmup_per_s",
            schema.Field(
                schema.Number(0, MAX_WARMUP_PER_S, integer=False), default=0
            ),
        ),
    ),
    lambda warmup, **rest: messages.Service(warmup_ms=warmup, **rest),
)

BACKEND = schema.Record(
    (
        ("service", schema.Field(schema.Name(), required=True)),
        (
            "weight",
            schema.Field(
                schema.Number(0, MAX_WEIGHT, integer=False), required=True
            ),
        ),
    ),
    lambda service, weight: messages.Backend(service, weight),
)

LIMITS = schema.Record(
    (
        ("head_bytes", schema.Field(schema.Number(1, MAX_HEAD_BYTES))),
        ("body_bytes", schema.Field(schema.Number(1, MAX_BODY_BYTES))),
        ("head_timeout", schema.Field(schema.Duration())),
        ("idle_timeout", schema.Field(schema.Duration())),
    ),
    lambda head_bytes, body_bytes, head_timeout, idle_timeout: (
        messages.CallerLimits(
            head_bytes or 0,
            body_bytes or 0,
            head_timeout or 0,
            idle_timeout or 0,
        )
    ),
)


ACCOUNT = schema.Record(
    (
        ("name", schema.Field(schema.Name(), required=True)),
        ("keys", schema.Field(schema.ListOf(schema.Key()), default=[])),
        ("priority", schema.Field(schema.Number(0, 100))),
        (
            "rate_per_s",
            schema.Field(
                schema.Number(0, MAX_ACCOUNT_PER_S, integer=False), default=0
            ),
        ),
        (
            "burst",
            schema.Field(
                schema.Number(0, MAX_ACCOUNT_PER_S, integer=False), default=0
            ),
        ),
    ),
    lambda keys, **rest: messages.Account(key_digests=keys, **rest),
)


def _make_route(**values: typing.Any) -> messages.Route:
    values["service_name"] = values.pop("service")
    values["timeout_ms"] = values.pop("timeout")
    values["repeat"] = REPEAT[values["repeat"]]
    values["max_attempts"] = values.pop("attempts")
    values["latency_aim_ms"] = values.pop("latency_aim")
    return messages.Route(**values)


ROUTE = schema.Record(
    (
        ("name", schema.Field(schema.Name(), required=True)),
        ("host", schema.Field(schema.Text(), default="*")),
        ("prefix", schema.Field(schema.Text(), required=True)),
        (
            "methods",
            schema.Field(schema.ListOf(schema.Text(METHODS)), default=[]),
        ),
        ("service", schema.Field(schema.Name(), default="")),
        ("backends", schema.Field(schema.ListOf(BACKEND), default=[])),
        ("priority", schema.Field(schema.Number(0, 100), default=0)),
        (
            "attempts",
            schema.Field(
                schema.Number(1, MAX_ATTEMPTS), default=DEFAULT_ATTEMPTS
            ),
        ),
        ("latency_aim", schema.Field(schema.Duration(), default=0)),
        ("resource", schema.Field(schema.Name(), default="")),
        ("tenant", schema.Field(schema.Name(), default="default")),
        (
            "timeout",
            schema.Field(schema.Duration(), default=DEFAULT_TIMEOUT_MS),
        ),
        ("repeat", schema.Field(schema.Text(tuple(REPEAT)), default="once")),
        ("open", schema.Field(schema.Flag(), default=False)),
    ),
    _make_route,
)

DOCUMENT = schema.Record(
    (
        ("services", schema.Field(schema.ListOf(SERVICE), required=True)),
        ("routes", schema.Field(schema.ListOf(ROUTE), default=[])),
        ("limits", schema.Field(LIMITS)),
        ("accounts", schema.Field(schema.ListOf(ACCOUNT))),
        (
            "number",
            schema.Field(schema.Number(0, MAX_DOCUMENT_NUMBER), default=0),
        ),
        (
            "base",
            schema.Field(schema.Number(0, MAX_DOCUMENT_NUMBER), default=0),
        ),
    ),
    lambda number, base, **rest: messages.ApplyConfiguration(
        document=messages.Document(number, base, b"") if number else None,
        **rest,
    ),
)

ParseResult = expression.Result[
    messages.ApplyConfiguration, finding_store.Findings
]


def parse(text: str, *, file: str = "configuration") -> ParseResult:
    """Return the configuration in a text, or all its findings.

    Requests of a route are repeated only if it says ``repeat: any``. The
    default is ``once``, since a repeated request could, for example, charge a
    deposit twice.

    Args:
        text: The YAML text.
        file: Name of the file, for the places of findings.
    """
    reader = schema.Reader(file)
    document = reader.parse(text, DOCUMENT)
    if document is not None:
        _check_references(reader, document)
    if reader.findings:
        return expression.Error(reader.findings)
    if document.document is not None:
        document.document.text = text.encode("utf-8")
    return expression.Ok(document)


def _check_references(
    reader: schema.Reader, document: messages.ApplyConfiguration
) -> None:
    services = {}
    for service in document.services:
        if service.name in services:
            place = reader.places[id(service)]
            reader.findings.add(
                place, f"service {service.name!r} stands twice"
            )
        services[service.name] = service
    seen = set()
    for route in document.routes:
        place = reader.places[id(route)]
        if route.name in seen:
            reader.findings.add(place, f"route {route.name!r} stands twice")
        seen.add(route.name)
        _check_route(reader, place, route, services)
    _check_accounts(reader, document.accounts or [])


def _check_accounts(
    reader: schema.Reader, accounts: list[messages.Account]
) -> None:
    names = set()
    owners: dict[bytes, str] = {}
    for account in accounts:
        place = reader.places[id(account)]
        if account.name in names:
            reader.findings.add(
                place, f"account {account.name!r} stands twice"
            )
        names.add(account.name)
        for digest in account.key_digests:
            owner = owners.setdefault(digest, account.name)
            if owner != account.name:
                reader.findings.add(
                    place, f"a key is also one of account {owner!r}"
                )


def _check_route(
    reader: schema.Reader,
    place: finding_store.Place,
    route: messages.Route,
    services: dict[str, messages.Service],
) -> None:
    if not route.prefix.startswith("/"):
        reader.findings.add(place, "prefix must start with /")
    if not 1 <= route.timeout_ms <= routes.MAX_TIMEOUT_MS:
        reader.findings.add(place, "timeout must be 1ms to 10m")
    if bool(route.service_name) == bool(route.backends):
        reader.findings.add(place, "give either service or backends")
    for name in routes.services_of(route):
        if name not in services:
            reader.findings.add(place, f"there is no service {name!r}")
    service = services.get(route.service_name)
    if service is None:
        return
    if route.resource and route.resource not in service.resources:
        reader.findings.add(
            place,
            f"service {service.name!r} has no resource {route.resource!r}",
        )
