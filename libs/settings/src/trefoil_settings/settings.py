"""Settings of the proxy and control daemons."""

import dataclasses
import pathlib
import typing

import expression
import yaml

from trefoil_model import findings as finding_store

from . import schema

LOG_LEVELS = ("debug", "info", "warning", "error")
MAX_BODY_MIB = 64
# What the largest body takes, held once, beside the process itself.
DEFAULT_MEMORY_MB = 200
MIN_MEMORY_MB = 50
MAX_MEMORY_MB = 1_000_000


@dataclasses.dataclass(slots=True)
class ProxySettings:
    """Settings of ``trefoilroute-proxy``.

    Args:
        host: Name of this host, unique in the fleet.
        domain: Its failure domain.
        region: Its region.
        callers: Address that listens for callers' HTTP requests.
        peers: Address that listens for connections of other processes.
        advertise: Address under which other processes reach ``peers`` if its
            port is forwarded; empty for ``peers`` itself.
        admin: Address that listens for targets' announcements and operators'
            commands.
        controls: Address of each control process by name.
        seeds: Address of each seed of this failure domain by name.
        statsd: Address of a statsd server; empty to send no metrics.
        log_level: Lowest level that is logged.
        max_body_mib: Largest body of a request or an answer, in MiB.
        lease_ms: How long a target stays announced without a renewal.
        grace_ms: Time from the request to shut down until the platform kills
            the process. The process ends half a second earlier at the
            latest.
        linger_ms: How long a process that shuts down accepts new requests,
            so that callers that do not know of the shutdown yet are still
            served; 0 to refuse new requests at once.
        join: Addresses of control hosts through which the others are found,
            if ``controls`` is not given. Hosts are then named by their IP
            addresses, and all listen for peers on the same port.
        ready: Address of the readiness check, which reports whether callers
            are served; empty for none.
        service: Service of this host's own target, passed on to the targets
            that its calls reach.
        retry_ratio: Maximum number of repeats per request of a service; its
            configuration cannot raise it.
        retry_slack: Additional repeats per window for a service, for all
            proxies together; 0 for ten per proxy.
        metrics: Address that serves metrics as text; empty for none.
        cold_overage: Highest rate of requests to a cold target, as a
            multiple of the rate in its service's configuration.
        cold_slack: Additional requests that a cold target may get in any
            second.
        link_mbps: Rate of this host's link in Mbit/s; 0 if unknown.
        crossing_cost: What one KiB between failure domains costs, in units
            of the value of an answer in time.
        key_revocation_ms: How long after a change is acknowledged a key that
            it took away may be honoured at any host, even one that is cut
            off; 0 if only hosts in contact with the control hosts have to
            know of it.
        memory_mb: Memory that the process may use, in units of 10**6 bytes. A
            part of it holds the requests and answers of others.
        descriptors: Descriptors that the process may open, which bound how
            many clients have a place at each address; 0 for its own limit.
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
    link_mbps: float = 0.0
    crossing_cost: float = 0.03
    key_revocation_ms: int = 0
    metrics: str = ""
    advertise: str = ""
    memory_mb: float = DEFAULT_MEMORY_MB
    descriptors: int = 0

    @property
    def known_controls(self) -> dict[str, str]:
        """Return the addresses of the configured control hosts by name."""
        return self.controls or _peer_addresses(self.join, self.peers)


@dataclasses.dataclass(slots=True)
class MoveSettings:
    """Parameters of moves that override the profile; None keeps its value.

    Args:
        false_alarms: Share of good versions that may be taken back.
        tolerance: Difference of failure rates that does not matter.
        first_share: Share of traffic at the first step, in percent.
        requests_per_step: Requests to the new version that a route must
            have at a step before the next step.
        pace: Share of the time to the deadline that the steps are spread
            over.
        compare_ms: How long both versions serve side by side after a
            suspicion at full traffic.
        exposed_part: Part of its service's requests that a version may get
            before a fault in it is detected.
        exposed_requests: Requests that it may get in addition.
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
        peers: Address that listens for connections of other processes.
        advertise: Address under which other processes reach ``peers`` if its
            port is forwarded; empty for ``peers`` itself.
        admin: Address that listens for operators' commands.
        controls: Address of each control process by name, including this one.
        voters: Names of the initial voters.
        data_folder: Folder of its durable state.
        statsd: Address of a statsd server; empty to send no metrics.
        log_level: Lowest level that is logged.
        heartbeat_ms: Interval between a leader's heartbeats.
        election_ms: Minimum time without a leader before an election.
        snapshot_entries: Number of log entries after which a snapshot is
            taken.
        profile: Profile of moves: ``balanced``, ``in-time``, which favours
            finishing good versions by the deadline, or ``cautious``, which
            favours taking bad versions back.
        moves: Parameters of moves that override the profile.
        join: Addresses of control hosts through which the others are found,
            if ``controls`` is not given. Hosts are then named by their IP
            addresses, and all listen for peers on the same port.
        found: Whether this is the first start of the deployment, with an
            empty data folder, in which the hosts of ``join`` found the
            agreement.
        lost_disks: Number of control hosts that may lose their disks at the
            same time without a loss of acknowledged data.
        metrics: Address that serves metrics as text; empty for none.
        domains: Names of all failure domains; empty if not known.
        quota_window_ms: Time over which the requests of an account are
            counted.
        quota_overage: Part by which they may exceed the account's limit.
        quota_slack: Requests by which they may exceed it besides.
        memory_mb: Memory that the process may use, in units of 10**6 bytes. A
            part of it holds the requests and answers of others.
        descriptors: Descriptors that the process may open, which bound how
            many clients have a place at each address; 0 for its own limit.
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
    quota_window_ms: int = 5000
    quota_overage: float = 0.1
    quota_slack: float = 20.0
    memory_mb: float = DEFAULT_MEMORY_MB
    descriptors: int = 0

    @property
    def known_controls(self) -> dict[str, str]:
        """Return the addresses of the configured control hosts by name."""
        return self.controls or _peer_addresses(self.join, self.peers)

    @property
    def founders(self) -> list[str]:
        """Return the names of the control hosts that found the agreement."""
        return sorted(_peer_addresses(self.join, self.peers))


def _peer_addresses(join: list[str], peers: str) -> dict[str, str]:
    """Return the peer addresses of the hosts in ``join`` by IP address."""
    port = peers.rpartition(":")[2]
    ips = [address.rpartition(":")[0] for address in join]
    return {ip: f"{ip}:{port}" for ip in ips}


COMMON_FIELDS: tuple[tuple[str, schema.Field], ...] = (
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
    (
        "memory_mb",
        schema.Field(
            schema.Number(MIN_MEMORY_MB, MAX_MEMORY_MB, integer=False),
            default=DEFAULT_MEMORY_MB,
        ),
    ),
    ("descriptors", schema.Field(schema.Number(0, 10_000_000), default=0)),
)

PROXY = schema.Record(
    COMMON_FIELDS
    + (
        ("callers", schema.Field(schema.Address(), required=True)),
        ("seeds", schema.Field(schema.MapOf(schema.Address()), default={})),
        ("ready", schema.Field(schema.Address(), default="")),
        ("service", schema.Field(schema.Text(), default="")),
        (
            "retry_ratio",
            schema.Field(schema.Number(0, 1, integer=False), default=1.0),
        ),
        (
            "retry_slack",
            schema.Field(
                schema.Number(0, 100_000, integer=False), default=0.0
            ),
        ),
        (
            "cold_overage",
            schema.Field(schema.Number(0.1, 100, integer=False), default=1.0),
        ),
        (
            "cold_slack",
            schema.Field(
                schema.Number(0, 100_000, integer=False), default=0.0
            ),
        ),
        (
            "linger",
            schema.Field(schema.Duration(), default=0),
        ),
        ("key_revocation", schema.Field(schema.Duration(), default=0)),
        (
            "link_mbps",
            schema.Field(
                schema.Number(0, 1_000_000, integer=False), default=0.0
            ),
        ),
        (
            "crossing_cost",
            schema.Field(schema.Number(0, 10, integer=False), default=0.03),
        ),
        (
            "max_body_mib",
            schema.Field(schema.Number(1, MAX_BODY_MIB), default=1),
        ),
        ("lease", schema.Field(schema.Duration(), default=3000)),
        ("grace", schema.Field(schema.Duration(), default=30_000)),
    ),
    lambda lease, grace, linger, key_revocation, **rest: ProxySettings(
        lease_ms=lease,
        grace_ms=grace,
        linger_ms=linger,
        key_revocation_ms=key_revocation,
        **rest,
    ),
)

MOVES = schema.Record(
    (
        (
            "false_alarms",
            schema.Field(schema.Number(0.0001, 0.2, integer=False)),
        ),
        ("tolerance", schema.Field(schema.Number(0, 0.2, integer=False))),
        ("first_share", schema.Field(schema.Number(0.1, 100, integer=False))),
        ("requests_per_step", schema.Field(schema.Number(1, 100_000))),
        ("pace", schema.Field(schema.Number(0, 0.9, integer=False))),
        ("compare", schema.Field(schema.Duration())),
        ("exposed_part", schema.Field(schema.Number(0, 1, integer=False))),
        ("exposed_requests", schema.Field(schema.Number(0, 1_000_000))),
    ),
    lambda compare, **rest: MoveSettings(compare_ms=compare, **rest),
)

CONTROL = schema.Record(
    COMMON_FIELDS
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
        ("quota_window", schema.Field(schema.Duration(), default=5000)),
        (
            "quota_overage",
            schema.Field(schema.Number(0, 10, integer=False), default=0.1),
        ),
        (
            "quota_slack",
            schema.Field(
                schema.Number(0, 100_000, integer=False), default=20.0
            ),
        ),
    ),
    lambda heartbeat, election, moves, quota_window, **rest: ControlSettings(
        quota_window_ms=quota_window,
        heartbeat_ms=heartbeat,
        election_ms=election,
        moves=moves or MoveSettings(),
        **rest,
    ),
)

SCHEMAS = {"proxy": PROXY, "control": CONTROL}
ParseResult = expression.Result[typing.Any, finding_store.Findings]


def parse(text: str, kind: str, *, file: str = "settings") -> ParseResult:
    """Return the settings in a text, or all its findings.

    Args:
        text: The YAML text.
        kind: ``proxy`` or ``control``.
        file: Name of the file, for the places of findings.

    Raises:
        KeyError: There is no such kind.
    """
    reader = schema.Reader(file)
    value = reader.parse(text, SCHEMAS[kind])
    if value is not None:
        _check_consistency(reader, value)
    if reader.findings:
        return expression.Error(reader.findings)
    return expression.Ok(value)


def load(path: str | pathlib.Path, kind: str) -> ParseResult:
    """Return the settings in a file, or all its findings.

    Args:
        path: The settings file; if it cannot be read, that is the finding.
        kind: ``proxy`` or ``control``.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        findings = finding_store.Findings()
        place = finding_store.Place(str(path), 1, 1)
        findings.add(place, f"cannot be read: {error}")
        return expression.Error(findings)
    return parse(text, kind, file=str(path))


def _check_consistency(reader: schema.Reader, value: typing.Any) -> None:
    place = reader.places[id(value)]
    if value.controls and value.join:
        reader.findings.add(place, "give controls or join, not both")
    if value.join and value.host != value.peers.rpartition(":")[0]:
        reader.findings.add(
            place, "with join, host must be the IP address of peers"
        )
    if isinstance(value, ControlSettings):
        if value.controls and value.host not in value.controls:
            reader.findings.add(
                place, f"host {value.host!r} is not in controls"
            )
        for voter in value.voters:
            if voter not in value.controls:
                reader.findings.add(
                    place, f"voter {voter!r} is not in controls"
                )
        if value.election_ms < 2 * value.heartbeat_ms:
            reader.findings.add(
                place, "election must be at least twice heartbeat"
            )
    if not value.controls and not value.join:
        reader.findings.add(place, "give controls or join; both are empty")


def render(value: typing.Any) -> str:
    """Return settings as YAML that ``parse`` reads back.

    Defaults are included, empty values are left out, and durations are in
    milliseconds.
    """
    return yaml.safe_dump(_to_mapping(value), sort_keys=True)


def _to_mapping(value: typing.Any) -> dict[str, typing.Any]:
    mapping: dict[str, typing.Any] = {}
    for field in dataclasses.fields(value):
        content = getattr(value, field.name)
        name = field.name
        if dataclasses.is_dataclass(content):
            content = _to_mapping(content)
        elif name.endswith("_ms") and content is not None:
            name = name.removesuffix("_ms")
            content = f"{content}ms"
        if content not in ("", None, {}, []):
            mapping[name] = content
    return mapping
