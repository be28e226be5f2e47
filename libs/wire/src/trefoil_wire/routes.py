"""Functions over the fields of a route."""

from .gen import ttypes as messages


def services_of(route: messages.Route) -> list[str]:
    """Return the names of the services that a route can send requests to."""
    if route.backends:
        return [backend.service_name for backend in route.backends]
    return [route.service_name] if route.service_name else []
