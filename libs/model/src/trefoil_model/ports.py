"""Ports that are opened before the rest of a program is loaded.

A process that was killed needs a third of a second to load its libraries. A
caller that connects meanwhile is refused, and has one try less; with the port
open its connection waits in the kernel and is answered as soon as the process
runs. This module imports nothing that takes time.
"""

import re
import socket

BACKLOG = 512
CALLERS_LINE = re.compile(r"^callers:\s*[\"']?([0-9.]+:[0-9]+)", re.MULTILINE)

opened: dict[str, socket.socket] = {}


def open_port(address: str) -> socket.socket:
    """Return a listening socket at an address, IP number and port."""
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind((host, int(port)))
    sock.listen(BACKLOG)
    return sock


def open_early(settings: str) -> None:
    """Open the callers' port that the text of a settings file names.

    Settings that do not name one so plainly are left to their checks; the
    port is then opened later.
    """
    found = CALLERS_LINE.search(settings)
    if found is None:
        return
    try:
        opened[found[1]] = open_port(found[1])
    except OSError:
        # Opening it again where it is used tells what is wrong with it.
        return


def take(address: str) -> socket.socket:
    """Return the listening socket of an address, opened early or now."""
    return opened.pop(address, None) or open_port(address)
