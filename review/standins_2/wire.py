"""HTTP/1.1 as clients, upstreams and the operator use it."""

import asyncio
import dataclasses
import json
import typing

Address = tuple[str, int]


@dataclasses.dataclass(slots=True)
class Head:
    """The head of a message: its first line and its fields."""

    line: str
    fields: dict[str, str]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.line.split()[1])


@dataclasses.dataclass(slots=True)
class Response:
    """A complete response."""

    status: int
    fields: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Return the next head, None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *lines = data.decode("latin-1").split("\r\n")[:-2]
    fields = {}
    for text in lines:
        name, _, value = text.partition(":")
        fields[name.strip().lower()] = value.strip()
    return Head(line, fields)


async def read_body(
    reader: asyncio.StreamReader, fields: dict[str, str]
) -> bytes:
    """Return the body of a message that states its length."""
    length = int(fields.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


async def read_response(reader: asyncio.StreamReader) -> Response | None:
    """Return a complete response, None if the connection ends before."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        body = await read_body(reader, head.fields)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Response(head.status, head.fields, body)


def request_bytes(
    method: str, path: str, fields: dict[str, str], body: bytes = b""
) -> bytes:
    """Return a request as sent."""
    fields = dict(fields)
    if body or method in ("POST", "PUT"):
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(
    address: Address,
    method: str,
    path: str,
    value: typing.Any = None,
    *,
    wait_s: float = 1.0,
    fields: dict[str, str] | None = None,
) -> Response | None:
    """Make one call on a new connection.

    Returns:
        None without a complete response in time.
    """
    body = b"" if value is None else json.dumps(value).encode()
    return await call_raw(
        address, method, path, body, wait_s=wait_s, fields=fields
    )


async def call_raw(
    address: Address,
    method: str,
    path: str,
    body: bytes = b"",
    *,
    wait_s: float = 1.0,
    fields: dict[str, str] | None = None,
) -> Response | None:
    """Make one call with a body as given; see ``call``."""
    head = {"Host": "platform", "Content-Type": "application/json"}
    head |= fields or {}
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(request_bytes(method, path, head, body))
            return await read_response(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
