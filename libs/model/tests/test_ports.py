"""Ports that are opened while the process still loads its libraries."""

import socket

import pytest

from trefoil_model import ports


def free_address() -> str:
    """Return an address with an unused port."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


@pytest.mark.parametrize("quote", ["", '"', "'"])
def test_a_connection_made_during_startup_is_accepted(quote: str) -> None:
    """A caller connects while the process still loads its libraries.

    Without a listening socket it would be refused. Its connection and the
    bytes that it sent must be available once the process takes the socket.
    """
    address = free_address()
    ports.open_early(f"host: h\ncallers: {quote}{address}{quote}\nready: x\n")
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port))) as caller:
        caller.sendall(b"GET")
        listener = ports.take(address)
        accepted, _peer = listener.accept()
        accepted.setblocking(True)
        assert accepted.recv(3) == b"GET"
        accepted.close()
        listener.close()
    assert ports.early_sockets == {}


@pytest.mark.parametrize(
    "settings",
    ["", "host: h\n", "callers:\n  - 1\n", "# callers: 1.2.3.4:5\n"],
)
def test_settings_without_a_plain_port_open_none(settings: str) -> None:
    ports.open_early(settings)
    assert ports.early_sockets == {}


def test_a_port_in_use_raises_where_it_is_taken() -> None:
    address = free_address()
    occupied = ports.open_port(address)
    ports.open_early(f"callers: {address}\n")
    assert ports.early_sockets == {}
    with pytest.raises(OSError):
        ports.take(address)
    occupied.close()
