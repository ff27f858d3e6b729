"""Service-level burn: merges entries' counts and compares them with objectives."""

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
    """How fast the error budget burns."""

    PAGE = "page"
    TICKET = "ticket"
    OK = "ok"
    NO_DATA = "no data"


class _Rule(msgspec.Struct, frozen=True):
    """Both windows must burn at least at ``rate`` for ``severity``."""

    long: int
    short: int
    rate: float
    severity: Severity


RULES = (
    _Rule(ONE_HOUR, FIVE_MINUTES, 14.4, Severity.PAGE),
    _Rule(SIX_HOURS, ONE_HOUR, 6.0, Severity.PAGE),
    _Rule(THREE_DAYS, SIX_HOURS, 1.0, Severity.TICKET),
)
"""Multi-window rules for a budget of 30 days; the short window ends an alarm."""


class BurnRow(msgspec.Struct, frozen=True):
    """Burn of one service, or of one team at one service.

    Attributes:
        queue: The service.
        team: The team, or none for all teams.
        target: Objective of the service, or none if it is configured no more.
        counts: Requests, one item for each window.
        rates: Burn rate of each window; 1 uses up the budget exactly; none where
            there were no requests or no objective.
        budget_left: Part of the longest window's budget that is left, negative if
            overspent; of what is held, which may reach back less far.
        severity: What the rules say.
    """

    queue: str
    team: str | None
    target: float | None
    counts: tuple[Counts, ...]
    rates: tuple[float | None, ...]
    budget_left: float | None
    severity: Severity


class Coverage(msgspec.Struct, frozen=True):
    """How far back one window really reaches.

    Attributes:
        window: Name of the window.
        length_ms: Its whole length.
        shortest_ms: How far back the youngest entry's counts reach, 0 if none.
        partial: Entries whose counts do not reach back for the whole window.
    """

    window: str
    length_ms: int
    shortest_ms: int
    partial: tuple[str, ...]


class BurnReport(msgspec.Struct, frozen=True):
    """The merged report.

    Attributes:
        services: One row for each service.
        teams: One row for each service and team.
        coverage: One item for each window.
        answered: Entries whose counts are in the report.
        unanswered: Entries that did not answer, with the cause.
    """

    services: tuple[BurnRow, ...]
    teams: tuple[BurnRow, ...]
    coverage: tuple[Coverage, ...]
    answered: tuple[str, ...]
    unanswered: dict[str, str]

    @property
    def is_whole(self) -> bool:
        """Returns whether every entry answered and reaches back far enough."""
        return not self.unanswered and not any(item.partial for item in self.coverage)


def merge(
    snapshots: Iterable[BurnSnapshot],
    queues: Mapping[QueueName, Queue],
    *,
    unanswered: Mapping[EntryId, str] | None = None,
) -> BurnReport:
    """Merges the counts of several entries.

    A snapshot that was received twice counts once: of one incarnation the latest
    is taken.

    Args:
        snapshots: What the entries sent, in any order.
        queues: Configured queues and their objectives.
        unanswered: Entries that did not answer, with the cause.
    """
    latest = _latest(snapshots)
    by_queue: dict[str, tuple[Counts, ...]] = dict.fromkeys(queues, NO_COUNTS)
    by_pair: dict[tuple[str, str], tuple[Counts, ...]] = defaultdict(lambda: NO_COUNTS)
    for series in _all_series(latest):
        pair = (series.queue, series.team)
        by_pair[pair] = _add(by_pair[pair], series.counts)
        held = by_queue.get(series.queue, NO_COUNTS)
        by_queue[series.queue] = _add(held, series.counts)
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
    """Returns how many times faster than allowed requests fail.

    Args:
        counts: Requests of one window.
        target: Objective, 0 to 1; with 1 any bad request burns infinitely fast.
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
    """Returns the gravest rule that holds."""
    if all(rate is None for rate in rates):
        return Severity.NO_DATA
    for rule in RULES:
        long, short = rates[rule.long], rates[rule.short]
        if long is not None and short is not None and min(long, short) >= rule.rate:
            return rule.severity
    return Severity.OK


def _latest(snapshots: Iterable[BurnSnapshot]) -> list[BurnSnapshot]:
    latest: dict[tuple[str, str], BurnSnapshot] = {}
    for snapshot in snapshots:
        run = (snapshot.entry, snapshot.incarnation)
        held = latest.get(run)
        if held is None or held.held_ms < snapshot.held_ms:
            latest[run] = snapshot
    return list(latest.values())


def _all_series(snapshots: Iterable[BurnSnapshot]) -> Iterable[Series]:
    return (series for snapshot in snapshots for series in snapshot.series)


def _add(left: tuple[Counts, ...], right: tuple[Counts, ...]) -> tuple[Counts, ...]:
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
