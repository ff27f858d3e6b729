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
"""Time after which a leaving backend server must receive no new work."""


class BudgetsHold:
    """The fleet manager takes out no host beyond the pool's availability budget.

    Failed hosts count against the budget, but do not violate it by themselves.
    """

    def __init__(self) -> None:
        self._budgets: dict[PoolName, int] = {}
        self._out: dict[PoolName, set[HostId]] = defaultdict(set)

    def observe(self, event: Observation) -> str | None:
        """Returns an exceeded budget that this observation reveals, or None."""
        match event:
            case BudgetSet():
                self._budgets[event.pool] = event.max_out
            case HostOut():
                return self._record_out(event)
            case HostBack():
                for hosts in self._out.values():
                    hosts.discard(event.host)
        return None

    def _record_out(self, event: HostOut) -> str | None:
        out = self._out[event.pool]
        was_out = event.host in out
        out.add(event.host)
        budget = self._budgets.get(event.pool)
        if was_out or budget is None or not event.cause.is_voluntary:
            return None
        if len(out) <= budget:
            return None
        return f"pool {event.pool} has {len(out)} hosts out, budget {budget}"


class OnePoolAHost:
    """Every host belongs to exactly one pool at any moment."""

    def observe(self, event: Observation) -> str | None:
        """Returns a host in no pool or in several that this reveals, or None."""
        if not isinstance(event, HostPlaced) or len(event.pools) == 1:
            return None
        return f"host {event.host} is in pools {list(event.pools)}"


class LeavingGetsNothing:
    """A leaving backend server receives no new work after a few seconds."""

    def __init__(self) -> None:
        self._leaving_since_ms: dict[HostId, int] = {}

    def observe(self, event: Observation) -> str | None:
        """Returns work sent to a leaving host that this reveals, or None."""
        match event:
            case HostLeaving():
                self._leaving_since_ms.setdefault(event.host, event.at_ms)
            case HostBack():
                self._leaving_since_ms.pop(event.host, None)
            case TaskStarted():
                since_ms = self._leaving_since_ms.get(event.host)
                if since_ms is not None and event.at_ms > since_ms + LEAVING_KNOWN_MS:
                    return (
                        f"host {event.host} received work"
                        f" {event.at_ms - since_ms} ms after it began to leave"
                    )
        return None
