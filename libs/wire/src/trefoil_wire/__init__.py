"""Messages between trefoilroute processes, and their frames."""

from .gen import ttypes as messages

__all__ = ["messages"]
