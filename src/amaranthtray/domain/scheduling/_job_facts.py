"""What a plan needs to know of a job, kept until the job or the time changes it.

The load that this addresses: hundreds of waiting jobs in every plan, of which only a
few had an event since the last one.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..jobs.model import NO_RESOURCES, Resources
from ._evacuation import stays_in_zone
from ._waiting import Waiting, waiting_steps
from .ranking import RankTerms, rank_terms
from .run_times import ExpectedJob

if TYPE_CHECKING:
    from ..jobs.job import Job
    from ._state import SchedulerState


@dataclass(slots=True)
class JobFacts:
    """Facts on a job since its last event, or the last change of the configuration.

    Attributes:
        terms: Terms of its rank; None if they are not known.
        expected: Learned run times on which the terms are based; None if only
            declared ones count.
        waiting: Tasks that may start; None if they are not known.
        wanted: Need of its runs and of its tasks that may start; None if it is not
            known.
    """

    terms: RankTerms | None = None
    expected: ExpectedJob | None = None
    waiting: Waiting | None = None
    wanted: Resources | None = None


def terms_of(state: SchedulerState, job: Job, facts: JobFacts) -> RankTerms:
    """Returns the terms of a job's rank by the expected run times."""
    terms = facts.terms
    if terms is not None and not state.run_times.is_learning:
        return terms
    run_times = state.run_times if state.run_times.is_learning else None
    expected = run_times.of_job(job.spec) if run_times is not None else None
    if terms is None or facts.expected is not expected:
        terms = facts.terms = rank_terms(job, state.queue_of(job), run_times)
        facts.expected = expected
    return terms


def waiting_of(state: SchedulerState, job: Job) -> Waiting:
    """Returns the tasks of a job that may start now."""
    facts = state.facts.get(job.spec.id) or facts_of(state, job)
    if facts.waiting is None or state.now_ms >= facts.waiting.until_ms:
        facts.waiting = waiting_steps(state, job)
    return facts.waiting


def wanted_by(state: SchedulerState, job: Job, facts: JobFacts) -> Resources:
    """Returns the need of a job's runs and of its tasks that may start now."""
    if state.evacuation.zones:
        return _running_need(state, job).plus(_waiting_need(state, job))
    if facts.wanted is None or job.spec.recurrence:
        facts.wanted = job.running_need().plus(_waiting_need(state, job))
    return facts.wanted


def facts_of(state: SchedulerState, job: Job) -> JobFacts:
    """Returns what is known of a job."""
    facts = state.facts.get(job.spec.id)
    if facts is None:
        facts = state.facts[job.spec.id] = JobFacts()
    return facts


def _running_need(state: SchedulerState, job: Job) -> Resources:
    """Returns the total need of a job's runs, without those left in their zone."""
    need = NO_RESOURCES
    for name, _ in job.runs():
        if not stays_in_zone(state, job, name):
            need = need.plus(job.spec.steps[name.step].reserved)
    return need


def _waiting_need(state: SchedulerState, job: Job) -> Resources:
    """Returns the total need of a job's tasks that may start now."""
    need = NO_RESOURCES
    if job.spec.id in state.settled:
        return need
    startable = job.count_startable()
    for occurrence, number in job.open_steps(state.wall_ms):
        tasks = job.tasks(occurrence, number)
        waiting = sum([task.is_waiting for task in tasks])
        fresh = sum([not task.last_run for task in tasks])
        waiting -= max(fresh - startable, 0)
        startable = max(startable - fresh, 0)
        need = need.plus(job.spec.steps[number].reserved.times(waiting))
    return need
