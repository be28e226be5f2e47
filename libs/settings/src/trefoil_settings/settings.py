"""Settings of the two daemons."""

import dataclasses
import pathlib
import typing

import expression
import yaml

from trefoil_model import findings as finding_store

from . import schema

LOG_LEVELS = ("debug", "info", "warning", "error")
MAX_BODY_MIB = 64


@dataclasses.dataclass(slots=True)
class ProxySettings:
    """Settings of ``trefoilroute-proxy``.

    Args:
        host: Name of this host, unique in the fleet.
        domain: Its failure domain.
        region: Its region.
        callers: Address that takes callers' HTTP requests.
        peers: Address that takes frames from other processes.
        advertise: Address under which other processes reach ``peers``, where
            a port is forwarded; empty for ``peers`` itself.
        admin: Address that takes targets' announcements and operators.
        controls: Address of each control process by name.
        seeds: Address of each seed of this failure domain by name.
        statsd: Address of a statsd server; no metrics are sent without.
        log_level: Least level that is logged.
        max_body_mib: Largest body of a request or an answer.
        lease_ms: How long an announced target counts without a renewal.
        grace_ms: How long after it was told to leave the process is killed;
            it ends half a second sooner at the latest.
        linger_ms: How long a shutdown goes on taking requests, so that
            callers who have not heard of it yet are still served; 0
            refuses new requests at once.
        join: Control hosts to find the others by, where ``controls`` is
            not given. Hosts are then named by their IP numbers, and all
            take peers at the same port.
        ready: Address that tells whether callers are served; empty for
            none.
        service: Service of this host's own target, told to the targets
            that its calls reach.
        retry_ratio: Most repeats that a service may have for each request,
            whatever its configuration says.
        retry_slack: Repeats a window that a service may have besides, all
            proxies together; 0 for ten a proxy.
        metrics: Address where metrics are read as text; empty for none.
        cold_overage: How many times the rate that its service's
            configuration tells a cold target may get.
        cold_slack: How many requests a second it may get besides.
    """

    host: str
    domain: str
    region: str
    callers: str
    peers: str
    admin: str
    controls: dict[str, str]
    seeds: dict[str, str]
    statsd: str
    log_level: str
    max_body_mib: int
    lease_ms: int
    grace_ms: int
    linger_ms: int = 0
    join: list[str] = dataclasses.field(default_factory=list)
    ready: str = ""
    service: str = ""
    retry_ratio: float = 1.0
    retry_slack: float = 0.0
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    metrics: str = ""
    advertise: str = ""

    @property
    def known_controls(self) -> dict[str, str]:
        """Return the control hosts that the settings tell of, by name."""
        return self.controls or _joined(self.join, self.peers)


@dataclasses.dataclass(slots=True)
class MoveSettings:
    """Knobs of moves that are set apart from the profile; None keeps it.

    Args:
        false_alarms: Share of good versions that may be taken back.
        tolerance: Difference of failure rates that does not matter.
        first_share: First share of traffic, in percent.
        requests_per_step: Requests a route must have shown at a step.
        pace: Share of the time to the deadline that steps are spread over.
        compare_ms: How long the old version is asked again after a fault.
        exposed_part: Part of its service's requests that a version may get
            before a fault of it is seen.
        exposed_requests: Requests that it may get besides.
    """

    false_alarms: float | None = None
    tolerance: float | None = None
    first_share: float | None = None
    requests_per_step: int | None = None
    pace: float | None = None
    compare_ms: int | None = None
    exposed_part: float | None = None
    exposed_requests: int | None = None


@dataclasses.dataclass(slots=True)
class ControlSettings:
    """Settings of ``trefoilroute-control``.

    Args:
        host: Name of this control process.
        domain: Its failure domain.
        region: Its region.
        peers: Address that takes frames from other processes.
        advertise: Address under which other processes reach ``peers``, where
            a port is forwarded; empty for ``peers`` itself.
        admin: Address that takes operators' commands.
        controls: Address of each control process by name, itself included.
        voters: Names of the first voters.
        data_folder: Where its durable state is.
        statsd: Address of a statsd server; no metrics are sent without.
        log_level: Least level that is logged.
        heartbeat_ms: Pause between a leader's rounds.
        election_ms: Shortest silence before an election.
        snapshot_entries: Log entries after which a snapshot is taken.
        profile: Which measure moves favour, ``balanced``, ``in-time`` or
            ``cautious``.
        moves: Knobs that are set apart from the profile.
        join: Control hosts to find the others by, where ``controls`` is
            not given. Hosts are then named by their IP numbers, and all
            take peers at the same port.
        found: Whether this is the first start of the deployment, with an
            empty data folder: the hosts of ``join`` found the agreement.
        lost_disks: How many control hosts may lose their disks at once
            without losing what was acknowledged.
        metrics: Address where metrics are read as text; empty for none.
        domains: All failure domains; none are known without.
    """

    host: str
    domain: str
    region: str
    peers: str
    admin: str
    controls: dict[str, str]
    voters: list[str]
    data_folder: str
    statsd: str
    log_level: str
    heartbeat_ms: int
    election_ms: int
    snapshot_entries: int
    profile: str
    moves: MoveSettings
    join: list[str] = dataclasses.field(default_factory=list)
    found: bool = False
    lost_disks: int = 1
    metrics: str = ""
    advertise: str = ""
    domains: list[str] = dataclasses.field(default_factory=list)

    @property
    def known_controls(self) -> dict[str, str]:
        """Return the control hosts that the settings tell of, by name."""
        return self.controls or _joined(self.join, self.peers)

    @property
    def founders(self) -> list[str]:
        """Return the names of the control hosts that found the agreement."""
        return sorted(_joined(self.join, self.peers))


def _joined(join: list[str], peers: str) -> dict[str, str]:
    """Return where hosts take peers, by their IP number."""
    port = peers.rpartition(":")[2]
    ips = [address.rpartition(":")[0] for address in join]
    return {ip: f"{ip}:{port}" for ip in ips}


COMMON: tuple[tuple[str, schema.Field], ...] = (
    ("host", schema.Field(schema.Name(), required=True)),
    ("domain", schema.Field(schema.Name(), required=True)),
    ("region", schema.Field(schema.Name(), default="default")),
    ("peers", schema.Field(schema.Address(), required=True)),
    ("advertise", schema.Field(schema.Address(), default="")),
    ("admin", schema.Field(schema.Address(), required=True)),
    ("controls", schema.Field(schema.MapOf(schema.Address()), default={})),
    ("join", schema.Field(schema.ListOf(schema.Address()), default=[])),
    ("statsd", schema.Field(schema.Address(), default="")),
    ("metrics", schema.Field(schema.Address(), default="")),
    ("log_level", schema.Field(schema.Text(LOG_LEVELS), default="info")),
)

PROXY = schema.Record(
    COMMON
    + (
        ("callers", schema.Field(schema.Address(), required=True)),
        ("seeds", schema.Field(schema.MapOf(schema.Address()), default={})),
        ("ready", schema.Field(schema.Address(), default="")),
        ("service", schema.Field(schema.Text(), default="")),
        (
            "retry_ratio",
            schema.Field(schema.Number(0, 1, whole=False), default=1.0),
        ),
        (
            "retry_slack",
            schema.Field(schema.Number(0, 100_000, whole=False), default=0.0),
        ),
        (
            "cold_overage",
            schema.Field(schema.Number(0.1, 100, whole=False), default=1.0),
        ),
        (
            "cold_slack",
            schema.Field(schema.Number(0, 100_000, whole=False), default=0.0),
        ),
        (
            "linger",
            schema.Field(schema.Duration(), default=0),
        ),
        (
            "max_body_mib",
            schema.Field(schema.Number(1, MAX_BODY_MIB), default=1),
        ),
        ("lease", schema.Field(schema.Duration(), default=3000)),
        ("grace", schema.Field(schema.Duration(), default=30_000)),
    ),
    lambda lease, grace, linger, **rest: ProxySettings(
        lease_ms=lease, grace_ms=grace, linger_ms=linger, **rest
    ),
)

MOVES = schema.Record(
    (
        (
            "false_alarms",
            schema.Field(schema.Number(0.0001, 0.2, whole=False)),
        ),
        ("tolerance", schema.Field(schema.Number(0, 0.2, whole=False))),
        ("first_share", schema.Field(schema.Number(0.1, 100, whole=False))),
        ("requests_per_step", schema.Field(schema.Number(1, 100_000))),
        ("pace", schema.Field(schema.Number(0, 0.9, whole=False))),
        ("compare", schema.Field(schema.Duration())),
        ("exposed_part", schema.Field(schema.Number(0, 1, whole=False))),
        ("exposed_requests", schema.Field(schema.Number(0, 1_000_000))),
    ),
    lambda compare, **rest: MoveSettings(compare_ms=compare, **rest),
)

CONTROL = schema.Record(
    COMMON
    + (
        ("voters", schema.Field(schema.ListOf(schema.Name()), default=[])),
        ("found", schema.Field(schema.Flag(), default=False)),
        ("lost_disks", schema.Field(schema.Number(0, 3), default=1)),
        ("data_folder", schema.Field(schema.Text(), required=True)),
        ("heartbeat", schema.Field(schema.Duration(), default=150)),
        ("election", schema.Field(schema.Duration(), default=600)),
        (
            "snapshot_entries",
            schema.Field(schema.Number(10, 100_000), default=200),
        ),
        (
            "profile",
            schema.Field(
                schema.Text(("balanced", "in-time", "cautious")),
                default="balanced",
            ),
        ),
        ("moves", schema.Field(MOVES, default=None)),
        ("domains", schema.Field(schema.ListOf(schema.Name()), default=[])),
    ),
    lambda heartbeat, election, moves, **rest: ControlSettings(
        heartbeat_ms=heartbeat,
        election_ms=election,
        moves=moves or MoveSettings(),
        **rest,
    ),
)

KINDS = {"proxy": PROXY, "control": CONTROL}
Checked = expression.Result[typing.Any, finding_store.Findings]


def parse(text: str, kind: str, *, file: str = "settings") -> Checked:
    """Return the settings in a text, or every finding.

    Args:
        text: The YAML text.
        kind: ``proxy`` or ``control``.
        file: Name for the findings' places.
    """
    reader = schema.Reader(file)
    value = reader.parse(text, KINDS[kind])
    if value is not None:
        _check_together(reader, value)
    if reader.findings:
        return expression.Error(reader.findings)
    return expression.Ok(value)


def load(path: str | pathlib.Path, kind: str) -> Checked:
    """Return the settings in a file, or every finding."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        findings = finding_store.Findings()
        place = finding_store.Place(str(path), 1, 1)
        findings.add(place, f"cannot be read: {error}")
        return expression.Error(findings)
    return parse(text, kind, file=str(path))


def _check_together(reader: schema.Reader, value: typing.Any) -> None:
    place = reader.places[id(value)]
    if value.controls and value.join:
        reader.findings.add(place, "give controls or join, not both")
    if value.join and value.host != value.peers.rpartition(":")[0]:
        reader.findings.add(
            place, "with join, host must be the IP number of peers"
        )
    if isinstance(value, ControlSettings):
        if value.controls and value.host not in value.controls:
            reader.findings.add(place, f"controls lacks {value.host!r}")
        for voter in value.voters:
            if voter not in value.controls:
                reader.findings.add(place, f"voter {voter!r} has no address")
        if value.election_ms < 2 * value.heartbeat_ms:
            reader.findings.add(
                place, "election must be at least twice heartbeat"
            )
    if not value.controls and not value.join:
        reader.findings.add(place, "controls is empty, and so is join")


def render(value: typing.Any) -> str:
    """Return settings as YAML, defaults filled in; times in ms."""
    return yaml.safe_dump(_shown(value), sort_keys=True)


def _shown(value: typing.Any) -> dict[str, typing.Any]:
    shown: dict[str, typing.Any] = {}
    for field in dataclasses.fields(value):
        content = getattr(value, field.name)
        name = field.name
        if dataclasses.is_dataclass(content):
            content = _shown(content)
        elif name.endswith("_ms") and content is not None:
            name = name.removesuffix("_ms")
            content = f"{content}ms"
        if content not in ("", None, {}, []):
            shown[name] = content
    return shown
