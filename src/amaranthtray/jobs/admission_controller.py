"""Refuses submissions that their pool can't serve, if they certainly are not stored."""

from __future__ import annotations

import threading
from collections import defaultdict
from typing import TYPE_CHECKING

from returns.result import Success

from ..domain.jobs.admission import Refuse, decide
from ..domain.jobs.returning import ReturningCallers
from . import keys
from .clock import steady_ms

if TYPE_CHECKING:
    from ..domain.ids import PoolName
    from ..domain.jobs.catalog import JobQueue
    from ..domain.jobs.model import JobSpec
    from .context import JobEntryContext
    from .forecast_follower import ForecastFollower
    from .job_locator import JobLocator
    from .unsettled_submissions import UnsettledSubmissions


class AdmissionController:
    """Decides on submissions; thread-safe.

    Args:
        context: Objects that all tasks of the entry share.
        forecasts: Forecasts of the pools.
        unsettled: Jobs that this entry may have written.
        locator: Finds jobs that are stored.
    """

    def __init__(
        self,
        context: JobEntryContext,
        forecasts: ForecastFollower,
        unsettled: UnsettledSubmissions,
        locator: JobLocator,
    ) -> None:
        self._context = context
        self._locator = locator
        self._forecasts = forecasts
        self._unsettled = unsettled
        self._lock = threading.Lock()
        self._returning: dict[PoolName, ReturningCallers] = defaultdict(
            ReturningCallers
        )

    def refusal(self, spec: JobSpec, queue: JobQueue) -> Refuse | None:
        """Returns why a job is refused; None if it is to be stored.

        A job is refused only if the store shows that it is not stored, and no write
        of it was in flight here from before that read until after it.
        """
        if not self._context.settings.scheduling.refuse_late_jobs:
            return None
        forecast, now_ms = self._forecasts.forecast(queue.pool), steady_ms()
        with self._lock:
            returning_ms = self._returning[queue.pool].work_ms(now_ms)
        decision = decide(spec, queue, forecast, returning_ms)
        if not isinstance(decision, Refuse) or not self._is_absent(spec, queue.pool):
            return None
        with self._lock:
            due_ms = now_ms + decision.return_s * 1_000
            self._returning[queue.pool].add(due_ms, decision.work_ms)
        metrics = self._context.metrics
        metrics.count("submissions_refused", decision.why)
        late_ms = max(decision.expected_ms - decision.limit_ms, 0)
        metrics.record_latency("expected_lateness", decision.why, late_ms)
        metrics.record_latency("retry_after", decision.why, decision.return_s * 1_000)
        self._log(spec, decision)
        return decision

    def _is_absent(self, spec: JobSpec, pool: PoolName) -> bool:
        """Returns whether a job is certainly neither stored nor in flight here."""
        key = keys.location_key(spec.id)
        check = self._unsettled.begin_check(key, steady_ms())
        is_absent = False
        try:
            if not check.may_be_written:
                found = self._locator.find(spec.id, pool)
                is_absent = isinstance(found, Success) and found.unwrap() is None
        finally:
            may_be_written = self._unsettled.end_check(check, steady_ms())
        return is_absent and not may_be_written

    def _log(self, spec: JobSpec, refused: Refuse) -> None:
        self._context.log.event(
            "submit",
            job=spec.id,
            queue=spec.queue,
            team=spec.team,
            outcome="refused",
            why=refused.why,
            expected_ms=refused.expected_ms,
            limit_ms=refused.limit_ms,
            forecast_age_ms=refused.age_ms,
            retry_after_s=refused.return_s,
        )
