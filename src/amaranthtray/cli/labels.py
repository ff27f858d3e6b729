"""Commands for the labels of hosts and teams."""

from __future__ import annotations

from dataclasses import replace

import click

from ..domain.configuration import Change, Configuration, PutTeam, SetHostLabels
from ..domain.ids import HostId
from .errors import input_error
from .options import LABEL_TYPE, GroupWithOutput, label_map, yes_option
from .output import print_records
from .session import Session, pass_session
from .teams import find as find_team

HOST = "host"
TEAM = "team"
KIND_TYPE = click.Choice([HOST, TEAM])
WARNING = "Hosts or work may go elsewhere; hosts that move are drained."


@click.group(cls=GroupWithOutput)
def label() -> None:
    """Labels that operators attach to hosts and teams."""


@label.command("list")
@click.argument("kind", type=KIND_TYPE)
@pass_session
def list_labels(session: Session, kind: str) -> None:
    """Lists the labels set by operators."""
    cfg = session.configuration()
    found = dict(cfg.host_labels.items())
    records = [{"host": name, "labels": labels} for name, labels in found.items()]
    if kind == TEAM:
        records = [{"team": t.name, "labels": t.labels} for t in cfg.teams.values()]
    print_records(records, session.output)


@label.command("set")
@click.argument("kind", type=KIND_TYPE)
@click.argument("name")
@click.argument("labels", type=LABEL_TYPE, nargs=-1, required=True)
@yes_option
@pass_session
def set_labels(
    session: Session,
    kind: str,
    name: str,
    labels: tuple[tuple[str, str], ...],
    yes: bool,
) -> None:
    """Sets labels given as name=value; other labels stay."""
    cfg = session.configuration()
    wanted = {**_labels(cfg, kind, name), **label_map(labels)}
    _commit(session, cfg, kind, name, wanted, yes)


@label.command("remove")
@click.argument("kind", type=KIND_TYPE)
@click.argument("name")
@click.argument("labels", nargs=-1, required=True)
@yes_option
@pass_session
def remove_labels(
    session: Session, kind: str, name: str, labels: tuple[str, ...], yes: bool
) -> None:
    """Removes labels by name."""
    cfg = session.configuration()
    old = _labels(cfg, kind, name)
    missing = [item for item in labels if item not in old]
    if missing:
        fix = f"see `amaranthtray label list {kind}`"
        what = f"{kind} {name} has no label {missing[0]!r}"
        raise input_error(what, where="LABELS", fix=fix)
    wanted = {key: val for key, val in old.items() if key not in labels}
    _commit(session, cfg, kind, name, wanted, yes)


def _labels(cfg: Configuration, kind: str, name: str) -> dict[str, str]:
    if kind == TEAM:
        return find_team(cfg, name).labels
    return cfg.host_labels.get(HostId(name), {})


def _commit(
    session: Session,
    cfg: Configuration,
    kind: str,
    name: str,
    wanted: dict[str, str],
    yes: bool,
) -> None:
    change: Change = SetHostLabels({HostId(name): wanted})
    if kind == TEAM:
        change = PutTeam(replace(find_team(cfg, name), labels=wanted))
    committed = session.commit(
        [change], expected=cfg.revision, warning=WARNING, yes=yes
    )
    session.print_committed(committed, **{kind: name})
