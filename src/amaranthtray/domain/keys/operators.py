"""Operators: authentication, and the changes that each role may make."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..configuration.changes import (
    AddKey,
    AddOperator,
    Change,
    EndEvacuation,
    EvacuateZone,
    PlaceHosts,
    PutPool,
    PutQueue,
    PutTeam,
    PutWave,
    RemovePool,
    RemoveQueue,
    RemoveTeam,
    SetHostLabels,
    SetWaveState,
    WithdrawKey,
    WithdrawOperator,
)
from ..configuration.model import Operator, Role
from ..errors import Problem
from .authentication import key_id_of, matches_digest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..configuration.model import Configuration
    from ..ids import KeyId

BOOTSTRAP_OPERATOR_NAME = "bootstrap"

_ROLE_RANK = {Role.VIEWER: 0, Role.OPERATOR: 1, Role.ADMIN: 2}


def required_role(change: Change) -> Role:
    """Returns the lowest role that may make a change.

    Operators run the fleet. Administrators also decide which teams may use it, how
    much of it each team gets, and who operates it.
    """
    match change:
        case SetHostLabels() | PlaceHosts() | PutWave() | SetWaveState():
            return Role.OPERATOR
        case PutPool() | RemovePool() | PutQueue() | RemoveQueue():
            return Role.OPERATOR
        case AddKey() | WithdrawKey():
            return Role.OPERATOR
        case EvacuateZone() | EndEvacuation():
            return Role.OPERATOR
        case PutTeam() | RemoveTeam():
            return Role.ADMIN
        case AddOperator() | WithdrawOperator():
            return Role.ADMIN


def may_change(role: Role, change: Change) -> bool:
    """Returns whether a role may make a change."""
    return _ROLE_RANK[role] >= _ROLE_RANK[required_role(change)]


def authorize(operator: Operator, changes: Iterable[Change]) -> Problem | None:
    """Returns why an operator may not make the changes, or None if they may.

    One forbidden change refuses all of them.
    """
    for change in changes:
        if may_change(operator.role, change):
            continue
        change_name = type(change).__name__
        role = required_role(change)
        return Problem(
            step="authorize",
            peer=operator.name,
            what=f"role {operator.role.value} may not make this change",
            where=change_name,
            fix=f"ask someone with role {role.value}",
        )
    return None


def identify_operator(cfg: Configuration, key_text: str) -> Operator | None:
    """Returns the operator whose key this is, or None for any other text."""
    key_id = key_id_of(key_text)
    operator = cfg.operators.get(key_id) if key_id else None
    digest = operator.digest if operator else None
    return operator if matches_digest(key_text, digest) else None


def bootstrap_operator(key_id: KeyId, digest: str) -> AddOperator:
    """Returns the change that adds the first administrator, in record 1.

    The digest comes from the settings; there is no default key.
    """
    name = BOOTSTRAP_OPERATOR_NAME
    return AddOperator(Operator(key_id, name, Role.ADMIN, digest))
