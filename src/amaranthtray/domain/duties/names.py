"""Names of duties, which are parts of their store keys."""

from __future__ import annotations

from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from ..ids import PoolName, ZoneId

DutyName = NewType("DutyName", str)

FLEET_DUTY = DutyName("fleet")
"""The duty of moving and maintaining machines, for the whole fleet."""


def steward_duty(zone: ZoneId) -> DutyName:
    """Returns the duty of an availability zone's steward, its link to the platform."""
    return DutyName(f"steward/{zone}")


def conductor_duty(pool: PoolName) -> DutyName:
    """Returns the duty of a pool's conductor, which runs its moves and maintenance."""
    return DutyName(f"conductor/{pool}")
