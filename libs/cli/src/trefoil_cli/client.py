"""HTTP client for the admin listener of a process."""

import dataclasses
import http.client
import json
import time
import typing

COMMAND_PATH = "/v1/command"
TIMEOUT_S = 8.0
TIMESTAMP_DIGITS = 13


class Unreachable(Exception):
    """The connection failed or gave no valid HTTP response."""


class Refused(Exception):
    """The process rejected the line; the message gives the reason."""


@dataclasses.dataclass(slots=True)
class Line:
    """A line of the operators' language with the fields sent along.

    Args:
        text: The line.
        command_id: Number of the command; the same in each resend.
        operator: Name of the operator.
        issued_ms: Time of first issue, Unix time in milliseconds.
        document: Text of the configuration document of ``apply``.
    """

    text: str
    command_id: str
    operator: str
    issued_ms: int
    document: str = ""

    @classmethod
    def from_number(
        cls, text: str, number: str, operator: str, document: str = ""
    ) -> typing.Self:
        """Build a line whose time of issue is read from its number.

        A resend must repeat the command byte for byte, time of issue
        included; otherwise it is taken for a different command that uses
        the same number. A number that does not start with a time of issue
        gets the current time.
        """
        timestamp = number.partition("-")[0]
        has_timestamp = (
            len(timestamp) == TIMESTAMP_DIGITS and timestamp.isdigit()
        )
        now_ms = int(time.time() * 1000)
        issued_ms = int(timestamp) if has_timestamp else now_ms
        return cls(text, number, operator, issued_ms, document)

    def to_json(self) -> str:
        """Return the body of the HTTP request."""
        return json.dumps(
            {
                "line": self.text,
                "id": self.command_id,
                "operator": self.operator,
                "issued_ms": self.issued_ms,
                "document": self.document,
            }
        )


class Client:
    """Sends lines to the admin listener of one process.

    Args:
        address: IP address and port of the listener.
    """

    __slots__ = ("address",)

    def __init__(self, address: str) -> None:
        self.address = address

    def send(self, line: Line) -> dict[str, typing.Any]:
        """Send a line once and return the decoded answer.

        Raises:
            Unreachable: No answer within ``TIMEOUT_S``.
            Refused: The process rejected the line.
        """
        connection = http.client.HTTPConnection(
            self.address, timeout=TIMEOUT_S
        )
        try:
            connection.request("POST", COMMAND_PATH, line.to_json())
            response = connection.getresponse()
            _check_head(response)
            body = response.read().decode("utf-8", "replace")
        except (OSError, http.client.HTTPException) as error:
            raise Unreachable(f"{self.address}: {error}")
        finally:
            connection.close()
        if response.status != 200:
            raise Refused(body.strip())
        try:
            return json.loads(body)
        except ValueError as error:
            raise Unreachable(f"{self.address}: {error}")

    def send_and_wait(
        self, line: Line, wait_s: float
    ) -> dict[str, typing.Any]:
        """Send a line until its outcome is known or ``wait_s`` has passed.

        Resending is safe: the command keeps its id and runs at most once.

        Raises:
            Unreachable: No answer within ``TIMEOUT_S``.
            Refused: The process rejected the line.
        """
        deadline_s = time.monotonic() + wait_s
        while True:
            answer = self.send(line)
            pending = answer.get("outcome") == "pending"
            if not pending or time.monotonic() >= deadline_s:
                return answer
            time.sleep(answer.get("retry_after_ms", 500) / 1000)


def _check_head(response: http.client.HTTPResponse) -> None:
    """Check that all lines of an answer's head are header lines.

    Raises:
        HTTPException: One is not; the lines behind it were not read.
    """
    if response.headers.defects:
        raise http.client.HTTPException("bad header line")
