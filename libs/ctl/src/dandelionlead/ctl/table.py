"""Formats rows of values as a text table with aligned columns."""

from __future__ import annotations

from collections.abc import Sequence

_COLUMN_SEPARATOR = "  "


def format_table(
    titles: Sequence[str], rows: list[Sequence[object]]
) -> list[str]:
    """Returns the lines of a table whose columns are aligned to the left.

    Args:
        titles: Titles of the columns.
        rows: Rows with one value per column. None is shown as "never", True as
            "yes", False as "no", and a float with three decimal places.

    Returns:
        A line of titles, then one line per row.
    """
    text_rows = [
        [_format_value(value) for value in row] for row in (titles, *rows)
    ]
    widths = [max(len(row[i]) for row in text_rows) for i in range(len(titles))]
    return [
        _COLUMN_SEPARATOR.join(
            text.ljust(width) for text, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in text_rows
    ]


def _format_value(value: object) -> str:
    if value is None:
        return "never"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3f}"
    return str(value)
