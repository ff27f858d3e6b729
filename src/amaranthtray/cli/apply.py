"""The ``apply`` command, which makes the configuration match a fleet file."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from .difference import difference, emptied_kinds, merge_changes
from .errors import input_error
from .fleet_file import load_fleet
from .options import CommandWithOutput, yes_option
from .output import OutputFormat, print_json, print_table
from .session import Session, pass_session

if TYPE_CHECKING:
    from .difference import Step

WARNING = "The changes above take effect; hosts that move are drained."


@click.command(cls=CommandWithOutput)
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--dry-run", is_flag=True, help="Only print the difference.")
@click.option(
    "--prune", is_flag=True, help="Remove objects that the file does not name."
)
@click.option(
    "--remove-all",
    is_flag=True,
    help="With --prune: also remove all pools, all teams or all queues.",
)
@yes_option
@pass_session
def apply(
    session: Session,
    file: str,
    dry_run: bool,
    prune: bool,
    remove_all: bool,
    yes: bool,
) -> None:
    """Makes pools, teams, queues and host labels match FILE.

    Keys, operators and waves are never changed. A second run changes nothing.
    """
    fleet = load_fleet(file)
    cfg = session.configuration()
    steps = difference(cfg, fleet, prune=prune)
    if dry_run or not steps:
        _print_steps(steps, cfg.revision, session.output)
        return
    if prune and not remove_all:
        _refuse_removal_of_all(emptied_kinds(cfg, fleet), file)
    if not yes:
        _print_table(steps, is_error=True)
    committed = session.commit(
        merge_changes(steps), expected=cfg.revision, warning=WARNING, yes=yes
    )
    session.print_committed(committed, changed=len(steps))


def _refuse_removal_of_all(emptied: dict[str, list[str]], file: str) -> None:
    """Ends the command if it would leave a kind of object without any."""
    if emptied:
        removed = "; ".join(
            f"all {kind} ({', '.join(names)})" for kind, names in emptied.items()
        )
        raise input_error(
            f"--prune would remove {removed}",
            where=file,
            fix="name what is to stay in the file, or add --remove-all",
            step="apply",
        )


def _print_steps(steps: list[Step], revision: int, output: OutputFormat) -> None:
    if output is OutputFormat.JSON:
        rows = [
            {"action": step.action, "target": step.target, "detail": step.detail}
            for step in steps
        ]
        print_json({"revision": revision, "steps": rows})
    elif steps:
        _print_table(steps)
    else:
        click.echo(f"unchanged at revision {revision}")


def _print_table(steps: list[Step], *, is_error: bool = False) -> None:
    rows = [(step.action, step.target, step.detail) for step in steps]
    print_table(("action", "target", "detail"), rows, is_error=is_error)
