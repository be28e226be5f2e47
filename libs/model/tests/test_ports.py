"""Ports that are open while a process is still loaded."""

import socket

import pytest

from trefoil_model import ports


def free_address() -> str:
    """Return an address that nobody uses."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


@pytest.mark.parametrize("quote", ["", '"', "'"])
def test_a_caller_that_connects_early_is_kept(quote: str) -> None:
    """A caller connects while the process still loads its libraries.

    It was refused. Its connection now waits and its bytes are there when
    the process takes the port over.
    """
    address = free_address()
    ports.open_early(f"host: h\ncallers: {quote}{address}{quote}\nready: x\n")
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port))) as caller:
        caller.sendall(b"GET")
        listener = ports.take(address)
        taken, _peer = listener.accept()
        taken.setblocking(True)
        assert taken.recv(3) == b"GET"
        taken.close()
        listener.close()
    assert ports.opened == {}


@pytest.mark.parametrize(
    "settings",
    ["", "host: h\n", "callers:\n  - 1\n", "# callers: 1.2.3.4:5\n"],
)
def test_settings_without_a_plain_port_open_none(settings: str) -> None:
    ports.open_early(settings)
    assert ports.opened == {}


def test_a_port_in_use_is_told_where_it_is_taken() -> None:
    address = free_address()
    held = ports.open_port(address)
    ports.open_early(f"callers: {address}\n")
    assert ports.opened == {}
    with pytest.raises(OSError):
        ports.take(address)
    held.close()
