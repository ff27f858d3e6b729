"""The root command."""

from __future__ import annotations

import click

from .. import __version__


@click.group()
@click.version_option(__version__, prog_name="amaranthtray")
def main() -> None:
    """Fleet capacity and maintenance manager."""
