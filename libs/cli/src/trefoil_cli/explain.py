"""Reconstructs the history of one request from collected logs."""

import collections.abc
import dataclasses
import pathlib

from trefoil_model import lines

ID_KEY = "id"
FIRST_KEY = "at="
# Earlier log lines shown for each target, as a change there may be the cause.
EARLIER_TARGET_LINES = 3


@dataclasses.dataclass(slots=True)
class LogLine:
    """One log line.

    Args:
        at: Time of the line, ISO 8601 in UTC.
        process: Name of the process that logged it.
        pairs: Its keys and values.
        text: The line without what precedes its first key.
    """

    at: str
    process: str
    pairs: dict[str, str]
    text: str


def read(files: collections.abc.Iterable[str]) -> list[LogLine]:
    """Return the log lines of files in order of time.

    Text that is not a log line is skipped.
    """
    log_lines = []
    for file in files:
        text = pathlib.Path(file).read_text(errors="replace")
        log_lines.extend(_parse_lines(text))
    return sorted(log_lines, key=lambda line: line.at)


def _parse_lines(text: str) -> collections.abc.Iterator[LogLine]:
    for raw in text.splitlines():
        start = raw.find(FIRST_KEY)
        if start < 0:
            continue
        try:
            pairs = lines.parse(raw[start:])
        except ValueError:
            # Written by another program, or truncated on collection.
            continue
        if "event" in pairs:
            process = pairs.get("process", "")
            yield LogLine(pairs["at"], process, pairs, raw[start:])


def request_history(
    log_lines: list[LogLine], request_id: str
) -> list[LogLine]:
    """Return the lines of a request and the events that explain them.

    In addition to the lines with the request's id: the configuration in
    force at each process that logged one, the last retry budget event of
    its service there, and the last ``EARLIER_TARGET_LINES`` lines of each of
    its targets. Empty if no line has the id.
    """
    request_lines = [
        line for line in log_lines if line.pairs.get(ID_KEY) == request_id
    ]
    if not request_lines:
        return []
    first_at = request_lines[0].at
    related = list(request_lines)
    for process in sorted({line.process for line in request_lines}):
        related += _last_matching(
            log_lines, first_at, 1, process=process, event="config.in_force"
        )
        for service in sorted(
            {line.pairs.get("service", "") for line in request_lines}
        ):
            criteria = {"event": "budget.spent", "service": service}
            related += _last_matching(
                log_lines, first_at, 1, process=process, **criteria
            )
    for target in sorted(_target_names(request_lines)):
        related += _last_matching(
            log_lines, first_at, EARLIER_TARGET_LINES, target=target
        )
    return sorted(related, key=lambda line: line.at)


def _target_names(request_lines: list[LogLine]) -> set[str]:
    names = {
        line.pairs.get(key, "")
        for line in request_lines
        for key in ("target", "also")
    }
    return {name.rpartition("/")[2] for name in names if name}


def _last_matching(
    log_lines: list[LogLine], before: str, count: int, **criteria: str
) -> list[LogLine]:
    matches = [
        line
        for line in log_lines
        if line.at < before
        and ID_KEY not in line.pairs
        and all(line.pairs.get(k) == v for k, v in criteria.items())
    ]
    return matches[-count:]
