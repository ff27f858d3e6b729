"""Bounds of the request desk."""

from __future__ import annotations

from dataclasses import dataclass

from .model import WorkClass


@dataclass(frozen=True, slots=True)
class DispatcherSettings:
    """Every bound that the request desk applies.

    Attributes:
        urgent_max_wait_ms: Longest implied wait at which urgent work is accepted.
        patient_max_wait_ms: The same for patient work.
        max_waiting: Most requests that wait in one line.
        first_urgent_service_ms: Slot time assumed before urgent work was measured.
        first_patient_service_ms: The same for patient work.
        urgent_attempt_ms: Longest time of one attempt of repeatable urgent work.
        patient_attempt_ms: The same for patient work.
        send_within_ms: Time after which a decided attempt must not be sent any more.
        max_retries: Retries of one request after attempts that may have run.
        max_moves: Moves of one request after connections that failed unsent.
        retry_ratio: Retries that a pool may make per fresh attempt.
        retry_burst: Retries that a pool may save up.
        retry_trickle_per_s: Retries that a quiet pool gains per second.
        backoff_first_ms: Longest pause before the first retry.
        backoff_cap_ms: Longest pause before any retry.
        bad_job_hosts: Distinct hosts on which a job fails before it is held bad.
        hang_factor: Mean slot times after which a time-out is the host's failure.
        reserve_share: Part of a pool's slots that patient work leaves free.
        fixed_patient_share: Part of the slots that patient work may hold that
            cannot be checkpointed.
        checkpoints_patient: Whether patient work makes room for urgent work.
        burst_hold_ms: Time after urgent work queued for which patient work does
            not start; 0 lets it start at once.
        checkpoint_timeout_ms: Time after which another task is asked to make room.
        max_checkpoints: Times that one request makes room.
        limit_recheck_ms: Pause before a team that reached its limit is tried again.
        least_time_share: Part of the mean slot time that must be left to start a
            request that waited; the median of lognormal times is below the mean.
        crowded_time_share: The same while others of its team wait behind it: they
            have more time left, and the slot is better used by one of them.
        retry_after_floor_ms: Shortest advice to come back.
        no_host_retry_ms: Advice to come back when a pool has no usable host.
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
        """Returns the longest implied wait accepted for a class."""
        if work_class is WorkClass.URGENT:
            return self.urgent_max_wait_ms
        return self.patient_max_wait_ms

    def attempt_ms(self, work_class: WorkClass) -> int:
        """Returns the longest time of one attempt of repeatable work."""
        if work_class is WorkClass.URGENT:
            return self.urgent_attempt_ms
        return self.patient_attempt_ms

    def first_service_ms(self, work_class: WorkClass) -> int:
        """Returns the slot time assumed before any was measured."""
        if work_class is WorkClass.URGENT:
            return self.first_urgent_service_ms
        return self.first_patient_service_ms
