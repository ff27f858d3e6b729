"""Interfaces through which the request dispatcher uses limits and shares."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..ids import Millis, PoolName, TeamName


class Limits(Protocol):
    """Units of the teams' upper limits that this entry holds; each task uses one."""

    def try_acquire(self, team: TeamName, now_ms: Millis) -> bool:
        """Acquires a unit for a task about to start; returns False if none is free."""

    def release(self, team: TeamName, now_ms: Millis) -> None:
        """Releases the unit of a task that has certainly ended."""

    def record_demand(self, team: TeamName, waiting: int, now_ms: Millis) -> None:
        """Records how many requests of the team are waiting."""


class Shares(Protocol):
    """Decides which team gets the next free slot of a pool."""

    def pick(
        self, pool: PoolName, waiting: Collection[TeamName], now_ms: Millis
    ) -> TeamName | None:
        """Returns the team furthest below its share; None if ``waiting`` is empty."""

    def record_start(self, pool: PoolName, team: TeamName, now_ms: Millis) -> None:
        """Records that a task of the team now occupies a slot of the pool."""

    def record_end(self, pool: PoolName, team: TeamName, slot_ms: int) -> None:
        """Records the measured slot time of a task that has ended."""


class Unlimited:
    """Limits that always have a free unit."""

    def try_acquire(self, team: TeamName, now_ms: Millis) -> bool:
        """Acquires a unit; always returns True."""
        return True

    def release(self, team: TeamName, now_ms: Millis) -> None:
        """Ignores the release."""

    def record_demand(self, team: TeamName, waiting: int, now_ms: Millis) -> None:
        """Ignores the demand."""


class FirstComeShares:
    """Serves the teams in the order in which they began to wait."""

    def pick(
        self, pool: PoolName, waiting: Collection[TeamName], now_ms: Millis
    ) -> TeamName | None:
        """Returns the first of ``waiting``."""
        return next(iter(waiting), None)

    def record_start(self, pool: PoolName, team: TeamName, now_ms: Millis) -> None:
        """Ignores the start."""

    def record_end(self, pool: PoolName, team: TeamName, slot_ms: int) -> None:
        """Ignores the end."""
