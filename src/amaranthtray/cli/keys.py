"""Commands for the keys with which callers authenticate."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from ..domain.configuration import AddKey, TeamKey, WithdrawKey
from ..domain.ids import KeyId, TeamName
from ..domain.keys import MintedKey, mint_key
from .errors import input_error
from .options import GroupWithOutput, yes_option
from .output import print_records
from .session import Session, pass_session
from .teams import find as find_team

if TYPE_CHECKING:
    from ..domain.configuration import Change, Configuration


@click.group(cls=GroupWithOutput)
def key() -> None:
    """Keys with which callers authenticate. Only digests are sent and stored."""


@key.command("list")
@click.option("--team", help="Only keys of this team.")
@pass_session
def list_keys(session: Session, team: str | None) -> None:
    """Lists the public ids of all keys."""
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
    """Creates a key and prints it; it cannot be printed again."""
    reject_op_id(session)
    cfg = session.configuration()
    minted = mint_key(cfg.revision)
    _commit_new_key(session, cfg, minted, find_team(cfg, team).name, [])


@key.command("rotate")
@click.argument("key_id")
@click.option(
    "--withdraw-old", is_flag=True, help="Withdraw the old key in the same change."
)
@yes_option
@pass_session
def rotate_key(session: Session, key_id: str, withdraw_old: bool, yes: bool) -> None:
    """Creates another key for the same team; withdraw the old one later.

    With --withdraw-old both happen in one change: a caller that still has the old
    key is refused within seconds.
    """
    reject_op_id(session)
    cfg = session.configuration()
    old = _find_key(cfg, key_id)
    withdrawal: list[Change] = [WithdrawKey(old.key_id)] if withdraw_old else []
    minted = mint_key(cfg.revision)
    _commit_new_key(session, cfg, minted, old.team, withdrawal, yes=yes)


@key.command("withdraw")
@click.argument("key_id")
@yes_option
@pass_session
def withdraw_key(session: Session, key_id: str, yes: bool) -> None:
    """Withdraws a key permanently; names the zones that did not confirm it."""
    cfg = session.configuration()
    old = _find_key(cfg, key_id)
    committed = session.commit(
        [WithdrawKey(old.key_id)],
        warning=f"Callers of team {old.team} with this key are refused.",
        yes=yes,
    )
    session.print_committed(committed, withdrawn=key_id)


def reject_op_id(session: Session) -> None:
    """Rejects ``--op-id`` for commands that create a key.

    Raises:
        CliError: The option was given.
    """
    if session.op_id:
        fix = "list the keys, withdraw the one that was not printed, create another"
        what = "a key cannot be printed a second time"
        raise input_error(what, where="--op-id", fix=fix)


def _commit_new_key(
    session: Session,
    cfg: Configuration,
    minted: MintedKey,
    team: TeamName,
    withdrawal: list[Change],
    *,
    yes: bool = False,
) -> None:
    added = AddKey(TeamKey(minted.key_id, team, minted.digest))
    warning = f"Callers of team {team} with the old key are refused."
    committed = session.commit(
        [added, *withdrawal],
        expected=cfg.revision,
        warning=warning if withdrawal else "",
        yes=yes,
    )
    session.print_committed(committed, key=minted.text, key_id=minted.key_id, team=team)


def _find_key(cfg: Configuration, key_id: str) -> TeamKey:
    found = cfg.keys.get(KeyId(key_id))
    if found is None:
        fix = "see `amaranthtray key list`; give the part before the dot"
        raise input_error("no key with this id", where="KEY_ID", fix=fix)
    return found
