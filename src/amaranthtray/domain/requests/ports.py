"""What the request desk needs from the limit and share aggregates."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..ids import Millis, PoolName, TeamName


class Limits(Protocol):
    """Units of the teams' upper limits that this entry holds."""

    def try_acquire(self, team: TeamName, now_ms: Millis) -> bool:
        """Takes one unit for a task about to start; false when none is held."""

    def release(self, team: TeamName, now_ms: Millis) -> None:
        """Returns the unit of a task that is known to be over."""

    def record_demand(self, team: TeamName, waiting: int, now_ms: Millis) -> None:
        """Records how many requests of the team wait for a unit."""


class Shares(Protocol):
    """Order among the teams that wait for slots of one pool."""

    def pick(
        self, pool: PoolName, waiting: Collection[TeamName], now_ms: Millis
    ) -> TeamName | None:
        """Returns the team furthest below its share; none if ``waiting`` is empty."""

    def started(self, pool: PoolName, team: TeamName, now_ms: Millis) -> None:
        """Records that a slot of the pool began to work for the team."""

    def ended(self, pool: PoolName, team: TeamName, slot_ms: int) -> None:
        """Records a slot's measured time when the task is over."""


class Unlimited:
    """Limits that never bind."""

    def try_acquire(self, team: TeamName, now_ms: Millis) -> bool:
        """Takes a unit; always true."""
        return True

    def release(self, team: TeamName, now_ms: Millis) -> None:
        """Returns a unit."""

    def record_demand(self, team: TeamName, waiting: int, now_ms: Millis) -> None:
        """Ignores the demand."""


class FirstComeShares:
    """Serves the team that began to wait first."""

    def pick(
        self, pool: PoolName, waiting: Collection[TeamName], now_ms: Millis
    ) -> TeamName | None:
        """Returns the first of ``waiting``."""
        return next(iter(waiting), None)

    def started(self, pool: PoolName, team: TeamName, now_ms: Millis) -> None:
        """Ignores the start."""

    def ended(self, pool: PoolName, team: TeamName, slot_ms: int) -> None:
        """Ignores the end."""
