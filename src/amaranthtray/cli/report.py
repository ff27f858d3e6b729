"""Commands that print reports."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import msgspec
from returns.result import Failure, Result, Success

from ..domain.ids import EntryId
from ..reports.burn import merge
from ..reports.counts import BurnSnapshot
from ..reports.html_page import to_html
from ..reports.plain import to_plain
from ..reports.table import to_renderable
from .errors import faulty
from .exits import ExitCode
from .fanout import ask_all
from .options import FleetCommand, FleetGroup
from .output import Output, console, print_json
from .session import Session, pass_session, unwrap

if TYPE_CHECKING:
    from ..reports.burn import BurnReport
    from .client import AdminClient


@click.group(cls=FleetGroup)
def report() -> None:
    """Reports on the fleet."""


@report.command("burn", cls=FleetCommand)
@click.option("--html", metavar="FILE", help="Write one self-contained page as well.")
@pass_session
@click.pass_context
def burn(ctx: click.Context, session: Session, html: str | None) -> None:
    """Shows how fast each service and team burns its error budget.

    Asks all entries given and those that they list, and says which did not answer.
    Exits 3 when none did.
    """
    made = _gather(session)
    if html:
        _write_page(html, made)
    if session.output is Output.JSON:
        print_json(to_plain(made))
    else:
        console().print(to_renderable(made))
    if not made.answered:
        ctx.exit(ExitCode.UNREACHABLE)


def _gather(session: Session) -> BurnReport:
    client = session.client()
    queues = unwrap(client.configuration()).queues
    named = _entries(client)
    snapshots = []
    unanswered = {}
    for url, reply in ask_all(session, named, "burn").items():
        match reply.bind(_decode):
            case Success(snapshot):
                snapshots.append(snapshot)
            case Failure(cause):
                unanswered[EntryId(f"{named[url]} ({url})")] = cause
    return merge(snapshots, queues, unanswered=unanswered)


def _entries(client: AdminClient) -> dict[str, str]:
    """Returns the URLs to ask and their names: those given and those listed."""
    found = dict.fromkeys(client.endpoints, "given")
    status: Any = unwrap(client.read("status"))
    listed = status.get("entries", []) if isinstance(status, dict) else []
    if not listed:
        click.echo("warning: no list of entries; asked only --admin", err=True)
    for item in listed:
        if isinstance(item, dict) and item.get("admin_url"):
            found[str(item["admin_url"]).rstrip("/")] = str(item.get("entry", "?"))
    return found


def _decode(data: object) -> Result[BurnSnapshot, str]:
    try:
        return Success(msgspec.convert(data, BurnSnapshot))
    except msgspec.ValidationError as exc:
        return Failure(f"reply of unknown form: {exc}")


def _write_page(path: str, made: BurnReport) -> None:
    now = datetime.now(tz=UTC).isoformat(timespec="seconds")
    try:
        Path(path).write_text(to_html(made, made_at=now), encoding="utf-8")
    except OSError as exc:
        fix = "name a file in a folder that can be written"
        raise faulty(str(exc), where="--html", fix=fix) from exc
