"""Commands for teams, their fair shares and their upper limits."""

from __future__ import annotations

from dataclasses import asdict, replace

import click

from ..domain.configuration import Configuration, PutTeam, RemoveTeam, Team
from ..domain.ids import TeamName
from .errors import input_error
from .options import LABEL_TYPE, GroupWithOutput, label_map, yes_option
from .output import print_records
from .session import Session, pass_session

SHARE_TYPE = click.IntRange(min=1)
LIMIT_TYPE = click.IntRange(min=0)


@click.group(cls=GroupWithOutput)
def team() -> None:
    """Teams, which own the work that callers submit."""


@click.group(cls=GroupWithOutput)
def share() -> None:
    """Shares: weights by which teams divide a full pool."""


@click.group(cls=GroupWithOutput)
def limit() -> None:
    """Upper limits: slots that a team may use over the whole fleet."""


@team.command("list")
@pass_session
def list_teams(session: Session) -> None:
    """Lists all teams."""
    teams = session.configuration().teams.values()
    print_records([asdict(item) for item in teams], session.output)


@team.command("show")
@click.argument("name")
@pass_session
def show_team(session: Session, name: str) -> None:
    """Shows one team."""
    found = find(session.configuration(), name)
    print_records([asdict(found)], session.output)


@team.command("put")
@click.argument("name")
@click.option("--share", type=SHARE_TYPE, help="Weight in a full pool.")
@click.option(
    "--limit", type=LIMIT_TYPE, help="Maximum number of slots over the whole fleet."
)
@click.option("--label", "labels", type=LABEL_TYPE, multiple=True, help="Repeatable.")
@click.option(
    "--cutoff-grace-ms",
    type=click.IntRange(min=0),
    help="How long an entry without fresh configuration accepts the team's keys.",
)
@pass_session
def put_team(
    session: Session,
    name: str,
    share: int | None,
    limit: int | None,
    labels: tuple[tuple[str, str], ...],
    cutoff_grace_ms: int | None,
) -> None:
    """Creates a team, or changes only the options given."""
    cfg = session.configuration()
    old = cfg.teams.get(TeamName(name)) or Team(TeamName(name))
    new = replace(
        old,
        share=old.share if share is None else share,
        limit=old.limit if limit is None else limit,
        labels={**old.labels, **label_map(labels)},
        cutoff_grace_ms=(
            old.cutoff_grace_ms if cutoff_grace_ms is None else cutoff_grace_ms
        ),
    )
    committed = session.commit([PutTeam(new)], expected=cfg.revision)
    session.print_committed(committed, team=name)


@team.command("remove")
@click.argument("name")
@yes_option
@pass_session
def remove_team(session: Session, name: str, yes: bool) -> None:
    """Removes a team and withdraws its keys."""
    cfg = session.configuration()
    found = find(cfg, name)
    keys = [item for item in cfg.keys.values() if item.team == found.name]
    committed = session.commit(
        [RemoveTeam(found.name)],
        expected=cfg.revision,
        warning=f"Team {name} and its {len(keys)} key(s) stop working.",
        yes=yes,
    )
    session.print_committed(committed, team=name)


@share.command("list")
@pass_session
def list_shares(session: Session) -> None:
    """Lists the shares and the fraction of a full pool that each gives."""
    teams = session.configuration().teams.values()
    total_shares = sum(item.share for item in teams)
    records = [
        {
            "team": item.name,
            "share": item.share,
            "part_if_all_wait": round(item.share / total_shares, 4),
        }
        for item in teams
    ]
    print_records(records, session.output)


@share.command("set")
@click.argument("name", metavar="TEAM")
@click.argument("weight", type=SHARE_TYPE)
@pass_session
def set_share(session: Session, name: str, weight: int) -> None:
    """Sets a team's share."""
    cfg = session.configuration()
    new = replace(find(cfg, name), share=weight)
    committed = session.commit([PutTeam(new)], expected=cfg.revision)
    session.print_committed(committed, team=name, share=weight)


@limit.command("list")
@pass_session
def list_limits(session: Session) -> None:
    """Lists the upper limits."""
    teams = session.configuration().teams.values()
    records = [{"team": item.name, "limit": item.limit} for item in teams]
    print_records(records, session.output)


@limit.command("set")
@click.argument("name", metavar="TEAM")
@click.argument("slots", type=LIMIT_TYPE)
@yes_option
@pass_session
def set_limit(session: Session, name: str, slots: int, yes: bool) -> None:
    """Sets a team's upper limit; running work is not stopped."""
    cfg = session.configuration()
    old = find(cfg, name)
    warning = f"Team {name} may start less: {old.limit} -> {slots} slots."
    committed = session.commit(
        [PutTeam(replace(old, limit=slots))],
        expected=cfg.revision,
        warning=warning if slots < old.limit else "",
        yes=yes,
    )
    session.print_committed(committed, team=name, limit=slots)


def find(cfg: Configuration, name: str) -> Team:
    """Returns the team of that name.

    Raises:
        CliError: The team does not exist.
    """
    found = cfg.teams.get(TeamName(name))
    if found is None:
        fix = "see `amaranthtray team list`"
        raise input_error(f"no team {name!r}", where="TEAM", fix=fix)
    return found
