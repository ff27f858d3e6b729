"""Burn rates of error budgets, from the merged counts of all entries."""

from __future__ import annotations

import math
from collections import defaultdict
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

from .counts import WINDOWS, Counts

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..domain.configuration import Queue
    from ..domain.ids import EntryId, QueueName
    from .counts import BurnSnapshot, Series

FIVE_MINUTES, ONE_HOUR, SIX_HOURS, THREE_DAYS = range(len(WINDOWS))

NO_COUNTS = tuple(Counts() for _ in WINDOWS)


class Severity(StrEnum):
    """Urgency with which operators should react to a burn rate."""

    PAGE = "page"
    TICKET = "ticket"
    OK = "ok"
    NO_DATA = "no data"


class _AlertRule(msgspec.Struct, frozen=True):
    """Gives ``severity`` if both windows burn at least at ``rate``.

    Attributes:
        long: Index of the long window in ``WINDOWS``.
        short: Index of the short window in ``WINDOWS``.
        rate: Minimum burn rate.
        severity: Severity of the alert.
    """

    long: int
    short: int
    rate: float
    severity: Severity


ALERT_RULES = (
    _AlertRule(ONE_HOUR, FIVE_MINUTES, 14.4, Severity.PAGE),
    _AlertRule(SIX_HOURS, ONE_HOUR, 6.0, Severity.PAGE),
    _AlertRule(THREE_DAYS, SIX_HOURS, 1.0, Severity.TICKET),
)
"""Multi-window rules for a 30-day budget, most severe first.

The short window ends an alert soon after the burn has stopped.
"""


class BurnRow(msgspec.Struct, frozen=True):
    """Burn of a service, or of one team at a service.

    Attributes:
        queue: Queue that is the service.
        team: The team, or None for all teams.
        target: Objective of the service, or None if it is no longer configured.
        counts: Requests in each window.
        rates: Burn rate in each window; 1 uses up the budget exactly; None without
            requests or objective.
        budget_left: Remaining part of the longest window's budget, negative if
            overspent; covers only the counts held, which may reach back less far.
        severity: Severity by the alert rules.
    """

    queue: str
    team: str | None
    target: float | None
    counts: tuple[Counts, ...]
    rates: tuple[float | None, ...]
    budget_left: float | None
    severity: Severity


class Coverage(msgspec.Struct, frozen=True):
    """How far back the counts of a window reach.

    Attributes:
        window: Name of the window.
        length_ms: Nominal length of the window.
        shortest_ms: How far back the newest entry's counts reach; 0 without entries.
        partial: Entries whose counts do not cover the whole window.
    """

    window: str
    length_ms: int
    shortest_ms: int
    partial: tuple[str, ...]


class BurnReport(msgspec.Struct, frozen=True):
    """The merged report.

    Attributes:
        services: A row for each service.
        teams: A row for each service and team.
        coverage: Coverage of each window.
        answered: Entries whose counts are included.
        unanswered: Entries that did not answer, with the cause.
    """

    services: tuple[BurnRow, ...]
    teams: tuple[BurnRow, ...]
    coverage: tuple[Coverage, ...]
    answered: tuple[str, ...]
    unanswered: dict[str, str]

    @property
    def is_complete(self) -> bool:
        """Returns whether all entries answered and their counts cover all windows."""
        return not self.unanswered and not any(item.partial for item in self.coverage)


def merge(
    snapshots: Iterable[BurnSnapshot],
    queues: Mapping[QueueName, Queue],
    *,
    unanswered: Mapping[EntryId, str] | None = None,
) -> BurnReport:
    """Merges the counts of several entries.

    Only the latest snapshot of an incarnation counts, so snapshots that are
    received twice are not counted twice.

    Args:
        snapshots: Snapshots from the entries, in any order.
        queues: Configured queues, with their objectives.
        unanswered: Entries that did not answer, with the cause.
    """
    latest = _latest_snapshots(snapshots)
    by_queue: dict[str, tuple[Counts, ...]] = dict.fromkeys(queues, NO_COUNTS)
    by_pair: dict[tuple[str, str], tuple[Counts, ...]] = defaultdict(lambda: NO_COUNTS)
    for series in _iter_series(latest):
        pair = (series.queue, series.team)
        by_pair[pair] = _add_counts(by_pair[pair], series.counts)
        total = by_queue.get(series.queue, NO_COUNTS)
        by_queue[series.queue] = _add_counts(total, series.counts)
    targets = {str(name): queue.objective.target for name, queue in queues.items()}
    return BurnReport(
        services=tuple(
            _row(queue, None, targets.get(queue), counts)
            for queue, counts in sorted(by_queue.items())
        ),
        teams=tuple(
            _row(queue, team, targets.get(queue), counts)
            for (queue, team), counts in sorted(by_pair.items())
        ),
        coverage=_coverage(latest),
        answered=tuple(sorted({snapshot.entry for snapshot in latest})),
        unanswered={str(name): why for name, why in (unanswered or {}).items()},
    )


def burn_rate(counts: Counts, target: float) -> float | None:
    """Returns the ratio of the failure rate to the failure rate that is allowed.

    Args:
        counts: Requests in one window.
        target: Objective, from 0 to 1; at 1 a single bad request gives infinity.
    """
    total = counts.good + counts.bad
    if total == 0:
        return None
    bad_part = counts.bad / total
    allowed = 1 - target
    if allowed <= 0:
        return math.inf if counts.bad else 0.0
    return bad_part / allowed


def severity(rates: tuple[float | None, ...]) -> Severity:
    """Returns the severity of the first alert rule that applies.

    Args:
        rates: Burn rate in each window.
    """
    if all(rate is None for rate in rates):
        return Severity.NO_DATA
    for rule in ALERT_RULES:
        long, short = rates[rule.long], rates[rule.short]
        if long is not None and short is not None and min(long, short) >= rule.rate:
            return rule.severity
    return Severity.OK


def _latest_snapshots(snapshots: Iterable[BurnSnapshot]) -> list[BurnSnapshot]:
    latest: dict[tuple[str, str], BurnSnapshot] = {}
    for snapshot in snapshots:
        key = (snapshot.entry, snapshot.incarnation)
        previous = latest.get(key)
        if previous is None or previous.held_ms < snapshot.held_ms:
            latest[key] = snapshot
    return list(latest.values())


def _iter_series(snapshots: Iterable[BurnSnapshot]) -> Iterable[Series]:
    return (series for snapshot in snapshots for series in snapshot.series)


def _add_counts(
    left: tuple[Counts, ...], right: tuple[Counts, ...]
) -> tuple[Counts, ...]:
    return tuple(
        Counts(a.good + b.good, a.bad + b.bad) for a, b in zip(left, right, strict=True)
    )


def _row(
    queue: str, team: str | None, target: float | None, counts: tuple[Counts, ...]
) -> BurnRow:
    rates: tuple[float | None, ...] = (None,) * len(counts)
    if target is not None:
        rates = tuple(burn_rate(item, target) for item in counts)
    longest = rates[THREE_DAYS]
    budget_left = None if longest is None else 1 - longest
    return BurnRow(queue, team, target, counts, rates, budget_left, severity(rates))


def _coverage(snapshots: list[BurnSnapshot]) -> tuple[Coverage, ...]:
    shortest = min((snapshot.held_ms for snapshot in snapshots), default=0)
    return tuple(
        Coverage(
            window.name,
            window.length_ms,
            min(shortest, window.length_ms),
            tuple(
                sorted(
                    {
                        snapshot.entry
                        for snapshot in snapshots
                        if snapshot.held_ms < window.length_ms
                    }
                )
            ),
        )
        for window in WINDOWS
    )
