"""Statements of the operators' language."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class InForce:
    """Ask which revision is in force at each place.

    Args:
        by: Grouping: ``host``, ``domain`` or ``service``.
        host: Only this host, if set.
        domain: Only this failure domain, if set.
    """

    by: str = "domain"
    host: str = ""
    domain: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class ShowMoves:
    """Ask for all moves, or those of one service."""

    service: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class MoveDone:
    """Ask whether the latest move of a service is done."""

    service: str


@dataclasses.dataclass(slots=True, frozen=True)
class Explain:
    """Ask for the steps of the latest move of a service and their reasons."""

    service: str


@dataclasses.dataclass(slots=True, frozen=True)
class ShowTargets:
    """Ask for the announced targets of all services, or of one."""

    service: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class ShowRoutes:
    """Ask for the routes in force."""


@dataclasses.dataclass(slots=True, frozen=True)
class ShowServices:
    """Ask for the services and the traffic shares of their versions."""


@dataclasses.dataclass(slots=True, frozen=True)
class ShowControls:
    """Ask for the control processes and their leader."""


@dataclasses.dataclass(slots=True, frozen=True)
class ShowLatency:
    """Ask one proxy for its latency quantiles by tenant."""


@dataclasses.dataclass(slots=True, frozen=True)
class ShowBytes:
    """Ask one process for the control bytes that it sent, by kind."""


@dataclasses.dataclass(slots=True, frozen=True)
class ShowDocument:
    """Ask for the document of the current configuration."""


@dataclasses.dataclass(slots=True, frozen=True)
class ShowEvacuations:
    """Ask for the evacuated failure domains, with start times and reasons."""


@dataclasses.dataclass(slots=True, frozen=True)
class ShowAccounts:
    """Ask for all client accounts, or for one of them.

    Args:
        account: Only this account, if set.
    """

    account: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Apply:
    """Apply the configuration document that is sent with the line.

    Args:
        file: Path of the document.
        expected: Revision that must be in force; 0 accepts any.
    """

    file: str
    expected: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Move:
    """Move the traffic of a service to another version.

    Args:
        service: The service.
        from_version: The version in force; empty accepts any.
        to_version: The new version.
        deadline_in_ms: Milliseconds until the deadline; 0 if ``deadline``
            is set.
        deadline: The deadline as a date and time in UTC, ISO 8601.
        risk_permille: Largest share of the traffic that the new version
            gets before there is evidence for a verdict.
        watch_ms: Milliseconds for which the new version is still watched
            once it gets all traffic.
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
    """Reverse the running move of a service."""

    service: str


@dataclasses.dataclass(slots=True, frozen=True)
class Drain:
    """Start or end the drain of a host.

    Args:
        host: The host.
        draining: True sends it no new requests; False ends the drain.
    """

    host: str
    draining: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Evacuate:
    """Start or end the evacuation of a failure domain.

    Args:
        domain: The failure domain.
        evacuated: True sends its targets no requests; False ends the
            evacuation.
        reason: Reason that is shown with the evacuation.
    """

    domain: str
    evacuated: bool
    reason: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Cancel:
    """Ensure that a command that is not committed yet never runs."""

    command_id: str
