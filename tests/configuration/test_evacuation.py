"""Configuration changes that evacuate an availability zone."""

from __future__ import annotations

import pytest

import builders
from amaranthtray.domain.configuration import (
    Change,
    Configuration,
    EndEvacuation,
    EvacuateZone,
    Role,
)
from amaranthtray.domain.configuration.log import (
    ChangeConflict,
    apply,
    propose,
)
from amaranthtray.domain.errors import Problem
from amaranthtray.domain.ids import EntryId, OperationId, Revision, ZoneId
from amaranthtray.domain.keys import authorize

Z1, Z2 = ZoneId("z1"), ZoneId("z2")
EVACUATED = apply(Configuration(), builders.record(1, EvacuateZone(Z1)))


def refusal(
    cfg: Configuration, *changes: Change, expected: int | None = None
) -> object:
    return (
        propose(
            cfg,
            changes,
            rules=builders.rules(),
            op_id=OperationId("new"),
            operator="ana",
            entry=EntryId("e1"),
            expected=None if expected is None else Revision(expected),
        )
        .swap()
        .value_or(None)
    )


def test_an_evacuation_is_in_force_from_its_revision_until_its_end() -> None:
    assert EVACUATED.evacuations == {Z1: Revision(1)}
    assert not apply(EVACUATED, builders.record(2, EndEvacuation(Z1))).evacuations


@pytest.mark.parametrize(
    ("change", "what"),
    [
        (EvacuateZone(ZoneId("z9")), "unknown zone 'z9'"),
        (EvacuateZone(ZoneId("")), "empty name of a zone"),
        (EvacuateZone(Z1), "zone 'z1' is evacuated since revision 1"),
        (EndEvacuation(Z2), "zone 'z2' is not evacuated"),
        (EndEvacuation(ZoneId("")), "empty name of a zone"),
    ],
)
def test_an_invalid_evacuation_is_refused_with_the_known_zones(
    change: Change, what: str
) -> None:
    problem = refusal(EVACUATED, change)
    assert isinstance(problem, Problem)
    assert problem.what == what
    assert "known zones: z1, z2" in problem.fix


def test_the_last_zone_is_evacuated_only_on_explicit_request() -> None:
    problem = refusal(EVACUATED, EvacuateZone(Z2))
    assert isinstance(problem, Problem)
    assert "--all-zones" in problem.fix
    assert refusal(Configuration(), EvacuateZone(Z1), EvacuateZone(Z2)) is not None
    assert refusal(EVACUATED, EvacuateZone(Z2, all_zones=True)) is None
    ended_first = (EndEvacuation(Z1), EvacuateZone(Z2))
    assert refusal(EVACUATED, *ended_first) is None


def test_an_operator_that_saw_an_older_state_of_the_zone_gets_a_conflict() -> None:
    found = refusal(EVACUATED, EndEvacuation(Z1), expected=0)
    assert isinstance(found, ChangeConflict)
    assert found.obj == "zone/z1"


def test_viewers_may_not_evacuate() -> None:
    viewer, _ = builders.operator(role=Role.VIEWER)
    operator, _ = builders.operator(role=Role.OPERATOR)
    assert authorize(viewer, [EvacuateZone(Z1)]) is not None
    assert authorize(operator, [EvacuateZone(Z1), EndEvacuation(Z1)]) is None
