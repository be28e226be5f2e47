"""Messages between trefoilroute processes and their framing."""

from .gen import ttypes as messages

__all__ = ["messages"]
