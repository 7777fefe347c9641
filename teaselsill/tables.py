"""Plain text tables."""

import typing

GAP = "  "


def render(header: typing.Sequence[str], rows: list[typing.Sequence[str]]) -> str:
    """Returns the rows in columns that are as wide as their widest cell."""
    widths = [max(map(len, column)) for column in zip(header, *rows, strict=True)]
    return "\n".join(_render_line(line, widths) for line in [header, *rows])


def _render_line(cells: typing.Sequence[str], widths: list[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return GAP.join(padded).rstrip()
