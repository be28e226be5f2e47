"""The check of a whole configuration before it is put in force."""

from trefoil_model import errors
from trefoil_wire import messages

from . import items as item_store


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
    service = services.get(route.service_name)
    if service is None:
        return [f"{place}: there is no service {route.service_name}"]
    if route.resource and route.resource not in service.resources:
        return [
            f"{place}: service {service.name} has no resource "
            f"{route.resource}"
        ]
    return []


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
