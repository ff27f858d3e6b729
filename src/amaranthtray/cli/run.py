"""Commands that run something here: entry, check, scenario, replay, completion."""

from __future__ import annotations

import importlib
import os
from typing import TYPE_CHECKING, Any

import click
from click import shell_completion
from returns.pipeline import is_successful

from ..settings import Settings, load
from .errors import InvalidInputError, faulty
from .fleet_file import load_fleet
from .options import FleetCommand, FleetGroup
from .output import Output, print_json
from .session import Session, pass_session

if TYPE_CHECKING:
    from collections.abc import Callable

FILES = click.argument(
    "files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False)
)
SETTINGS_TABLES = ("[entry]", "[platform]")


@click.command(cls=FleetCommand)
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
    """Runs an entry until it is told to leave (SIGTERM)."""
    settings = _settings(path)
    run_entry = _built_in("amaranthtray.entry.run", "run_entry")
    ctx.exit(run_entry(settings))


@click.command(cls=FleetCommand)
@click.argument("file", type=click.Path(dir_okay=False))
@pass_session
def check(session: Session, file: str) -> None:
    """Checks a settings file, or a fleet file for `apply`; exits with 0 or 2."""
    kind = _kind(file)
    if kind == "settings":
        _settings(file)
    else:
        load_fleet(file)
    if session.output is Output.JSON:
        print_json({"file": file, "kind": kind, "ok": True})
    else:
        click.echo(f"{file}: {kind} ok")


@click.group(cls=FleetGroup)
def scenario() -> None:
    """Scripted scenarios with stated outcomes."""


@scenario.command("run")
@FILES
@click.pass_context
def run_scenarios(ctx: click.Context, files: tuple[str, ...]) -> None:
    """Runs scenarios; exits 1 when an outcome does not hold, 2 on a faulty file."""
    ctx.exit(_built_in("amaranthtray.scenarios.run", "run_files")(list(files)))


@click.command(cls=FleetCommand)
@FILES
@click.pass_context
def replay(ctx: click.Context, files: tuple[str, ...]) -> None:
    """Replays recorded traces; exits 1 at the first difference, 2 on a faulty file."""
    ctx.exit(_built_in("amaranthtray.replay.run", "run_files")(list(files)))


@click.command(cls=FleetCommand)
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(ctx: click.Context, shell: str) -> None:
    """Prints a script that completes commands in a shell.

    Use it with: eval "$(amaranthtray completion bash)"
    """
    kind = shell_completion.get_completion_class(shell)
    if kind is None:
        raise faulty(f"no completion for {shell}", where="SHELL", fix="use bash")
    root = ctx.find_root().command
    made = kind(root, {}, "amaranthtray", "_AMARANTHTRAY_COMPLETE")
    # The class for bash asks the shell for its version, which starts a process.
    click.echo(shell_completion.ShellComplete.source(made))


def _settings(path: str) -> Settings:
    result = load(path, os.environ)
    if not is_successful(result):
        raise InvalidInputError(result.failure())
    return result.unwrap()


def _kind(path: str) -> str:
    """Returns whether the file looks like settings or like a fleet file."""
    try:
        with open(path, encoding="utf-8") as file:
            lines = {line.split("#")[0].strip() for line in file}
    except (OSError, UnicodeDecodeError) as exc:
        fix = "name a readable file in UTF-8"
        raise faulty(str(exc), where=path, fix=fix, step="check") from exc
    return "settings" if lines.intersection(SETTINGS_TABLES) else "fleet"


def _built_in(module: str, name: str) -> Callable[[Any], int]:
    """Returns a function of a part that may be left out of this build."""
    try:
        found: Callable[[Any], int] = getattr(importlib.import_module(module), name)
    except ModuleNotFoundError as exc:
        if exc.name is None or not module.startswith(exc.name):
            raise
        fix = "use a version that has it"
        raise faulty(f"{module} is not built in", where=module, fix=fix) from exc
    return found
