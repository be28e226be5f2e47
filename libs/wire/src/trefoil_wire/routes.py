"""What the fields of a route's struct mean together."""

from .gen import ttypes as messages


def services_of(route: messages.Route) -> list[str]:
    """Return the services that a route may lead to."""
    if route.backends:
        return [backend.service_name for backend in route.backends]
    return [route.service_name] if route.service_name else []
