"""What a pool needs, for the duty that moves machines between pools."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..jobs.model import NO_RESOURCES, Resources
from ..upkeep.moves import PoolLoad
from .ranking import rank

if TYPE_CHECKING:
    from ._board import Board

BACKLOG_HOSTS = 3
"""Waiting work counts up to this many times what the pool has."""


def pool_load(board: Board) -> PoolLoad:
    """Returns the need of running tasks and of waiting ones that can be in time."""
    hosts = [host for host in board.hosts.values() if host.is_listed]
    need, have = NO_RESOURCES, NO_RESOURCES
    for host in hosts:
        need = need.plus(host.used)
        have = have.plus(host.info.capacity)
    most = have.times(BACKLOG_HOSTS)
    for job in board.active.values():
        if job.state.is_final or not need.fits(most):
            continue
        if rank(job, board.queue_of(job), board.wall_ms).is_hopeless:
            continue
        for occurrence, number in job.open_steps(board.wall_ms):
            step = job.spec.steps[number]
            tasks = job.tasks(occurrence, number)
            waiting = sum(task.is_waiting for task in tasks)
            need = need.plus(step.reserved.times(waiting))
    sizes = [host.info.capacity for host in hosts]
    size = max(sizes, default=NO_RESOURCES)
    idle = tuple(
        host.info.id
        for host in hosts
        if host.is_open(board.now_ms) and not host.placed()
    )
    return PoolLoad(need, Resources(*size), idle)
