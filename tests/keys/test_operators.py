"""Roles of operators, and how operators are identified."""

from __future__ import annotations

import pytest

import builders
from amaranthtray.domain.configuration import (
    CHANGES,
    AddOperator,
    Change,
    Configuration,
    PutPool,
    PutTeam,
    Role,
    WithdrawOperator,
)
from amaranthtray.domain.configuration.log import apply
from amaranthtray.domain.ids import KeyId
from amaranthtray.domain.keys import (
    authorize,
    bootstrap_operator,
    identify_operator,
    required_role,
)

ANA, ANA_KEY = builders.operator(1)
CFG = apply(Configuration(), builders.record(1, AddOperator(ANA)))


@pytest.mark.parametrize(
    ("role", "change", "is_allowed"),
    [
        (Role.VIEWER, PutPool(builders.pool()), False),
        (Role.OPERATOR, PutPool(builders.pool()), True),
        (Role.OPERATOR, PutTeam(builders.team()), False),
        (Role.ADMIN, PutTeam(builders.team()), True),
        (Role.OPERATOR, WithdrawOperator(KeyId("k0-x")), False),
    ],
)
def test_roles(role: Role, change: Change, is_allowed: bool) -> None:
    operator, _ = builders.operator(2, role=role)

    assert (authorize(operator, [change]) is None) == is_allowed


def test_every_change_has_a_role_and_no_viewer_may_change_anything() -> None:
    for member in CHANGES._members.values():
        uninitialized = object.__new__(member)
        assert required_role(uninitialized) in (Role.OPERATOR, Role.ADMIN)


def test_one_forbidden_change_refuses_them_all() -> None:
    operator, _ = builders.operator(2, role=Role.OPERATOR)
    changes = [PutPool(builders.pool()), PutTeam(builders.team())]

    assert authorize(operator, changes).where == "PutTeam"


def test_an_operator_is_identified_by_the_whole_key_only() -> None:
    assert identify_operator(CFG, ANA_KEY) == ANA
    assert identify_operator(CFG, ANA_KEY + "x") is None
    assert identify_operator(CFG, "nodot") is None
    assert identify_operator(Configuration(), ANA_KEY) is None


def test_the_first_administrator_comes_from_a_digest() -> None:
    cfg = apply(
        Configuration(), builders.record(1, bootstrap_operator(ANA.key_id, ANA.digest))
    )

    assert identify_operator(cfg, ANA_KEY).role == Role.ADMIN
