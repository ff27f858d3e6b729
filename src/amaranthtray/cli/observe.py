"""Commands that look at the fleet: status and watch."""

from __future__ import annotations

from typing import Any

import click

from .options import FleetCommand
from .output import Output, print_line, print_tree
from .session import Session, pass_session, unwrap

WATCH_WAIT_MS = 30_000


@click.command(cls=FleetCommand)
@pass_session
def status(session: Session) -> None:
    """Shows entries, zones, duties and revisions, as one entry sees them."""
    print_tree(unwrap(session.client().read("status")), session.output)


@click.command(cls=FleetCommand)
@click.option("--after", type=int, help="First revision to skip; default: the last.")
@click.option("--count", type=click.IntRange(min=1), help="End after so many records.")
@pass_session
def watch(session: Session, after: int | None, count: int | None) -> None:
    """Prints each change of the configuration as it comes into force."""
    client = session.client()
    if after is None:
        after = unwrap(client.configuration()).revision
    left = count
    while left is None or left > 0:
        reply = unwrap(client.watch(after, wait_ms=WATCH_WAIT_MS))
        records = reply.records[:left]
        for record in records:
            _print_record(record, session.output)
        after = max(after, reply.revision)
        left = None if left is None else left - len(records)


def _print_record(record: dict[str, Any], output: Output) -> None:
    if output is Output.JSON:
        print_line(record)
        return
    kinds = ", ".join(change.get("type", "?") for change in record.get("changes", []))
    revision, operator = record.get("revision"), record.get("operator")
    click.echo(f"revision {revision} by {operator}: {kinds}")
