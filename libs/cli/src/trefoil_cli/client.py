"""The HTTP client of the operators' interface."""

import dataclasses
import http.client
import json
import time
import typing

COMMAND_PATH = "/v1/command"
TIMEOUT_S = 8.0
STAMP_DIGITS = 13


class Unreachable(Exception):
    """No process answers at the address."""


class Refused(Exception):
    """The process refused the line; its text says why."""


@dataclasses.dataclass(slots=True)
class Line:
    """A line on its way to a process.

    Args:
        text: The line.
        command_id: Number of the command; kept when it is sent again.
        operator: Name of the operator.
        issued_ms: When it was first issued, Unix time in milliseconds.
        document: The configuration document of ``apply``.
    """

    text: str
    command_id: str
    operator: str
    issued_ms: int
    document: str = ""

    @classmethod
    def numbered(
        cls, text: str, number: str, operator: str, document: str = ""
    ) -> typing.Self:
        """Build a line from its number, which tells when it was issued.

        A resend with the same number must be the same command to the last
        byte, the time of issue included, or it would be another's.
        """
        stamp = number.partition("-")[0]
        stamped = len(stamp) == STAMP_DIGITS and stamp.isdigit()
        now_ms = int(time.time() * 1000)
        issued_ms = int(stamp) if stamped else now_ms
        return cls(text, number, operator, issued_ms, document)

    def to_json(self) -> str:
        """Return what is sent."""
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
    """Speaks to the operators' interface of one process.

    Args:
        address: Its IP number and port.
    """

    __slots__ = ("address",)

    def __init__(self, address: str) -> None:
        self.address = address

    def send(self, line: Line) -> dict[str, typing.Any]:
        """Send a line once and return the answer.

        Raises:
            Unreachable: Nothing answers.
            Refused: The line is wrong.
        """
        connection = http.client.HTTPConnection(
            self.address, timeout=TIMEOUT_S
        )
        try:
            connection.request("POST", COMMAND_PATH, line.to_json())
            response = connection.getresponse()
            body = response.read().decode("utf-8", "replace")
        except (OSError, http.client.HTTPException) as error:
            raise Unreachable(f"{self.address}: {error}")
        finally:
            connection.close()
        if response.status != 200:
            raise Refused(body.strip())
        return json.loads(body)

    def settle(self, line: Line, wait_s: float) -> dict[str, typing.Any]:
        """Send a line until its outcome is known or time is up.

        Sending again is safe: the command keeps its id.
        """
        until = time.monotonic() + wait_s
        while True:
            answer = self.send(line)
            pending = answer.get("outcome") == "pending"
            if not pending or time.monotonic() >= until:
                return answer
            time.sleep(answer.get("retry_after_ms", 500) / 1000)
