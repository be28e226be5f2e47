"""The trefoilroute daemons, built on circuits."""

import sys

# circuits declares its namespace package through pkg_resources if that can be
# imported, and works without it. The import takes a quarter of a process's
# start-up time, so it is blocked here.
_LOADED_PKG_RESOURCES = sys.modules.get("pkg_resources")
if _LOADED_PKG_RESOURCES is None:
    sys.modules["pkg_resources"] = None  # type: ignore[assignment]
    import circuits  # noqa: F401

    del sys.modules["pkg_resources"]
