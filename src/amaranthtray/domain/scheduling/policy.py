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
        weigh_remote_hosts: Whether a task waits for the busy rack of its data if it
            ends sooner so than by starting in another rack at once.
        remote_factor: Run time of a task in another rack than that of its data, as a
            multiple of its run time there; at least 1.
    """

    learn_run_times: bool = False
    refuse_late_jobs: bool = False
    look_ahead: bool = False
    share_over_pools: bool = False
    weigh_remote_hosts: bool = False
    remote_factor: float = 2.0
