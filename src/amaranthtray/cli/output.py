"""Output of results, as tables for people or as JSON for programs."""

from __future__ import annotations

import sys
from enum import StrEnum
from typing import TYPE_CHECKING, Any

import click
import msgspec
from rich import box
from rich.console import Console
from rich.table import Table
from rich.text import Text

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

REDIRECTED_COLUMNS = 160
"""Width of tables, in columns, when the output is not a terminal."""


class OutputFormat(StrEnum):
    """Format of the result of a command."""

    TABLE = "table"
    JSON = "json"


def print_json(data: object) -> None:
    """Prints ``data`` as indented JSON."""
    encoded = msgspec.json.encode(data, enc_hook=str)
    click.echo(msgspec.json.format(encoded, indent=2))


def print_line(data: object) -> None:
    """Prints ``data`` as one line of JSON."""
    click.echo(msgspec.json.encode(data, enc_hook=str))


def make_console(*, is_error: bool = False) -> Console:
    """Returns a console; its width is fixed if the stream is not a terminal."""
    stream = sys.stderr if is_error else sys.stdout
    width = None if stream.isatty() else REDIRECTED_COLUMNS
    return Console(file=stream, width=width, highlight=False)


def print_table(
    columns: Sequence[str],
    rows: Iterable[Sequence[object]],
    *,
    title: str | None = None,
    is_error: bool = False,
) -> None:
    """Prints rows under a header of column names."""
    table = Table(box=box.SIMPLE_HEAD, title=title, title_justify="left")
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(Text(cell_text(value)) for value in row))
    make_console(is_error=is_error).print(table)


def print_records(records: Iterable[Mapping[str, Any]], output: OutputFormat) -> None:
    """Prints records; a table has a column for each key that any record has."""
    records = list(records)
    if output is OutputFormat.JSON:
        print_json(records)
        return
    columns = list(dict.fromkeys(name for record in records for name in record))
    rows = [[record.get(name, "") for name in columns] for record in records]
    print_table(columns, rows)


def print_reply(data: Any, output: OutputFormat) -> None:
    """Prints a reply of any shape: scalar values first, then one table per list."""
    if output is OutputFormat.JSON:
        print_json(data)
    elif isinstance(data, list):
        print_records(_as_records(data), output)
    elif isinstance(data, dict):
        _print_mapping(data)
    else:
        click.echo(cell_text(data))


def cell_text(value: object) -> str:
    """Returns the text of one table cell."""
    match value:
        case None:
            return "-"
        case bool():
            return "yes" if value else "no"
        case dict():
            return " ".join(
                f"{key}={cell_text(val)}" for key, val in sorted(value.items())
            )
        case list() | tuple():
            return ", ".join(cell_text(item) for item in value)
        case _:
            return str(value)


def _print_mapping(data: dict[str, Any]) -> None:
    nested = {key: val for key, val in data.items() if _is_table(val)}
    flat = {key: val for key, val in data.items() if key not in nested}
    if flat:
        print_table(("name", "value"), flat.items())
    for name, value in nested.items():
        click.echo(f"{name}:")
        print_records(_as_records(value), OutputFormat.TABLE)


def _is_table(value: object) -> bool:
    """Returns whether ``value`` is a non-empty collection of dictionaries."""
    items = value.values() if isinstance(value, dict) else value
    if not isinstance(value, list | dict) or not value:
        return False
    return all(isinstance(item, dict) for item in items)  # type: ignore[attr-defined]


def _as_records(value: list[Any] | dict[str, Any]) -> list[dict[str, Any]]:
    if isinstance(value, dict):
        return [{"name": key, **item} for key, item in value.items()]
    return [item if isinstance(item, dict) else {"value": item} for item in value]
