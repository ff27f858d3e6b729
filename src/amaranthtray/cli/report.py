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
from ..reports.json_data import to_json_data
from ..reports.table import to_renderable
from .errors import input_error
from .exits import ExitCode
from .fanout import read_from_all
from .options import CommandWithOutput, GroupWithOutput
from .output import OutputFormat, make_console, print_json
from .session import Session, pass_session, unwrap

if TYPE_CHECKING:
    from ..reports.burn import BurnReport
    from .client import AdminClient


@click.group(cls=GroupWithOutput)
def report() -> None:
    """Reports on the fleet."""


@report.command("burn", cls=CommandWithOutput)
@click.option(
    "--html",
    metavar="FILE",
    help="Also write the report as a self-contained HTML page.",
)
@pass_session
@click.pass_context
def burn(ctx: click.Context, session: Session, html: str | None) -> None:
    """Shows how fast each service and team burns its error budget.

    Queries the entries given and all that they list; names those that do not
    answer. Exits 3 if none did.
    """
    merged = _collect(session)
    if html:
        _write_page(html, merged)
    if session.output is OutputFormat.JSON:
        print_json(to_json_data(merged))
    else:
        make_console().print(to_renderable(merged))
    if not merged.answered:
        ctx.exit(ExitCode.UNREACHABLE)


def _collect(session: Session) -> BurnReport:
    client = session.client()
    queues = unwrap(client.configuration()).queues
    endpoint_names = _endpoint_names(client)
    snapshots = []
    unanswered = {}
    for url, reply in read_from_all(session, endpoint_names, "burn").items():
        match reply.bind(_decode_snapshot):
            case Success(snapshot):
                snapshots.append(snapshot)
            case Failure(cause):
                unanswered[EntryId(f"{endpoint_names[url]} ({url})")] = cause
    return merge(snapshots, queues, unanswered=unanswered)


def _endpoint_names(client: AdminClient) -> dict[str, str]:
    """Returns the name of each entry to query, by URL: those given and those listed."""
    found = dict.fromkeys(client.endpoints, "given")
    status: Any = unwrap(client.read("status"))
    listed = status.get("entries", []) if isinstance(status, dict) else []
    if not listed:
        click.echo("warning: no list of entries; queried only --admin", err=True)
    for item in listed:
        if isinstance(item, dict) and item.get("admin_url"):
            found[str(item["admin_url"]).rstrip("/")] = str(item.get("entry", "?"))
    return found


def _decode_snapshot(data: object) -> Result[BurnSnapshot, str]:
    try:
        return Success(msgspec.convert(data, BurnSnapshot))
    except msgspec.ValidationError as exc:
        return Failure(f"reply of unknown form: {exc}")


def _write_page(path: str, merged: BurnReport) -> None:
    now = datetime.now(tz=UTC).isoformat(timespec="seconds")
    try:
        Path(path).write_text(to_html(merged, generated_at=now), encoding="utf-8")
    except OSError as exc:
        fix = "name a file in a folder that can be written"
        raise input_error(str(exc), where="--html", fix=fix) from exc
