"""Meters new jobs against their teams' shares, over all pools if that is enabled."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .caps import ClaimFailed, PortionsRead
from .share_portions import ShareRowsRead

if TYPE_CHECKING:
    from ..jobs.job import Job
    from ._state import SchedulerState
    from .messages import Effect


def apply_portions(
    state: SchedulerState, message: PortionsRead | ClaimFailed | ShareRowsRead
) -> None:
    """Applies rows that were read: portions of a cap, or rates of teams."""
    match message:
        case PortionsRead() | ClaimFailed():
            state.caps.apply_reply(message)
        case ShareRowsRead():
            state.share_portions.apply_rows(message, state.now_ms)


def meter_new_job(state: SchedulerState, job: Job) -> None:
    """Marks a new job as excess if it is beyond its team's share; counts it."""
    spec, policy, portion = job.spec, state.policy, None
    if policy.share_over_pools:
        portion = state.share_portions.record_submission(
            spec, state.catalog, state.now_ms, state.wall_ms
        )
    if not state.forecaster.marks_excess(state, spec):
        state.shares.record_submission(spec, state.catalog, state.now_ms, portion)
    if policy.refuse_late_jobs:
        priority = state.queue_of(job).priority
        is_excess = spec.id in state.shares.excess
        state.forecaster.record_job(job, priority, is_excess=is_excess)


def review_shares(state: SchedulerState) -> list[Effect]:
    """Returns claims of portions, and reports of portions and of the worst teams."""
    if not state.policy.share_over_pools:
        return []
    return [
        *state.share_portions.review(state.catalog, state.now_ms, state.wall_ms),
        *state.team_service.report(state.now_ms),
    ]
