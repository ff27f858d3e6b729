"""Commands that observe the fleet: status and watch."""

from __future__ import annotations

from typing import Any

import click
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from .exits import ExitCode
from .fanout import read_from_all
from .options import CommandWithOutput
from .output import OutputFormat, print_line, print_records
from .session import Session, pass_session, unwrap

WATCH_WAIT_MS = 30_000


@click.command(cls=CommandWithOutput)
@pass_session
@click.pass_context
def status(ctx: click.Context, session: Session) -> None:
    """Shows the status that each entry given by --admin reports.

    Exits 3 if no entry answered.
    """
    replies = read_from_all(session, session.client().endpoints, "status")
    records = [_status_record(url, reply) for url, reply in replies.items()]
    print_records(records, session.output)
    if not any(is_successful(reply) for reply in replies.values()):
        ctx.exit(ExitCode.UNREACHABLE)


def _status_record(url: str, reply: Result[Any, str]) -> dict[str, Any]:
    match reply:
        case Success(dict(data)):
            return {"admin": url, **data}
        case Success(data):
            return {"admin": url, "status": data}
        case Failure(cause):
            return {"admin": url, "error": cause}
    raise AssertionError("a result is a success or a failure")


@click.command(cls=CommandWithOutput)
@click.option(
    "--after",
    type=int,
    help="Print changes after this revision; default: the current one.",
)
@click.option(
    "--count", type=click.IntRange(min=1), help="Exit after this number of records."
)
@pass_session
def watch(session: Session, after: int | None, count: int | None) -> None:
    """Prints each change of the configuration as it comes into force."""
    client = session.client()
    if after is None:
        after = unwrap(client.configuration()).revision
    remaining = count
    while remaining is None or remaining > 0:
        reply = unwrap(client.watch(after, wait_ms=WATCH_WAIT_MS))
        records = reply.records[:remaining]
        for record in records:
            _print_record(record, session.output)
        after = max(after, reply.revision)
        remaining = None if remaining is None else remaining - len(records)


def _print_record(record: dict[str, Any], output: OutputFormat) -> None:
    if output is OutputFormat.JSON:
        print_line(record)
        return
    kinds = ", ".join(change.get("type", "?") for change in record.get("changes", []))
    revision, operator = record.get("revision"), record.get("operator")
    click.echo(f"revision {revision} by {operator}: {kinds}")
