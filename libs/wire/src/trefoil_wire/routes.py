"""Functions over the fields of a route."""

from .gen import ttypes as messages

# No caller keeps its connection open for longer than this. A larger timeout
# was most likely given in the wrong unit.
MAX_TIMEOUT_MS = 600_000


def services_of(route: messages.Route) -> list[str]:
    """Return the names of the services that a route can send requests to."""
    if route.backends:
        return [backend.service_name for backend in route.backends]
    return [route.service_name] if route.service_name else []
