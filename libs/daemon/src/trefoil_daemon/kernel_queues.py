"""What the kernel holds of a TCP connection, in both directions."""

import fcntl
import socket
import struct
import termios

BYTE_COUNT = struct.Struct("i")


def unacknowledged(sock: socket.socket) -> int:
    """Return the written bytes that the peer has not acknowledged.

    A sent end of the stream counts as one byte. Returns 0 if the platform
    does not tell.
    """
    return _byte_count(sock, termios.TIOCOUTQ)


def unread(sock: socket.socket) -> int:
    """Return the received bytes that this process has not read.

    Returns 0 if the platform does not tell.
    """
    return _byte_count(sock, termios.FIONREAD)


def _byte_count(sock: socket.socket, request: int) -> int:
    try:
        reply = fcntl.ioctl(sock, request, bytes(BYTE_COUNT.size))
    except (OSError, ValueError):
        return 0
    return BYTE_COUNT.unpack(reply)[0]
