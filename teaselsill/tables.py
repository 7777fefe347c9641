"""Formats plain text tables."""

import typing

COLUMN_SEPARATOR = "  "


def render(header: typing.Sequence[str], rows: list[typing.Sequence[str]]) -> str:
    """Returns a table in which each column is as wide as its widest cell."""
    widths = [max(map(len, column)) for column in zip(header, *rows, strict=True)]
    return "\n".join(_render_line(line, widths) for line in [header, *rows])


def _render_line(cells: typing.Sequence[str], widths: list[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return COLUMN_SEPARATOR.join(padded).rstrip()
