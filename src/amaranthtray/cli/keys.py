"""Commands for the keys that callers present."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from ..domain.configuration import AddKey, TeamKey, WithdrawKey
from ..domain.ids import KeyId, TeamName
from ..domain.keys import MintedKey, mint_key
from .errors import faulty
from .options import FleetGroup, yes_option
from .output import print_records
from .session import Session, pass_session
from .teams import find as find_team

if TYPE_CHECKING:
    from ..domain.configuration import Change, Configuration


@click.group(cls=FleetGroup)
def key() -> None:
    """Keys that callers present. Only digests are sent and kept."""


@key.command("list")
@click.option("--team", help="Only keys of this team.")
@pass_session
def list_keys(session: Session, team: str | None) -> None:
    """Lists the public parts of all keys."""
    keys = session.configuration().keys.values()
    records = [
        {"key_id": item.key_id, "team": item.team}
        for item in keys
        if team in (None, item.team)
    ]
    print_records(records, session.output)


@key.command("create")
@click.argument("team")
@pass_session
def create_key(session: Session, team: str) -> None:
    """Creates a key and prints it once."""
    refuse_repeat(session)
    cfg = session.configuration()
    made = mint_key(cfg.revision)
    _commit_new(session, cfg, made, find_team(cfg, team).name, [])


@key.command("rotate")
@click.argument("key_id")
@click.option("--withdraw-old", is_flag=True, help="Withdraw the old key at once.")
@yes_option
@pass_session
def rotate_key(session: Session, key_id: str, withdraw_old: bool, yes: bool) -> None:
    """Creates a second key for the same team; withdraw the old one later.

    With --withdraw-old both happen in one change: a caller that still has the old
    key is refused within seconds.
    """
    refuse_repeat(session)
    cfg = session.configuration()
    old = _find(cfg, key_id)
    withdrawal: list[Change] = [WithdrawKey(old.key_id)] if withdraw_old else []
    made = mint_key(cfg.revision)
    _commit_new(session, cfg, made, old.team, withdrawal, yes=yes)


@key.command("withdraw")
@click.argument("key_id")
@yes_option
@pass_session
def withdraw_key(session: Session, key_id: str, yes: bool) -> None:
    """Withdraws a key for ever and says which zones have not confirmed it."""
    cfg = session.configuration()
    old = _find(cfg, key_id)
    committed = session.commit(
        [WithdrawKey(old.key_id)],
        harm=f"Callers of team {old.team} with this key are refused.",
        yes=yes,
    )
    session.done(committed, withdrawn=key_id)


def refuse_repeat(session: Session) -> None:
    """Refuses ``--op-id`` for commands that make a key.

    Raises:
        CliError: The option was given.
    """
    if session.op_id:
        fix = "list the keys; withdraw the one that you never saw; create another"
        what = "a key cannot be printed a second time"
        raise faulty(what, where="--op-id", fix=fix)


def _commit_new(
    session: Session,
    cfg: Configuration,
    made: MintedKey,
    team: TeamName,
    withdrawal: list[Change],
    *,
    yes: bool = False,
) -> None:
    added = AddKey(TeamKey(made.key_id, team, made.digest))
    harm = f"Callers of team {team} with the old key are refused."
    committed = session.commit(
        [added, *withdrawal],
        expected=cfg.revision,
        harm=harm if withdrawal else "",
        yes=yes,
    )
    session.done(committed, key=made.text, key_id=made.key_id, team=team)


def _find(cfg: Configuration, key_id: str) -> TeamKey:
    found = cfg.keys.get(KeyId(key_id))
    if found is None:
        fix = "see `amaranthtray key list`; give the part before the dot"
        raise faulty("no key with this id", where="KEY_ID", fix=fix)
    return found
