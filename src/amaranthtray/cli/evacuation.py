"""The ``evacuate`` command: evacuates a zone, ends that, or shows what is evacuated."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import click
import msgspec
from returns.result import Failure, Result, Success

from ..domain.configuration import EndEvacuation, EvacuateZone
from ..domain.ids import ZoneId
from .errors import input_error
from .exits import ExitCode
from .fanout import read_from_all
from .options import CommandWithOutput, yes_option
from .output import OutputFormat, print_json, print_table
from .session import Session, pass_session

if TYPE_CHECKING:
    from collections.abc import Iterable

COLUMNS = ("zone", "since revision", "hosts", "running", "in force", "not in force")


class ZoneReport(msgspec.Struct, frozen=True):
    """One entry's report on an evacuated zone.

    Attributes:
        zone: The evacuated zone.
        since: Revision since which it is evacuated.
        hosts: Hosts of the zone.
        running: Requests of the entry that run, or may run, there, by host.
        in_force: Zones that have the revision in force.
        not_in_force: Zones that do not, or that were not heard of.
    """

    zone: str
    since: int
    hosts: tuple[str, ...] = ()
    running: dict[str, int] = {}
    in_force: tuple[str, ...] = ()
    not_in_force: tuple[str, ...] = ()


class EntryReport(msgspec.Struct, frozen=True):
    """One entry's report on all evacuated zones, at its revision."""

    entry: str
    revision: int
    evacuations: tuple[ZoneReport, ...] = ()


@click.command(cls=CommandWithOutput)
@click.argument("zone", required=False)
@click.option("--cancel", is_flag=True, help="End the evacuation of the zone.")
@click.option(
    "--all-zones",
    is_flag=True,
    help="Evacuate the zone even if no other zone is left to serve requests.",
)
@yes_option
@pass_session
@click.pass_context
def evacuate(
    ctx: click.Context,
    session: Session,
    zone: str | None,
    cancel: bool,
    all_zones: bool,
    yes: bool,
) -> None:
    """Evacuates ZONE: its hosts get no new requests; running ones are left to end.

    Without ZONE, shows the evacuated zones and the requests that the entries given
    by --admin still run there; exits 3 if no entry answered.
    """
    _check_options(zone, cancel=cancel, all_zones=all_zones)
    if zone is None:
        _show(ctx, session)
        return
    change: EvacuateZone | EndEvacuation = EvacuateZone(ZoneId(zone), all_zones)
    warning = f"The hosts of zone {zone} get no new requests until this is cancelled."
    if cancel:
        change = EndEvacuation(ZoneId(zone))
        warning = f"The hosts of zone {zone} get requests again, in steps."
    committed = session.commit([change], warning=warning, yes=yes)
    session.print_committed(committed, zone=zone, evacuated=not cancel)


def _check_options(zone: str | None, *, cancel: bool, all_zones: bool) -> None:
    if zone is None and (cancel or all_zones):
        fix = "name the zone; see `amaranthtray evacuate` for those evacuated"
        raise input_error("no zone given", where="ZONE", fix=fix, step="evacuate")
    if cancel and all_zones:
        what = "--all-zones has no meaning with --cancel"
        fix = "leave out one of them"
        raise input_error(what, where="--all-zones", fix=fix, step="evacuate")


def _show(ctx: click.Context, session: Session) -> None:
    urls = session.client().endpoints
    reports, unanswered = [], {}
    for url, reply in read_from_all(session, urls, "evacuations").items():
        match reply.bind(_decode):
            case Success(report):
                reports.append(report)
            case Failure(cause):
                unanswered[url] = cause
    records = _merge(reports)
    if session.output is OutputFormat.JSON:
        entries = [report.entry for report in reports]
        print_json(
            {"evacuations": records, "entries": entries, "unanswered": unanswered}
        )
    elif records:
        print_table(COLUMNS, [_row(record) for record in records])
    elif reports:
        click.echo("no zone is evacuated")
    for url, cause in unanswered.items():
        click.echo(
            f"warning: not counted, as it gave no answer: {url}: {cause}", err=True
        )
    if not reports:
        ctx.exit(ExitCode.UNREACHABLE)


def _decode(data: object) -> Result[EntryReport, str]:
    try:
        return Success(msgspec.convert(data, EntryReport))
    except msgspec.ValidationError as exc:
        return Failure(f"reply of unknown form: {exc}")


def _merge(reports: Iterable[EntryReport]) -> list[dict[str, Any]]:
    """Merges the reports: the newest revision decides which zones are evacuated.

    Running requests are summed over the entries. An entry that has an older
    revision in force may still send requests, so it is named.
    """
    by_age = sorted(reports, key=lambda report: report.revision)
    if not by_age:
        return []
    records = []
    for newest in by_age[-1].evacuations:
        running: dict[str, int] = {}
        for report in by_age:
            for other in report.evacuations:
                if other.zone != newest.zone:
                    continue
                for host, count in other.running.items():
                    running[host] = running.get(host, 0) + count
        lagging = [r.entry for r in by_age if r.revision < newest.since]
        records.append(
            {
                "zone": newest.zone,
                "since": newest.since,
                "hosts": list(newest.hosts),
                "running": sum(running.values()),
                "running_by_host": running,
                "in_force": list(newest.in_force),
                "not_in_force": list(newest.not_in_force),
                "lagging_entries": lagging,
            }
        )
    return records


def _row(record: dict[str, Any]) -> list[object]:
    running = record["running"]
    if running:
        by_host = sorted(record["running_by_host"].items())
        running = f"{running} ({', '.join(f'{h}: {n}' for h, n in by_host)})"
    not_in_force = [
        *record["not_in_force"],
        *(f"entry {name}" for name in record["lagging_entries"]),
    ]
    return [
        record["zone"],
        record["since"],
        record["hosts"],
        running,
        record["in_force"],
        not_in_force,
    ]
