"""Prints rows of values as columns of text."""

from __future__ import annotations

from collections.abc import Sequence

_GAP = "  "


def lines(titles: Sequence[str], rows: list[Sequence[object]]) -> list[str]:
    """Returns a line of titles and one for each row."""
    texts = [[_text(value) for value in row] for row in (titles, *rows)]
    widths = [max(len(row[i]) for row in texts) for i in range(len(titles))]
    return [
        _GAP.join(
            text.ljust(width) for text, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in texts
    ]


def _text(value: object) -> str:
    if value is None:
        return "never"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3f}"
    return str(value)
