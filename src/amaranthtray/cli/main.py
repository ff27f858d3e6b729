"""The root command; the modules of subcommands are imported when they are used."""

from __future__ import annotations

import importlib
import importlib.util
from typing import NamedTuple

import click

from .. import __version__
from .output import Output
from .session import ADMIN_VARIABLE, KEY_FILE_VARIABLE, Session


class Source(NamedTuple):
    """Where a subcommand is defined."""

    module: str
    attribute: str


COMMANDS = {
    "apply": Source("apply", "apply"),
    "check": Source("run", "check"),
    "completion": Source("run", "completion"),
    "demo": Source("demo", "demo"),
    "entry": Source("run", "entry"),
    "host": Source("hosts", "host"),
    "key": Source("keys", "key"),
    "label": Source("labels", "label"),
    "limit": Source("teams", "limit"),
    "operator": Source("operators", "operator"),
    "pool": Source("pools", "pool"),
    "queue": Source("queues", "queue"),
    "replay": Source("run", "replay"),
    "report": Source("report", "report"),
    "scenario": Source("run", "scenario"),
    "selector": Source("selectors", "selector"),
    "share": Source("teams", "share"),
    "status": Source("observe", "status"),
    "team": Source("teams", "team"),
    "watch": Source("observe", "watch"),
    "wave": Source("waves", "wave"),
}


class LazyGroup(click.Group):
    """Imports a subcommand's module when the subcommand is asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all subcommands that are built in."""
        return [name for name, source in COMMANDS.items() if _exists(source)]

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Returns the subcommand, or none if there is none of that name."""
        source = COMMANDS.get(cmd_name)
        if source is None or not _exists(source):
            return None
        module = importlib.import_module(_full_name(source))
        command: click.Command = getattr(module, source.attribute)
        return command


@click.group(cls=LazyGroup)
@click.version_option(__version__, prog_name="amaranthtray")
@click.option(
    "--admin",
    multiple=True,
    envvar=ADMIN_VARIABLE,
    metavar="URL",
    help="Administration API of an entry; several are tried in order.",
)
@click.option(
    "--key-file",
    envvar=KEY_FILE_VARIABLE,
    metavar="FILE",
    help="File with the operator key, unless AMARANTHTRAY_OPERATOR_KEY holds it.",
)
@click.option(
    "--timeout-ms", default=10_000, show_default=True, type=click.IntRange(min=1)
)
@click.option("--op-id", metavar="ID", help="Repeat a change whose reply was lost.")
@click.option(
    "--output",
    "-o",
    type=click.Choice([form.value for form in Output]),
    default=Output.TABLE.value,
    show_default=True,
)
@click.pass_context
def main(
    ctx: click.Context,
    admin: tuple[str, ...],
    key_file: str | None,
    timeout_ms: int,
    op_id: str | None,
    output: str,
) -> None:
    """Fleet capacity and maintenance manager.

    Exit codes: 0 done; 1 refused, or a stated outcome does not hold; 2 faulty
    command line or file; 3 no entry or store could be reached.
    """
    ctx.obj = Session(admin, key_file, timeout_ms, op_id, Output(output))


def _full_name(source: Source) -> str:
    return f"{__package__}.{source.module}"


def _exists(source: Source) -> bool:
    return importlib.util.find_spec(_full_name(source)) is not None
