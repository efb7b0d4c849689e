"""Command output as aligned tables or as JSON."""

from typing import Any, NamedTuple

from rich.box import SIMPLE_HEAD
from rich.console import Console
from rich.table import Table

CONSOLE_COLUMNS = 160


class Grid(NamedTuple):
    """A table.

    Attributes:
        title: Title of the table.
        columns: Names of the columns.
        rows: The cells.
    """

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]


class Output(NamedTuple):
    """Output of one command.

    Attributes:
        media: Output as JSON-compatible values, for ``--json``.
        grids: Output as tables.
        notes: Lines printed after the tables, such as hosts without answer.
    """

    media: Any
    grids: tuple[Grid, ...] = ()
    notes: tuple[str, ...] = ()


def render(output: Output) -> str:
    """Formats output as human-readable text."""
    parts = [_grid(grid) for grid in output.grids]
    if output.notes:
        parts.append("\n".join(output.notes))
    return "\n\n".join(parts)


def _grid(grid: Grid) -> str:
    if not grid.rows:
        return f"{grid.title}: none"
    table = Table(title=grid.title, box=SIMPLE_HEAD, title_justify="left")
    for index, column in enumerate(grid.columns):
        cells = [row[index] for row in grid.rows]
        is_number = all(isinstance(cell, int | float) for cell in cells)
        table.add_column(
            column,
            justify="right" if is_number else "left",
            no_wrap=is_number,
            overflow="fold",
        )
    for row in grid.rows:
        table.add_row(*(_cell(cell) for cell in row))
    console = Console(width=CONSOLE_COLUMNS, color_system=None, markup=False)
    with console.capture() as capture:
        console.print(table)
    lines = capture.get().rstrip().splitlines()
    lines = [lines[0], *lines[2:]]
    return "\n".join(line.rstrip() for line in lines)


def _cell(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.1f}"
    return str(value)
