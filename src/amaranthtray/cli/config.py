"""Commands that check a configuration file and compare it with the one in force."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

import click
import msgspec
from returns.pipeline import is_successful

from ..domain.checks import (
    Finding,
    FindingKind,
    TaskSize,
    catalog_differences,
    catalog_findings,
    fleet_findings,
    lost_access,
)
from ..domain.configuration import SPARE_POOL, Configuration
from ..domain.configuration.log import apply, propose
from ..domain.errors import Problem
from ..domain.ids import EntryId, OperationId
from ..domain.inventory import Host
from ..domain.jobs.model import Resources
from ..domain.placement import preview
from ..entry.rules import configuration_rules
from .config_documents import (
    CatalogText,
    FleetText,
    fleet_configuration,
    read_file,
)
from .difference import Action, difference
from .errors import InvalidInputError, input_error
from .exits import ExitCode
from .options import GroupWithOutput
from .output import OutputFormat, print_json, print_table
from .session import Session, pass_session, unwrap

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .fleet_file import Fleet

COLUMNS = ("finding", "where", "object", "what", "fix")
KINDS = {
    Action.CREATE: FindingKind.ADDED,
    Action.CHANGE: FindingKind.CHANGED,
    Action.REMOVE: FindingKind.REMOVED,
}


@click.group(cls=GroupWithOutput)
def config() -> None:
    """Checks of configuration files: fleet files and operators' documents.

    Exit codes: 0 without findings, 1 with findings, 2 if a file cannot be read.
    """


@config.command("check")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--task",
    nargs=3,
    type=click.IntRange(min=0),
    default=(0, 0, 0),
    metavar="CPU MEMORY_MB GPU",
    help="A task that every team has to be able to run; CPU in 1/1000 of a core.",
)
@click.option(
    "--task-ms",
    type=click.IntRange(min=0),
    default=0,
    help="Declared work of the task, which every objective has to allow.",
)
@pass_session
@click.pass_context
def check_config(
    ctx: click.Context,
    session: Session,
    file: str,
    task: tuple[int, int, int],
    task_ms: int,
) -> None:
    """Reports errors, what can never match, and limits that contradict each other.

    With --admin, pools of a fleet file are also checked against the listed hosts.
    """
    read = read_file(file)
    if not is_successful(read):
        _finish(ctx, session, [_error_record(read.failure())])
        return
    source = read.unwrap()
    match source:
        case FleetText(fleet=fleet):
            hosts = _listed_hosts(session) if session.admin else None
            found = [
                *_refused_steps(Configuration(), fleet, hosts or []),
                *fleet_findings(fleet_configuration(fleet), hosts),
            ]
        case CatalogText(document=document):
            size = TaskSize(Resources(*task), task_ms)
            found = list(catalog_findings(document.catalog, size))
    _finish(ctx, session, _records(source, found))


@config.command("diff")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--against",
    type=click.Path(dir_okay=False),
    help="File to compare with instead of the version that the entry has in force.",
)
@pass_session
@click.pass_context
def diff_config(
    ctx: click.Context, session: Session, file: str, against: str | None
) -> None:
    """Reports what FILE would add, remove, change and move, and who loses access.

    FILE counts as the whole configuration, as `apply --prune` takes it. An operator's
    document is compared with another file only.
    """
    read = read_file(file)
    if not is_successful(read):
        _finish(ctx, session, [_error_record(read.failure())])
        return
    source = read.unwrap()
    other = None if against is None else _must_read(against)
    match source, other:
        case FleetText(fleet=fleet), None:
            cfg = session.configuration()
            found = list(_fleet_differences(cfg, fleet, _listed_hosts(session)))
        case FleetText(fleet=fleet), FleetText(fleet=old):
            found = list(_fleet_differences(fleet_configuration(old), fleet, []))
        case CatalogText(document=new), CatalogText(document=before):
            found = list(catalog_differences(before.catalog, new.catalog))
        case _:
            what = "nothing of the same kind to compare with"
            fix = "give --against with a file of the same kind"
            raise input_error(what, where="--against", fix=fix, step="diff")
    _finish(ctx, session, _records(source, found))


def _must_read(path: str) -> FleetText | CatalogText:
    read = read_file(path)
    if not is_successful(read):
        raise InvalidInputError(read.failure())
    return read.unwrap()


def _listed_hosts(session: Session) -> list[Host]:
    data: Any = unwrap(session.client().read("hosts"))
    return [msgspec.convert(item, Host) for item in data["hosts"]]


def _refused_steps(
    cfg: Configuration, fleet: Fleet, hosts: list[Host]
) -> Iterator[Finding]:
    """Yields what the rules of entries refuse, each step after the accepted ones."""
    rules = configuration_rules(lambda: hosts)
    for number, step in enumerate(difference(cfg, fleet, prune=False)):
        proposed = propose(
            cfg,
            [step.change],
            rules=rules,
            op_id=OperationId(f"check-{number}"),
            operator="check",
            entry=EntryId("check"),
        )
        if is_successful(proposed):
            cfg = apply(cfg, proposed.unwrap())
            continue
        refusal = proposed.failure()
        if isinstance(refusal, Problem):
            obj, _, key = refusal.where.partition(".")
            yield Finding(FindingKind.ERROR, obj, refusal.what, refusal.fix, key)


def _fleet_differences(
    cfg: Configuration, fleet: Fleet, hosts: list[Host]
) -> Iterator[Finding]:
    for step in difference(cfg, fleet, prune=True):
        target = step.target.replace("labels of host ", "labels ")
        obj = target.replace(" ", "/", 1)
        yield Finding(KINDS[step.action], obj, step.detail or step.action.value)
    spare = {name: pool for name, pool in cfg.pools.items() if name == SPARE_POOL}
    after = replace(
        cfg,
        pools={**spare, **fleet.pools},
        teams=fleet.teams,
        queues=fleet.queues,
        host_labels=fleet.host_labels,
        keys={k: key for k, key in cfg.keys.items() if key.team in fleet.teams},
    )
    for move in preview(cfg, after, hosts).moves:
        what = f"{move.source} -> {move.target}"
        yield Finding(FindingKind.MOVES, f"host/{move.host}", what)
    yield from lost_access(cfg, after)


def _records(
    source: FleetText | CatalogText, findings: Iterable[Finding]
) -> list[dict[str, str]]:
    return [
        {
            "finding": found.kind.value,
            "where": source.locate(found.obj, found.key),
            "object": found.obj,
            "what": found.what,
            "fix": found.fix,
        }
        for found in findings
    ]


def _error_record(problem: Problem) -> dict[str, str]:
    return {
        "finding": FindingKind.ERROR.value,
        "where": problem.where,
        "object": "",
        "what": problem.what,
        "fix": problem.fix,
    }


def _finish(
    ctx: click.Context, session: Session, records: list[dict[str, str]]
) -> None:
    """Prints the findings and ends the command with 1 if there are any."""
    if session.output is OutputFormat.JSON:
        print_json({"findings": records})
    elif records:
        print_table(COLUMNS, [[record[name] for name in COLUMNS] for record in records])
    else:
        click.echo("no findings")
    ctx.exit(ExitCode.REFUSED if records else ExitCode.OK)
