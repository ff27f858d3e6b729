"""Counters of the request desk for metrics and reports."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from .model import NotRunReason, UnknownReason


@dataclass(slots=True)
class DispatcherCounters:
    """Totals since the start.

    Attributes:
        accepted: Requests that were submitted and not joined to another.
        joined: Submissions of an id that was already in flight.
        answered: Requests that ended with an answer.
        not_run: Requests that ended as not run, by reason.
        unknown: Requests that ended as unknown, by reason.
        started: Attempts sent.
        retries: Attempts after one that may have run.
        moves: Attempts after one that certainly did not run.
        refused_full: Refusals by hosts whose slots were taken.
        refused_leaving: Refusals by hosts that are leaving.
        checkpoints: Tasks asked to make room for urgent work.
        orphans: Attempts abandoned while their task may still run.
        lapses: Orphans freed because their lease lapsed for sure.
        late_results: Results that came after their attempt was abandoned.
        bad_jobs: Requests that failed on several distinct hosts.
        retries_denied: Retries that the budget did not allow.
    """

    accepted: int = 0
    joined: int = 0
    answered: int = 0
    not_run: Counter[NotRunReason] = field(default_factory=Counter)
    unknown: Counter[UnknownReason] = field(default_factory=Counter)
    started: int = 0
    retries: int = 0
    moves: int = 0
    refused_full: int = 0
    refused_leaving: int = 0
    checkpoints: int = 0
    orphans: int = 0
    lease_expiries: int = 0
    late_results: int = 0
    bad_jobs: int = 0
    retries_denied: int = 0
