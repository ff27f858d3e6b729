"""Settings of the request dispatcher."""

from __future__ import annotations

from dataclasses import dataclass

from .model import WorkClass


@dataclass(frozen=True, slots=True)
class DispatcherSettings:
    """Limits, timeouts and ratios that the request dispatcher applies.

    Attributes:
        urgent_max_wait_ms: Longest implied wait at which urgent requests are accepted.
        patient_max_wait_ms: The same for patient requests.
        max_waiting: Maximum number of requests in one wait queue.
        first_urgent_service_ms: Slot time assumed before any urgent task was measured.
        first_patient_service_ms: The same for patient tasks.
        urgent_attempt_ms: Timeout of one attempt of a repeatable urgent request.
        patient_attempt_ms: The same for patient requests.
        send_within_ms: Time within which a started attempt must be sent.
        max_retries: Maximum retries of a request after attempts that may have run.
        max_moves: Maximum moves of a request to another host after attempts that
            failed before anything was sent.
        retry_ratio: Retries that each first attempt adds to the pool's retry budget.
        retry_burst: Maximum number of retries in the budget.
        retry_trickle_per_s: Retries added to the budget per second.
        backoff_first_ms: Longest pause before the first retry.
        backoff_cap_ms: Longest pause before any retry.
        bad_job_hosts: Number of distinct hosts on which a request fails before the
            request itself is considered faulty.
        hang_factor: Multiple of the mean slot time from which a timed-out attempt
            counts as a failure of its host.
        reserve_share: Share of a pool's slots that patient requests leave free.
        fixed_patient_share: Share of the entry's fair slots that patient tasks which
            cannot be checkpointed may hold.
        checkpoints_patient: Whether urgent requests may preempt patient tasks.
        burst_hold_ms: Time for which no patient task starts after urgent requests
            had to queue; 0 disables the hold.
        checkpoint_timeout_ms: Time to wait for a checkpoint before another task is
            preempted instead.
        max_checkpoints: Maximum number of preemptions of one request.
        limit_recheck_ms: Pause before a team that reached its limit is tried again.
        least_time_share: Share of the mean slot time that must be left before the
            deadline to start a request that waited. It is below 1 because the
            median of lognormal times is below their mean.
        crowded_time_share: The same while more requests of the team wait behind it:
            they have more time left and make better use of the slot.
        retry_after_floor_ms: Shortest delay suggested to a refused caller.
        no_host_retry_ms: Delay suggested when a pool has no usable host.
    """

    urgent_max_wait_ms: int = 400
    patient_max_wait_ms: int = 3_600_000
    max_waiting: int = 20_000
    first_urgent_service_ms: int = 250
    first_patient_service_ms: int = 5_000
    urgent_attempt_ms: int = 30_000
    patient_attempt_ms: int = 14_400_000
    send_within_ms: int = 500
    max_retries: int = 3
    max_moves: int = 8
    retry_ratio: float = 0.1
    retry_burst: float = 10.0
    retry_trickle_per_s: float = 0.2
    backoff_first_ms: int = 100
    backoff_cap_ms: int = 3_000
    bad_job_hosts: int = 3
    hang_factor: float = 5.0
    reserve_share: float = 0.0
    fixed_patient_share: float = 0.25
    checkpoints_patient: bool = True
    burst_hold_ms: int = 500
    checkpoint_timeout_ms: int = 1_000
    max_checkpoints: int = 16
    limit_recheck_ms: int = 50
    least_time_share: float = 0.6
    crowded_time_share: float = 1.2
    retry_after_floor_ms: int = 100
    no_host_retry_ms: int = 1_000

    def max_wait_ms(self, work_class: WorkClass) -> int:
        """Returns the longest implied wait at which a class is accepted."""
        if work_class is WorkClass.URGENT:
            return self.urgent_max_wait_ms
        return self.patient_max_wait_ms

    def attempt_ms(self, work_class: WorkClass) -> int:
        """Returns the timeout of one attempt of a repeatable request."""
        if work_class is WorkClass.URGENT:
            return self.urgent_attempt_ms
        return self.patient_attempt_ms

    def first_service_ms(self, work_class: WorkClass) -> int:
        """Returns the slot time assumed before any task of the class was measured."""
        if work_class is WorkClass.URGENT:
            return self.first_urgent_service_ms
        return self.first_patient_service_ms
