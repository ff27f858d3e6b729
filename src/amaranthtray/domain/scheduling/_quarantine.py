"""Places tasks under which hosts crashed, apart from the runs of other jobs.

All tasks of a crashed host are suspects. After one crash a task avoids other suspects,
so that a second crash tells them apart; after two it gets a host to itself, so that a
third one shows the cause.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .host import QUARANTINE_CRASHES
from .placement import place_apart, place_gang

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..jobs.job import Job
    from ..jobs.model import StepKey
    from ._state import SchedulerState
    from .host import Host
    from .placement import Placement

ISOLATION_WAIT_MS = 2_500
"""Longest wait for a suitable host without other runs; where all hosts have lasting
tasks there is none."""

HOSTS_PER_RESERVED = 8
"""Hosts of a pool for each that may be kept free for a task that needs it alone."""


def has_suspects(job: Job, key: StepKey, waiting: list[int]) -> bool:
    """Returns whether a host has crashed under any of a step's tasks."""
    tasks = job.tasks(key.occurrence, key.step)
    suspects = [number for number in waiting if tasks[number].crashes]
    return bool(suspects)


def split_suspects(
    job: Job, key: StepKey, waiting: list[int]
) -> tuple[list[int], list[int], list[int]]:
    """Splits a step's tasks into those without crashes, with some, and to be isolated.

    A gang is never split, as it only works as a whole.
    """
    if not has_suspects(job, key, waiting):
        return waiting, [], []
    tasks = job.tasks(key.occurrence, key.step)
    if job.spec.steps[key.step].is_gang:
        crashes = max(len(task.crashes) for task in tasks)
        counts = dict.fromkeys(waiting, crashes)
    else:
        counts = {number: len(tasks[number].crashes) for number in waiting}
    return (
        [number for number in waiting if not counts[number]],
        [number for number in waiting if 0 < counts[number] < QUARANTINE_CRASHES],
        [number for number in waiting if counts[number] >= QUARANTINE_CRASHES],
    )


def crashed_machines(job: Job, key: StepKey, numbers: list[int]) -> dict[int, set[str]]:
    """Returns the machines that crashed under each of some tasks of a step."""
    tasks = job.tasks(key.occurrence, key.step)
    return {number: tasks[number].crashed_machines for number in numbers}


def place_suspects(
    job: Job, key: StepKey, waiting: list[int], hosts: Iterable[Host]
) -> list[Placement]:
    """Places tasks under which one host crashed."""
    step = job.spec.steps[key.step]
    if step.is_gang:
        return place_gang(step, key, waiting, hosts)
    return place_apart(step, key, crashed_machines(job, key, waiting), hosts)


def place_isolated(
    job: Job, key: StepKey, waiting: list[int], hosts: list[Host]
) -> list[Placement]:
    """Places tasks on hosts that run nothing of other jobs and didn't crash under them.

    A task that crashes another machine is the cause; on the same machine, either is.
    Where all machines have crashed under a task, it gets one of them.
    """
    step = job.spec.steps[key.step]
    alone = [host for host in hosts if host.has_only(job.spec.id)]
    present = {host.machine for host in hosts}
    avoided = {
        number: machines if present - machines else set()
        for number, machines in crashed_machines(job, key, waiting).items()
    }
    if step.is_gang:
        crashed = set().union(*avoided.values())
        others = [host for host in alone if host.machine not in crashed]
        return place_gang(step, key, waiting, others)
    return place_apart(step, key, avoided, alone, needs_other_machine=True)


def place_overdue(
    job: Job, key: StepKey, waiting: list[int], hosts: Iterable[Host]
) -> list[Placement]:
    """Places tasks that have waited too long: alone if possible, else with others."""
    alone = [host for host in hosts if host.has_only(job.spec.id)]
    shared = [host for host in hosts if not host.quarantined_runs]
    return place_suspects(job, key, waiting, alone) or place_suspects(
        job, key, waiting, shared
    )


def overdue_for_isolation(
    job: Job, key: StepKey, waiting: list[int], now_ms: int
) -> list[int]:
    """Returns the unplaced tasks that have waited for long enough to share a host."""
    overdue: list[int] = []
    for number in waiting:
        task = job.tasks(key.occurrence, key.step)[number]
        if task.runs:
            task.isolation_wanted_ms = None
        elif task.isolation_wanted_ms is None:
            task.isolation_wanted_ms = now_ms
        elif now_ms - task.isolation_wanted_ms >= ISOLATION_WAIT_MS:
            overdue.append(number)
    return overdue


def select_reserved_hosts(
    state: SchedulerState,
    hosts: list[Host],
    wanted: int,
    avoided_machines: set[str],
    pool_size: int,
) -> None:
    """Reserves the hosts that are empty soonest, for tasks to be isolated.

    Args:
        state: State of the scheduler.
        hosts: Hosts on which some of the tasks can certainly run.
        wanted: Number of tasks that found no host.
        avoided_machines: Machines that crashed under these.
        pool_size: Number of all hosts that accept runs.
    """
    limit = min(wanted, 1 + pool_size // HOSTS_PER_RESERVED)
    reserved = state.crashes.reserved_hosts
    if not limit:
        state.crashes.reserved_hosts = frozenset()
        return
    usable = [host for host in hosts if not host.has_lasting]
    usable.sort(
        key=lambda host: (
            host.quarantined_runs > 0,
            host.machine in avoided_machines,
            host.info.id not in reserved,
            host.used.cpu,
        )
    )
    state.crashes.reserved_hosts = frozenset(host.info.id for host in usable[:limit])
