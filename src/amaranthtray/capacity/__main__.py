"""Measures all slopes and prints or rewrites the tables of the capacity page."""

from __future__ import annotations

import importlib
import pkgutil
from pathlib import Path
from typing import TYPE_CHECKING

import click
from returns.pipeline import is_successful

from .. import capacity
from ..cli.errors import InvalidInputError
from ._render import NEW_PAGE, render, replace_between

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .slope import Slope

SLOPES_FUNCTION = "slopes"
"""Each public module of this package with this function measures some slopes."""


@click.command()
@click.option(
    "--write",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write the tables between the markers of this page instead of printing.",
)
@click.option(
    "--only", default="", help="Measure only modules whose name has this prefix."
)
def run(write: Path | None, only: str) -> None:
    """Measures the slopes; everything outside the markers of a page stays."""
    if write is None:
        click.echo(render(list(measure(only))))
        return
    page = write.read_text(encoding="utf-8") if write.exists() else NEW_PAGE
    _replace_tables(page, "", write)
    tables = render(list(measure(only)))
    write.write_text(_replace_tables(page, tables, write), encoding="utf-8")
    click.echo(f"{write}: rewritten")


def measure(only: str = "") -> Iterator[Slope]:
    """Yields the slopes of each module whose name has the prefix ``only``."""
    for info in pkgutil.iter_modules(capacity.__path__):
        if info.name.startswith("_") or not info.name.startswith(only):
            continue
        module = importlib.import_module(f"{capacity.__name__}.{info.name}")
        slopes = getattr(module, SLOPES_FUNCTION, None)
        if slopes is not None:
            yield from slopes()


def _replace_tables(page: str, tables: str, path: Path) -> str:
    result = replace_between(page, tables, name=str(path))
    if not is_successful(result):
        raise InvalidInputError(result.failure())
    return result.unwrap()


if __name__ == "__main__":
    run()
