"""The thin daemons of trefoilroute, on circuits."""

import sys

# circuits declares its namespace through pkg_resources where that is there,
# which takes a quarter of a process's start, and does without where it is
# not.
_FOUND = sys.modules.get("pkg_resources")
if _FOUND is None:
    sys.modules["pkg_resources"] = None  # type: ignore[assignment]
    import circuits  # noqa: F401

    del sys.modules["pkg_resources"]
