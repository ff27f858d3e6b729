"""Counters of the request dispatcher for metrics and reports."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from .model import NotRunReason, UnknownReason


@dataclass(slots=True)
class DispatcherCounters:
    """Totals since the dispatcher was created.

    Attributes:
        accepted: Submissions that did not join a request in flight.
        joined: Submissions of an id that was already in flight.
        answered: Requests that ended with an answer.
        not_run: Requests that ended as not run, by reason.
        unknown: Requests that ended as unknown, by reason.
        started: Attempts started.
        retries: Retries scheduled after an attempt that may have run.
        moves: Moves to another host after an attempt that certainly did not run.
        refused_full: Refusals by hosts without a free slot.
        refused_leaving: Refusals by hosts that are leaving.
        checkpoints: Checkpoints requested to free slots for urgent requests.
        orphans: Attempts abandoned while their task may still run.
        lease_expiries: Orphans whose slot was freed because their lease had
            certainly expired.
        late_results: Results that arrived after their attempt was abandoned.
        bad_jobs: Requests that ended as faulty after failing on several hosts.
        retries_denied: Retries that the retry budget did not allow.
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
