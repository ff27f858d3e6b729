"""Chooses the runs to start now."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..jobs.model import Resources, StepKey, TaskName
from ._unplaced import hosts_to_reserve
from .messages import StartRun
from .placement import place_each, place_gang
from .ranking import rank

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..jobs.job import Job
    from ..jobs.model import StepSpec
    from ..jobs.task import Task
    from ._state import SchedulerState
    from .host import Host
    from .placement import Choice

NO_ROOM = Resources(-1, -1, -1)
"""Not even a task that asks for nothing fits where there is no host."""


def plan_starts(board: SchedulerState) -> None:
    """Places waiting tasks while there is room for any."""
    hosts = [
        host
        for host in board.hosts.values()
        if host.is_open(board.now_ms)
        and host.info.id not in board.to_vacate
        and (board.enforces_capacity or not host.has_strays)
    ]
    if not hosts:
        return
    room = _largest_room(hosts)
    waiting_keys: set[StepKey] = set()
    for job in _by_rank(board):
        for key, step, waiting in _waiting_steps(board, job):
            waiting_keys.add(key)
            placed = 0
            if step.reserved.fits(room):
                waiting = _within_cap(board, job, step, waiting)
                placed = _place(board, job, key, waiting, hosts)
            board.unplaced.note(key, len(waiting) - placed, board.now_ms)
            kept: set[str] = set()
            if step.is_gang and board.unplaced.is_due(key, step, board.now_ms):
                kept = hosts_to_reserve(step, hosts)
                hosts = [host for host in hosts if host.info.id not in kept]
            if placed or kept:
                room = _largest_room(hosts)
    board.unplaced.retain(waiting_keys)


def _within_cap(
    board: SchedulerState, job: Job, step: StepSpec, waiting: list[int]
) -> list[int]:
    """Returns the tasks that the team's cap lets start; of a gang all or none."""
    count = board.caps.count_that_fits(
        board.catalog, job.spec.team, step.need, len(waiting), is_gang=step.is_gang
    )
    return waiting[:count]


def _place(
    board: SchedulerState, job: Job, key: StepKey, waiting: list[int], hosts: list[Host]
) -> int:
    """Places tasks of a step; returns how many found a place."""
    if not waiting:
        return 0
    step = job.spec.steps[key.step]
    allowed = _allowed(board, job, key, hosts)
    place = place_gang if step.is_gang else place_each
    choices = place(step, key, waiting, allowed)
    if len(choices) < len(waiting):
        _ask(board, job, key, hosts)
    _start(board, job, key, choices)
    return len(choices)


def _allowed(
    board: SchedulerState, job: Job, key: StepKey, hosts: list[Host]
) -> list[Host]:
    """Returns the hosts that a policy allows, or all where there is none."""
    if not board.queue_of(job).needs_advice:
        return hosts
    return [
        host
        for host in hosts
        if board.advice.ticket(key, host.info.id, board.now_ms) is not None
    ]


def _ask(board: SchedulerState, job: Job, key: StepKey, hosts: list[Host]) -> None:
    """Asks for more hosts where a policy chooses them."""
    if board.queue_of(job).needs_advice:
        question = board.advice.question(key, hosts, board.now_ms)
        if question is not None:
            board.questions.append(question)


def _by_rank(board: SchedulerState) -> list[Job]:
    """Returns the jobs, those beyond their team's share last within a priority."""

    def place(job: Job) -> tuple[int, bool, int, float, str]:
        found = rank(job, board.queue_of(job), board.wall_ms)
        is_excess = job.spec.id in board.shares.excess
        return found.priority, is_excess, found.outlook, found.slack_ms, job.spec.id

    jobs = (job for job in board.active.values() if not job.state.is_final)
    return sorted(jobs, key=place)


def _largest_room(hosts: list[Host]) -> Resources:
    if not hosts:
        return NO_ROOM
    rooms = [host.free for host in hosts]
    return Resources(*(max(amounts) for amounts in zip(*rooms, strict=True)))


def _waiting_steps(
    board: SchedulerState, job: Job
) -> Iterator[tuple[StepKey, StepSpec, list[int]]]:
    """Yields open steps and the indices of their tasks that may start now."""
    for occurrence, number in job.open_steps(board.wall_ms):
        step = job.spec.steps[number]
        tasks = job.tasks(occurrence, number)
        waiting = [
            index
            for index, task in enumerate(tasks)
            if task.not_before_ms <= board.now_ms
            and (task.is_waiting or (step.allows_copies and _wants_copy(board, task)))
        ]
        if not waiting or (step.is_gang and len(waiting) < len(tasks)):
            continue
        yield StepKey(job.spec.id, occurrence, number), step, waiting


def _wants_copy(board: SchedulerState, task: Task) -> bool:
    """Returns whether a task whose only run is on a silent host may run elsewhere."""
    if task.is_done or len(task.runs) != 1:
        return False
    host = board.hosts.get(task.runs[0].host)
    return host is None or host.is_silent


def _start(
    board: SchedulerState, job: Job, key: StepKey, choices: list[Choice]
) -> None:
    tasks = job.tasks(key.occurrence, key.step)
    is_gang = job.spec.steps[key.step].is_gang
    gang_run = max((task.last_run for task in tasks), default=0) + 1
    for task_number, host in choices:
        task = tasks[task_number]
        number = gang_run if is_gang else task.last_run + 1
        name = TaskName(*key, task_number)
        run = board.place(job, name, host, number)
        ticket = board.advice.ticket(key, host.info.id, board.now_ms) or ""
        board.gated.append(
            StartRun(
                host.info.id,
                run.host_born,
                name,
                run.number,
                job.spec.payload,
                task.checkpoint,
                ticket,
            )
        )
