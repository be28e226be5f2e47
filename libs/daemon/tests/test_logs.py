"""Log lines: one event, key=value, and back again."""

import pytest

from trefoil_daemon import logs


@pytest.mark.parametrize(
    "value",
    ["plain", "", "two words", 'a "quote"', "line\nbreak", "k=v", "é", 7],
)
def test_values_parse_back(value: object) -> None:
    line = f"event=x value={logs.quote(value)} last=1"
    assert logs.parse(line) == {
        "event": "x",
        "value": str(value),
        "last": "1",
    }
    assert "\n" not in line
