"""The root command, which imports the module of a subcommand on first use."""

from __future__ import annotations

import importlib
import importlib.util
from typing import NamedTuple

import click

from .. import __version__
from .output import OutputFormat
from .session import ADMIN_VARIABLE, KEY_FILE_VARIABLE, Session


class CommandLocation(NamedTuple):
    """Module in this package and attribute that define a subcommand."""

    module: str
    attribute: str


COMMANDS = {
    "apply": CommandLocation("apply", "apply"),
    "check": CommandLocation("run", "check"),
    "completion": CommandLocation("run", "completion"),
    "config": CommandLocation("config", "config"),
    "demo": CommandLocation("demo", "demo"),
    "entry": CommandLocation("run", "entry"),
    "evacuate": CommandLocation("evacuation", "evacuate"),
    "host": CommandLocation("hosts", "host"),
    "key": CommandLocation("keys", "key"),
    "label": CommandLocation("labels", "label"),
    "limit": CommandLocation("teams", "limit"),
    "operator": CommandLocation("operators", "operator"),
    "pool": CommandLocation("pools", "pool"),
    "queue": CommandLocation("queues", "queue"),
    "replay": CommandLocation("run", "replay"),
    "report": CommandLocation("report", "report"),
    "scenario": CommandLocation("run", "scenario"),
    "selector": CommandLocation("selectors", "selector"),
    "share": CommandLocation("teams", "share"),
    "status": CommandLocation("observe", "status"),
    "team": CommandLocation("teams", "team"),
    "watch": CommandLocation("observe", "watch"),
    "wave": CommandLocation("waves", "wave"),
}


class LazyGroup(click.Group):
    """Command group that imports the module of a subcommand on first use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of the subcommands that this build contains."""
        return [name for name, source in COMMANDS.items() if _is_built_in(source)]

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Returns the subcommand, or None if this build has none of that name."""
        source = COMMANDS.get(cmd_name)
        if source is None or not _is_built_in(source):
            return None
        module = importlib.import_module(_module_name(source))
        command: click.Command = getattr(module, source.attribute)
        return command


@click.group(cls=LazyGroup)
@click.version_option(__version__, prog_name="amaranthtray")
@click.option(
    "--admin",
    multiple=True,
    envvar=ADMIN_VARIABLE,
    metavar="URL",
    help="Administration API of an entry; repeat it to name several, tried in order.",
)
@click.option(
    "--key-file",
    envvar=KEY_FILE_VARIABLE,
    metavar="FILE",
    help="File with the operator key; AMARANTHTRAY_OPERATOR_KEY takes precedence.",
)
@click.option(
    "--timeout-ms", default=10_000, show_default=True, type=click.IntRange(min=1)
)
@click.option(
    "--op-id",
    metavar="ID",
    help="Operation id of a change to repeat after a lost reply.",
)
@click.option(
    "--output",
    "-o",
    type=click.Choice([form.value for form in OutputFormat]),
    default=OutputFormat.TABLE.value,
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

    Exit codes: 0 success; 1 refused, or a stated outcome does not hold; 2 invalid
    command line or file; 3 no entry or store could be reached.
    """
    ctx.obj = Session(admin, key_file, timeout_ms, op_id, OutputFormat(output))


def _module_name(source: CommandLocation) -> str:
    return f"{__package__}.{source.module}"


def _is_built_in(source: CommandLocation) -> bool:
    return importlib.util.find_spec(_module_name(source)) is not None
