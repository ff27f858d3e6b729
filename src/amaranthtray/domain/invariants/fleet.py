"""Promises about pools and hosts."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from .observations import (
    BudgetSet,
    HostBack,
    HostLeaving,
    HostOut,
    HostPlaced,
    TaskStarted,
)

if TYPE_CHECKING:
    from ..ids import HostId, PoolName
    from .observations import Observation

LEAVING_KNOWN_MS = 3_000
"""Time after which a leaving backend server receives no new work."""


class BudgetsHold:
    """No act of ours takes a host out beyond the pool's availability budget.

    Failures count against the budget but cannot break it by themselves.
    """

    def __init__(self) -> None:
        self._budgets: dict[PoolName, int] = {}
        self._out: dict[PoolName, set[HostId]] = defaultdict(set)

    def observe(self, seen: Observation) -> str | None:
        """Returns a broken budget, if this observation shows one."""
        match seen:
            case BudgetSet():
                self._budgets[seen.pool] = seen.max_out
            case HostOut():
                return self._take_out(seen)
            case HostBack():
                for hosts in self._out.values():
                    hosts.discard(seen.host)
        return None

    def _take_out(self, seen: HostOut) -> str | None:
        out = self._out[seen.pool]
        was_out = seen.host in out
        out.add(seen.host)
        budget = self._budgets.get(seen.pool)
        if was_out or budget is None or not seen.cause.is_voluntary:
            return None
        if len(out) <= budget:
            return None
        return f"pool {seen.pool} has {len(out)} hosts out, budget {budget}"


class OnePoolAHost:
    """Every host belongs to exactly one pool at any moment."""

    def observe(self, seen: Observation) -> str | None:
        """Returns a host in no pool or in several, if this observation shows it."""
        if not isinstance(seen, HostPlaced) or len(seen.pools) == 1:
            return None
        return f"host {seen.host} is in pools {list(seen.pools)}"


class LeavingGetsNothing:
    """A leaving backend server receives no new work after a few seconds."""

    def __init__(self) -> None:
        self._leaving_since: dict[HostId, int] = {}

    def observe(self, seen: Observation) -> str | None:
        """Returns work sent to a leaving host, if this observation shows it."""
        match seen:
            case HostLeaving():
                self._leaving_since.setdefault(seen.host, seen.at_ms)
            case HostBack():
                self._leaving_since.pop(seen.host, None)
            case TaskStarted():
                since = self._leaving_since.get(seen.host)
                if since is not None and seen.at_ms > since + LEAVING_KNOWN_MS:
                    return f"host {seen.host} got work {seen.at_ms - since} ms later"
        return None
