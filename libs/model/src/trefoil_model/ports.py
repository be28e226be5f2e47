"""Listening sockets that are opened before the rest of the program loads.

A restarted process takes a third of a second to load its libraries. Callers
that connect during that time would be refused, which uses up one of their
attempts. With the port already open, their connections wait in the kernel's
backlog until the process runs. This module therefore imports only modules
that load quickly.
"""

import re
import socket

BACKLOG = 512
CALLERS_PATTERN = re.compile(
    r"^callers:\s*[\"']?([0-9.]+:[0-9]+)", re.MULTILINE
)

early_sockets: dict[str, socket.socket] = {}


def open_port(address: str) -> socket.socket:
    """Return a non-blocking listening socket.

    Args:
        address: IPv4 address and port, as in ``127.0.0.1:8080``.

    Raises:
        OSError: The address cannot be bound.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind((host, int(port)))
    sock.listen(BACKLOG)
    return sock


def open_early(settings: str) -> None:
    """Open the port for callers that a settings file names.

    A regular expression finds it, since a YAML parser loads too slowly. If
    it does not match, or the port cannot be opened, ``take`` opens the port
    once the settings have been checked.

    Args:
        settings: Text of the settings file.
    """
    match = CALLERS_PATTERN.search(settings)
    if match is None:
        return
    try:
        early_sockets[match[1]] = open_port(match[1])
    except OSError:
        # ``take`` opens the port again and raises the error.
        return


def take(address: str) -> socket.socket:
    """Return the listening socket of an address.

    It is opened now unless ``open_early`` has opened it.

    Raises:
        OSError: The address cannot be bound.
    """
    return early_sockets.pop(address, None) or open_port(address)
