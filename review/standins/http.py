"""A small HTTP/1.1 client for the stand-ins, one request a connection."""

import asyncio
import dataclasses
import json
import typing


class BrokenAnswer(Exception):
    """The connection ended before an answer was complete."""


@dataclasses.dataclass(slots=True)
class Answer:
    """An answer that arrived in full.

    Args:
        status: Its status.
        fields: Its header fields by lower-case name.
        body: Its body.
    """

    status: int
    fields: dict[str, str]
    body: bytes


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Return the start line and the header fields of a message.

    Raises:
        BrokenAnswer: The connection ended before the head was complete.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise BrokenAnswer(f"no head: {error}")
    lines = head.decode("latin-1").split("\r\n")[:-2]
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Return the next answer of a connection.

    Raises:
        BrokenAnswer: The connection ended before it was complete.
    """
    start, fields = await read_head(reader)
    length = int(fields.get("content-length", "0"))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise BrokenAnswer(f"the body is cut: {error}")
    return Answer(int(start.split(" ")[1]), fields, body)


def render(
    method: str,
    path: str,
    fields: dict[str, str],
    body: bytes = b"",
) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body or method in ("PUT", "POST"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    fields: dict[str, str] | None = None,
    body: bytes = b"",
) -> Answer:
    """Send one request on a connection of its own and return the answer.

    Raises:
        OSError: The connection can't be opened.
        BrokenAnswer: It ended before the answer was complete.
    """
    reader, writer = await asyncio.open_connection(*address)
    try:
        sent = {"Host": "platform.example", "Connection": "close"}
        writer.write(render(method, path, sent | (fields or {}), body))
        return await read_answer(reader)
    finally:
        writer.close()


async def call_json(
    address: tuple[str, int],
    method: str,
    path: str,
    value: typing.Any = None,
    timeout_s: float = 1.0,
) -> Answer | None:
    """Send a JSON body; return None without an answer in time."""
    body = b"" if value is None else json.dumps(value).encode()
    fields = {"Content-Type": "application/json"} if body else {}
    try:
        return await asyncio.wait_for(
            call(address, method, path, fields, body), timeout_s
        )
    except (OSError, asyncio.TimeoutError, BrokenAnswer):
        return None
