"""What a line of the operators' language says."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class InForce:
    """Ask which revision is in force where.

    Args:
        by: ``host``, ``domain`` or ``service``.
        host: Only this host, if set.
        domain: Only this failure domain, if set.
    """

    by: str = "domain"
    host: str = ""
    domain: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class ShowMoves:
    """Ask for all moves, or those of a service."""

    service: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class MoveDone:
    """Ask whether the newest move of a service is done."""

    service: str


@dataclasses.dataclass(slots=True, frozen=True)
class Explain:
    """Ask what happened in the newest move of a service, and why."""

    service: str


@dataclasses.dataclass(slots=True, frozen=True)
class ShowTargets:
    """Ask for the targets that the fleet announces."""

    service: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class ShowRoutes:
    """Ask for the routes in force."""


@dataclasses.dataclass(slots=True, frozen=True)
class ShowServices:
    """Ask for the services and the shares of their versions."""


@dataclasses.dataclass(slots=True, frozen=True)
class ShowControls:
    """Ask for the control processes and who leads."""


@dataclasses.dataclass(slots=True, frozen=True)
class ShowLatency:
    """Ask one proxy for its latency quantiles by tenant."""


@dataclasses.dataclass(slots=True, frozen=True)
class ShowBytes:
    """Ask one process for the control bytes it sent, by kind."""


@dataclasses.dataclass(slots=True, frozen=True)
class ShowDocument:
    """Ask for the document that the configuration was made from."""


@dataclasses.dataclass(slots=True, frozen=True)
class ShowEvacuations:
    """Ask which failure domains are evacuated, since when and why."""


@dataclasses.dataclass(slots=True, frozen=True)
class Apply:
    """Apply the configuration document that comes with the line.

    Args:
        file: Name of the document.
        expected: Revision that must be in force; 0 for any.
    """

    file: str
    expected: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Move:
    """Move a service's traffic.

    Args:
        service: The service.
        from_version: The version in force; empty for whichever is.
        to_version: The new version.
        deadline_in_ms: Time left until the deadline; 0 if ``deadline`` is
            set.
        deadline: The deadline as a date and time in UTC, ISO 8601.
        risk_permille: Largest share before evidence is in.
        watch_ms: How long the watch goes on after the whole share.
    """

    service: str
    from_version: str
    to_version: str
    deadline_in_ms: int = 0
    deadline: str = ""
    risk_permille: int = 50
    watch_ms: int = 30_000


@dataclasses.dataclass(slots=True, frozen=True)
class Reverse:
    """Take back the move that runs on a service."""

    service: str


@dataclasses.dataclass(slots=True, frozen=True)
class Drain:
    """Give a host no new requests, or give it some again."""

    host: str
    draining: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Evacuate:
    """Send the targets of a failure domain nothing, or something again.

    Args:
        domain: The failure domain.
        evacuated: False takes the domain back.
        reason: Why, for those who read the status.
    """

    domain: str
    evacuated: bool
    reason: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Cancel:
    """Make sure that a command that is not agreed yet never runs."""

    command_id: str
