"""Plain-text tables for the terminal."""

import typing

GAP = "  "


def render(rows: list[dict[str, typing.Any]]) -> str:
    """Return rows as an aligned table.

    The keys of the first row are the columns.
    """
    if not rows:
        return "(nothing)"
    columns = list(rows[0])
    lines = [[column.upper().replace("_", " ") for column in columns]]
    for row in rows:
        lines.append([_text(row.get(column)) for column in columns])
    widths = [
        max(len(line[index]) for line in lines)
        for index in range(len(columns))
    ]
    return "\n".join(
        GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths)
        ).rstrip()
        for line in lines
    )


def _text(value: typing.Any) -> str:
    return "-" if value is None else str(value)
