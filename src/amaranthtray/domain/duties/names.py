"""Names of duties."""

from __future__ import annotations

from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from ..ids import PoolName, ZoneId

DutyName = NewType("DutyName", str)

FLEET_DUTY = DutyName("fleet")
"""The duty of moving and maintaining machines, which spans pools."""


def steward_duty(zone: ZoneId) -> DutyName:
    """Returns the duty of being an availability zone's link to the platform."""
    return DutyName(f"steward/{zone}")


def conductor_duty(pool: PoolName) -> DutyName:
    """Returns the duty of conducting a pool's maintenance."""
    return DutyName(f"conductor/{pool}")
