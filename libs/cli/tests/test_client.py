"""Answers of a process in trouble, read by the command line."""

import collections.abc
import socket
import threading

import pytest

from trefoil_cli import client

LINE = client.Line("show controls", "1-1", "tester", 1)
SOUND = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"


@pytest.fixture
def answers() -> collections.abc.Iterator[tuple[str, list[bytes]]]:
    """The address of a listener, and what it answers to one request each."""
    queue: list[bytes] = []
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve() -> None:
            while True:
                try:
                    connection, _ = listener.accept()
                except OSError:
                    return
                with connection:
                    connection.recv(65536)
                    connection.sendall(queue.pop(0))

        threading.Thread(target=serve, daemon=True).start()
        yield f"127.0.0.1:{listener.getsockname()[1]}", queue
        listener.shutdown(socket.SHUT_RDWR)


def test_a_sound_answer_is_read(answers) -> None:
    address, queue = answers
    queue.append(SOUND + b"\r\n{}")
    assert client.Client(address).send(LINE) == {}


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\n{}",
        SOUND + b"A\x00b: c\r\n\r\n{}",
        SOUND + b"A b: c\r\n\r\n{}",
        SOUND + b"no colon\r\n\r\n{}",
        SOUND + b"\r\n{,",
        SOUND + b"\r\n\xff\xff",
        SOUND + b"\r\n{",
        b"",
    ],
)
def test_an_answer_that_is_none_is_no_outcome(answers, answer: bytes) -> None:
    """The command line ended with a traceback, or took an odd answer."""
    address, queue = answers
    queue.append(answer)
    with pytest.raises(client.Unreachable):
        client.Client(address).send(LINE)
