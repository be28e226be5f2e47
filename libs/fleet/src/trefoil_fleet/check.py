"""Validation of a whole configuration before it is put in force."""

import math

from trefoil_model import errors
from trefoil_model import keys
from trefoil_wire import messages
from trefoil_wire import routes as route_fields

from . import items as item_store


def find_problems(items: item_store.Items) -> list[str]:
    """Return every reason why a configuration must not be put in force.

    A route to a service, version or resource that does not exist has no
    target for its requests. A proxy rejects a configuration with such a
    route as a whole, and keeps its current one.

    Returns:
        One text per problem, empty if the configuration is valid.
    """
    try:
        services = {s.name: s for s in items.all(item_store.SERVICE)}
        routes = items.all(item_store.ROUTE)
        shares = items.all(item_store.SHARES)
        accounts = items.all(item_store.ACCOUNT)
    except (errors.FrameError, KeyError, ValueError) as error:
        return [f"unreadable item: {error}"]
    problems = []
    for route in routes:
        problems.extend(_route_problems(route, services))
    problems.extend(_overlap_problems(routes))
    services_with_shares = {entry.service_name for entry in shares}
    for name in services:
        if name not in services_with_shares:
            problems.append(f"service {name}: no version has a share")
    for entry in shares:
        problems.extend(_share_problems(entry, services))
    problems.extend(_account_problems(accounts))
    return problems


def _route_problems(
    route: messages.Route, services: dict[str, messages.Service]
) -> list[str]:
    label = f"route {route.name}"
    problems = []
    for name in route_fields.services_of(route):
        service = services.get(name)
        if service is None:
            problems.append(f"{label}: there is no service {name}")
        elif route.resource and route.resource not in service.resources:
            problems.append(
                f"{label}: service {name} has no resource {route.resource}"
            )
    weights = [backend.weight for backend in route.backends or ()]
    if any(weight < 0 for weight in weights):
        problems.append(f"{label}: a weight is below 0")
    elif weights and not sum(weights):
        problems.append(f"{label}: no backend has a weight")
    if not 0 < route.timeout_ms <= route_fields.MAX_TIMEOUT_MS:
        problems.append(
            f"{label}: the timeout is {route.timeout_ms} ms, "
            f"not 1 to {route_fields.MAX_TIMEOUT_MS}"
        )
    if route.max_attempts < 1:
        problems.append(f"{label}: {route.max_attempts} attempts serve nobody")
    return problems


def _overlap_problems(routes: list[messages.Route]) -> list[str]:
    """Return the pairs of routes that match the same requests."""
    problems = []
    seen: dict[tuple[str, str], list[messages.Route]] = {}
    for route in routes:
        others = seen.setdefault((route.host, route.prefix), [])
        for other in others:
            disjoint = not set(route.methods or ()) & set(other.methods or ())
            if not (route.methods and other.methods and disjoint):
                problems.append(
                    f"routes {other.name} and {route.name}: both take "
                    f"{route.host} {route.prefix}"
                )
        others.append(route)
    return problems


def _share_problems(
    entry: messages.Shares, services: dict[str, messages.Service]
) -> list[str]:
    label = f"shares of {entry.service_name}"
    if entry.service_name not in services:
        return [f"{label}: there is no such service"]
    total = sum(share.permille for share in entry.shares)
    if total != 1000 or any(s.permille < 0 for s in entry.shares):
        return [f"{label}: they add up to {total}, not 1000"]
    return []


def _account_problems(accounts: list[messages.Account]) -> list[str]:
    """Return the problems of the accounts, without any of their keys."""
    problems = []
    owners: dict[bytes, str] = {}
    for account in accounts:
        label = f"account {account.name!r}"
        if not (account.name.isascii() and account.name.isprintable()):
            problems.append(f"{label}: the name is not printable ASCII")
        for rate in (account.rate_per_s, account.burst):
            if not (math.isfinite(rate) and rate >= 0):
                problems.append(f"{label}: {rate} is not a rate")
        for digest in account.key_digests:
            if len(digest) != keys.DIGEST_BYTES:
                problems.append(f"{label}: a key can't be read")
            owner = owners.setdefault(digest, account.name)
            if owner != account.name:
                problems.append(f"{label}: account {owner} has the same key")
    return problems
