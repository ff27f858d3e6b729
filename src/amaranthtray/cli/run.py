"""Commands that run locally: entry, check, scenario, replay, completion."""

from __future__ import annotations

import importlib
import os
from typing import TYPE_CHECKING, Any

import click
from click import shell_completion
from returns.pipeline import is_successful

from ..settings import Settings, load
from .errors import InvalidInputError, input_error
from .fleet_file import load_fleet
from .options import CommandWithOutput, GroupWithOutput
from .output import OutputFormat, print_json
from .session import Session, pass_session

if TYPE_CHECKING:
    from collections.abc import Callable

files_argument = click.argument(
    "files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False)
)
SETTINGS_TABLES = ("[entry]", "[platform]")


@click.command(cls=CommandWithOutput)
@click.option(
    "--settings",
    "path",
    required=True,
    envvar="AMARANTHTRAY_SETTINGS",
    metavar="FILE",
    help="TOML settings of this entry.",
)
@click.pass_context
def entry(ctx: click.Context, path: str) -> None:
    """Runs an entry until SIGTERM stops it."""
    settings = _load_settings(path)
    run_entry = _import_optional("amaranthtray.entry.run", "run_entry")
    ctx.exit(run_entry(settings))


@click.command(cls=CommandWithOutput)
@click.argument("file", type=click.Path(dir_okay=False))
@pass_session
def check(session: Session, file: str) -> None:
    """Checks a settings file, or a fleet file for `apply`; exits with 0 or 2."""
    kind = _file_kind(file)
    if kind == "settings":
        _load_settings(file)
    elif load_fleet(file).is_empty:
        raise input_error(
            "the file declares nothing",
            where=file,
            fix="add [[pools]], [[teams]], [[queues]] or [host_labels]",
            step="check",
        )
    if session.output is OutputFormat.JSON:
        print_json({"file": file, "kind": kind, "ok": True})
    else:
        click.echo(f"{file}: {kind} ok")


@click.group(cls=GroupWithOutput)
def scenario() -> None:
    """Scripted scenarios with expected outcomes."""


@scenario.command("run")
@files_argument
@click.pass_context
def run_scenarios(ctx: click.Context, files: tuple[str, ...]) -> None:
    """Runs scenarios; exits 1 if an outcome does not hold, 2 if a file is invalid."""
    ctx.exit(_import_optional("amaranthtray.scenarios.run", "run_files")(list(files)))


@click.command(cls=CommandWithOutput)
@files_argument
@click.pass_context
def replay(ctx: click.Context, files: tuple[str, ...]) -> None:
    """Replays recorded traces; exits 1 if one differs, 2 if a file is invalid."""
    ctx.exit(_import_optional("amaranthtray.replay.run", "run_files")(list(files)))


@click.command(cls=CommandWithOutput)
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(ctx: click.Context, shell: str) -> None:
    """Prints a completion script for a shell.

    Use it with: eval "$(amaranthtray completion bash)"
    """
    kind = shell_completion.get_completion_class(shell)
    if kind is None:
        raise input_error(f"no completion for {shell}", where="SHELL", fix="use bash")
    root = ctx.find_root().command
    completer = kind(root, {}, "amaranthtray", "_AMARANTHTRAY_COMPLETE")
    # BashComplete.source() starts bash to check its version; the base class does not.
    click.echo(shell_completion.ShellComplete.source(completer))


def _load_settings(path: str) -> Settings:
    result = load(path, os.environ)
    if not is_successful(result):
        raise InvalidInputError(result.failure())
    return result.unwrap()


def _file_kind(path: str) -> str:
    """Returns ``"settings"`` if a line is a settings header, else ``"fleet"``."""
    try:
        with open(path, encoding="utf-8") as file:
            lines = {line.split("#")[0].strip() for line in file}
    except (OSError, UnicodeDecodeError) as exc:
        fix = "name a readable file in UTF-8"
        raise input_error(str(exc), where=path, fix=fix, step="check") from exc
    return "settings" if lines.intersection(SETTINGS_TABLES) else "fleet"


def _import_optional(module: str, name: str) -> Callable[[Any], int]:
    """Returns a function of a subpackage that a build may leave out."""
    try:
        found: Callable[[Any], int] = getattr(importlib.import_module(module), name)
    except ModuleNotFoundError as exc:
        if exc.name is None or not module.startswith(exc.name):
            raise
        fix = "use a version that has it"
        raise input_error(f"{module} is not built in", where=module, fix=fix) from exc
    return found
