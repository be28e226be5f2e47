"""Reads what targets state about themselves in the headers of answers."""

import math
import re

from trefoil_requests import notices

from . import _http
from . import dialect as dialects

DECIMAL = re.compile(r"\d{1,15}(\.\d{0,15})?", re.ASCII)
LEAVING = "1"


def read(message: _http.Message, dialect: dialects.Dialect) -> notices.Notice:
    """Return the statements in an answer of a target.

    Of several limits in one answer the lowest applies: it holds whichever of
    them the target meant.
    """
    leaving = message.field(dialect.leaving.lower()) == LEAVING
    if dialect.rate_limit.lower() not in message.fields:
        return notices.Notice(leaving=leaving) if leaving else notices.NONE
    stated = _values(message.headers, dialect.rate_limit.lower())
    if all(DECIMAL.fullmatch(value) for value in stated):
        limit_per_s = min(map(float, stated), default=math.inf)
        if math.isfinite(limit_per_s):
            return notices.Notice(limit_per_s, leaving)
    return notices.Notice(
        leaving=leaving, malformed_limit=", ".join(stated) or "(empty)"
    )


def _values(headers: bytes, name: bytes) -> list[str]:
    """Return the values of all header lines with a name, in lower case."""
    values = []
    for line in headers.split(b"\r\n"):
        field, _, value = line.partition(b":")
        if field.lower() == name:
            values += value.decode("latin-1").split(",")
    return [value.strip() for value in values]
