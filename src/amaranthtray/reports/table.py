"""Renders the burn report as tables for a terminal."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rich import box
from rich.console import Group
from rich.table import Table
from rich.text import Text

from ._format import COLUMNS, COMPLETENESS_NOTE, cells, warnings
from .burn import Severity

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rich.console import RenderableType

    from .burn import BurnReport, BurnRow

STYLES = {Severity.PAGE: "bold red", Severity.TICKET: "yellow"}


def to_renderable(report: BurnReport) -> RenderableType:
    """Returns the whole report, to print with a Rich console."""
    notes = [Text(f"warning: {line}", style="yellow") for line in warnings(report)]
    answered = ", ".join(report.answered) or "none"
    return Group(
        _table("Burn by service", report.services),
        _table("Burn by team", report.teams),
        Text(f"entries counted: {answered}"),
        *notes,
        Text(COMPLETENESS_NOTE),
    )


def _table(title: str, rows: Iterable[BurnRow]) -> Table:
    table = Table(title=title, title_justify="left", box=box.SIMPLE_HEAD)
    for name in COLUMNS:
        table.add_column(name, overflow="fold")
    for row in rows:
        style = STYLES.get(row.severity)
        table.add_row(*(Text(item) for item in cells(row)), style=style)
    return table
