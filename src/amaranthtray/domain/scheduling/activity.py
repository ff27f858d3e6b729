"""What a pool's runs, waiting tasks and hosts add up to, for the log."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..jobs.model import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from ._state import SchedulerState


@dataclass(frozen=True, slots=True)
class PoolActivity:
    """Sums over a pool.

    Attributes:
        hosts: Hosts that the platform lists.
        accepting: Hosts on which new runs may be placed.
        idle: Accepting hosts without runs.
        free: Free resources of the accepting hosts.
        runs: Number of runs by phase.
        waiting: Number of tasks that may start now and have no run.
        advice_waiting: Number of steps that wait to be asked for placement advice.
    """

    hosts: int
    accepting: int
    idle: int
    free: Resources
    runs: dict[str, int]
    waiting: int
    advice_waiting: int


def pool_activity(state: SchedulerState) -> PoolActivity:
    """Returns the present sums of a pool."""
    listed = [host for host in state.hosts.values() if host.is_listed]
    accepting = [host for host in listed if host.accepts_runs(state.now_ms)]
    free = NO_RESOURCES
    for host in accepting:
        free = free.plus(host.free)
    runs: Counter[str] = Counter()
    waiting = 0
    for job in state.active.values():
        runs.update(run.phase.name.lower() for _, run in job.runs())
        for occurrence, step in job.open_steps(state.wall_ms):
            waiting += sum(task.is_waiting for task in job.tasks(occurrence, step))
    return PoolActivity(
        hosts=len(listed),
        accepting=len(accepting),
        idle=sum(not host.placed_runs() for host in accepting),
        free=free,
        runs=dict(runs),
        waiting=waiting,
        advice_waiting=state.advice_queue.waiting,
    )
