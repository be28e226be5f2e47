"""Streams to odd addresses, and without descriptors for them."""

import errno
import typing

import pytest

from trefoil_daemon import transport as transports


class Poller:
    """A poller without sockets."""

    def __getattr__(self, name: str) -> typing.Any:
        """Ignore registrations."""
        return lambda *args: None


@pytest.mark.parametrize(
    "address",
    [
        "",
        "10.0.0.2",
        "10.0.0.2:",
        "10.0.0.2:99999",
        "10.0.0.2:-1",
        "10.0.0.2:80x",
        "10.0.0.2:" + "9" * 5000,
        "10.0.0.2\0:80",
        "nowhere.example:80",
        "x" * 5000 + ":80",
        "\u0663:80",
    ],
    ids=lambda address: repr(address[:20]),
)
def test_an_odd_address_fails_like_one_that_nobody_answers_at(
    address: str,
) -> None:
    """Dials raised in ticks and calls, and a name was looked up meanwhile."""
    transport = transports.Transport(
        typing.cast(transports.DirectPoller, Poller())
    )
    closed: list[transports.Stream] = []
    opened: list[transports.Stream] = []
    stream = transport.connect(address, opened.append)
    stream.on_close = closed.append
    stream.write(b"request")
    assert closed == []
    transport.deferred.popleft()()
    assert (closed, opened, transport.streams) == ([stream], [], {})
    assert stream.connecting


class Listener:
    """A listening socket for whose connections no descriptor is left."""

    def accept(self) -> typing.Any:
        """Raise the error of accept(2)."""
        raise OSError(errno.EMFILE, "Too many open files")


class ReadingPoller(Poller):
    """Records which sockets are polled."""

    def __init__(self) -> None:
        self.reading: list[typing.Any] = []

    def addReader(self, source: typing.Any, sock: typing.Any) -> None:
        """Poll a socket."""
        self.reading.append(sock)

    def removeReader(self, sock: typing.Any) -> None:
        """Poll a socket no longer."""
        self.reading.remove(sock)


def test_a_listener_is_not_polled_while_descriptors_are_out() -> None:
    """It stayed readable, and the loop did nothing else than ask it."""
    poller = ReadingPoller()
    transport = transports.Transport(
        typing.cast(transports.DirectPoller, poller)
    )
    listener = typing.cast(typing.Any, Listener())
    transport.listeners[listener] = lambda stream: None
    poller.addReader(None, listener)
    transport.readable(listener)
    assert poller.reading == []
    transport.accept_again()
    assert poller.reading == [listener]
