"""Commands for operators and their keys."""

from __future__ import annotations

import click

from ..domain.configuration import AddOperator, Operator, Role, WithdrawOperator
from ..domain.configuration.model import EMPTY_REVISION
from ..domain.ids import KeyId
from ..domain.keys import mint_key
from .errors import input_error
from .keys import reject_op_id
from .options import GroupWithOutput, yes_option
from .output import print_records
from .session import Session, pass_session


@click.group(cls=GroupWithOutput)
def operator() -> None:
    """Operators, their roles and keys."""


@operator.command("list")
@pass_session
def list_operators(session: Session) -> None:
    """Lists all operators."""
    operators = session.configuration().operators.values()
    records = [
        {"key_id": item.key_id, "name": item.name, "role": item.role}
        for item in operators
    ]
    print_records(records, session.output)


@operator.command("add")
@click.argument("name")
@click.option(
    "--role",
    type=click.Choice([role.value for role in Role]),
    default=Role.OPERATOR.value,
    show_default=True,
)
@pass_session
def add_operator(session: Session, name: str, role: str) -> None:
    """Adds an operator and prints the key; it cannot be printed again."""
    reject_op_id(session)
    cfg = session.configuration()
    minted = mint_key(cfg.revision)
    added = AddOperator(Operator(minted.key_id, name, Role(role), minted.digest))
    committed = session.commit([added], expected=cfg.revision)
    session.print_committed(
        committed, key=minted.text, key_id=minted.key_id, operator=name
    )


@operator.command("first-key")
def first_key() -> None:
    """Creates the key of the first operator without calling an entry.

    Put the digest into the settings as [bootstrap] operator_digest. The first
    change made with the key adds it as the operator named bootstrap.
    """
    minted = mint_key(EMPTY_REVISION)
    click.echo(f"key: {minted.text}")
    click.echo(f"operator_digest: {minted.digest}")


@operator.command("withdraw")
@click.argument("key_id")
@yes_option
@pass_session
def withdraw_operator(session: Session, key_id: str, yes: bool) -> None:
    """Withdraws an operator's key."""
    cfg = session.configuration()
    found = cfg.operators.get(KeyId(key_id))
    if found is None:
        fix = "see `amaranthtray operator list`; give the part before the dot"
        raise input_error("no operator with this key id", where="KEY_ID", fix=fix)
    committed = session.commit(
        [WithdrawOperator(found.key_id)],
        warning=f"Operator {found.name} is locked out with this key.",
        yes=yes,
    )
    session.print_committed(committed, withdrawn=key_id)
