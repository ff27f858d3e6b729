"""Planning: the time of one plan of a full pool, with and without the switches."""

from __future__ import annotations

import statistics
import time
from typing import TYPE_CHECKING

from ._planning_pool import FullPool
from .figure import Figure

if TYPE_CHECKING:
    from collections.abc import Iterator

SIZES = ((430, 1_000), (1_075, 2_500), (2_150, 5_000), (4_300, 10_000))
"""Hosts, and tasks that wait for room."""

MAX_PLAN_MS = 20
PLANS = 25


def figures() -> Iterator[Figure]:
    """Yields the figures of this group; the baseline is a plan without look-ahead."""
    for hosts, waiting in SIZES:
        baseline_ms = _plan_ms(hosts, waiting, look_ahead=False)
        plan_ms = _plan_ms(hosts, waiting, look_ahead=True)
        bound_ms = MAX_PLAN_MS * hosts // SIZES[0][0]
        name = f"planning.plan_of_{hosts}_hosts_and_{waiting}_tasks"
        yield Figure(name, plan_ms, "ms", f"<= {bound_ms}", baseline_ms)
    yield _with_data_racks(*SIZES[0])


def _with_data_racks(hosts: int, waiting: int) -> Figure:
    """Returns the figure of tasks with data racks; the baseline places them at once."""
    pools = [
        FullPool(
            hosts, waiting, look_ahead=False, weigh_remote_hosts=weigh, has_data=True
        )
        for weigh in (False, True)
    ]
    baseline_ms, plan_ms = map(_median_ms, pools)
    name = f"planning.plan_of_{hosts}_hosts_and_{waiting}_tasks_with_data_racks"
    return Figure(name, plan_ms, "ms", f"<= {MAX_PLAN_MS}", baseline_ms)


def _plan_ms(hosts: int, waiting: int, *, look_ahead: bool) -> float:
    return _median_ms(FullPool(hosts, waiting, look_ahead=look_ahead))


def _median_ms(pool: FullPool) -> float:
    """Returns the median processor time of a plan."""
    pool.fill()
    times_ms: list[float] = []
    for _ in range(PLANS):
        pool.advance()
        begun_s = time.process_time()
        pool.plan()
        times_ms.append((time.process_time() - begun_s) * 1_000)
    return statistics.median(times_ms)
