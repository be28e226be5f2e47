"""The check of a whole configuration before it is put in force."""

from trefoil_model import errors
from trefoil_wire import messages
from trefoil_wire import routes as route_fields

from . import items as item_store

# A caller whose connection waits this long is gone; a longer timeout is a
# slip of the unit.
MAX_TIMEOUT_MS = 600_000


def problems(items: item_store.Items) -> list[str]:
    """Return every reason why a configuration must not be put in force.

    A route that points at a service, version or resource that is not there
    would send callers' requests nowhere; a proxy keeps the configuration it
    has rather than apply part of such a one.
    """
    try:
        services = {s.name: s for s in items.all(item_store.SERVICE)}
        routes = items.all(item_store.ROUTE)
        shares = items.all(item_store.SHARES)
    except (errors.FrameError, KeyError, ValueError) as error:
        return [f"unreadable item: {error}"]
    found = []
    for route in routes:
        found.extend(_route_problems(route, services))
    found.extend(_same_places(routes))
    split = {entry.service_name for entry in shares}
    for name in services:
        if name not in split:
            found.append(f"service {name}: no version has a share")
    for entry in shares:
        found.extend(_share_problems(entry, services))
    return found


def _route_problems(
    route: messages.Route, services: dict[str, messages.Service]
) -> list[str]:
    place = f"route {route.name}"
    found = []
    for name in route_fields.services_of(route):
        service = services.get(name)
        if service is None:
            found.append(f"{place}: there is no service {name}")
        elif route.resource and route.resource not in service.resources:
            found.append(
                f"{place}: service {name} has no resource {route.resource}"
            )
    weights = [backend.weight for backend in route.backends or ()]
    if any(weight < 0 for weight in weights):
        found.append(f"{place}: a weight is below 0")
    elif weights and not sum(weights):
        found.append(f"{place}: no backend has a weight")
    if not 0 < route.timeout_ms <= MAX_TIMEOUT_MS:
        found.append(
            f"{place}: the timeout is {route.timeout_ms} ms, "
            f"not 1 to {MAX_TIMEOUT_MS}"
        )
    if route.max_attempts < 1:
        found.append(f"{place}: {route.max_attempts} attempts serve nobody")
    return found


def _same_places(routes: list[messages.Route]) -> list[str]:
    """Return the routes of which one would hide the other."""
    found = []
    seen: dict[tuple[str, str], list[messages.Route]] = {}
    for route in routes:
        others = seen.setdefault((route.host, route.prefix), [])
        for other in others:
            apart = not set(route.methods or ()) & set(other.methods or ())
            if not (route.methods and other.methods and apart):
                found.append(
                    f"routes {other.name} and {route.name}: both take "
                    f"{route.host} {route.prefix}"
                )
        others.append(route)
    return found


def _share_problems(
    entry: messages.Shares, services: dict[str, messages.Service]
) -> list[str]:
    place = f"shares of {entry.service_name}"
    if entry.service_name not in services:
        return [f"{place}: there is no such service"]
    total = sum(share.permille for share in entry.shares)
    if total != 1000 or any(s.permille < 0 for s in entry.shares):
        return [f"{place}: they add up to {total}, not 1000"]
    return []
