"""Optional decisions of a pool's scheduler."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class SchedulingPolicy:
    """Optional decisions; without them, only what callers declare counts.

    Attributes:
        learn_run_times: Whether run times are learned from the runs that ended.
        refuse_late_jobs: Whether the pool's forecast lets entries refuse jobs that
            can't end early enough.
        look_ahead: Whether placement reserves hosts for tasks that wait for room.
        share_over_pools: Whether a team's share is counted over all pools.
    """

    learn_run_times: bool = False
    refuse_late_jobs: bool = False
    look_ahead: bool = False
    share_over_pools: bool = False
