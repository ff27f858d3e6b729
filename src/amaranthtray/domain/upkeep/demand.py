"""Learns when the peaks of a pool's need start, and expects the next one.

Load that it addresses: pools have peaks of some seconds in turn, each with several
times the need that the pool's machines serve. A machine that is ordered once the need
has grown arrives after the first seconds of the peak.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from itertools import pairwise
from statistics import median
from typing import TYPE_CHECKING, NamedTuple

from ..jobs.model import NO_RESOURCES, Resources
from .trend import SlidingMaximum

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

MAX_PEAKS = 8
"""Most peaks that are remembered."""

MIN_PEAKS = 3
"""Fewest peaks that show a period."""

MAX_DEVIATION = 0.1
"""Largest deviation of an interval from the median, as a part of the median."""

PEAK_MS = 2_000
"""First part of a peak, whose largest need is learned; machines that are ordered at
its start arrive within it."""

MISS_MS = 1_000
"""Delay beyond the uncertainty after which an expected peak is missed."""

MAX_MISSES = 2
"""Consecutive misses that refute a period."""

GAP_MS = 1_000
"""Longest time between two reports of a need that are compared with each other."""

FALL_MS = 1_000
"""Time for which the need must be low before another peak can start; the need of a
full pool varies, as jobs turn late and others end."""

FALL_SHARE = 0.25
"""A need below this part of the way from the low to the high level is low."""

MAX_AGE_MS = 600_000
"""Age after which a peak is forgotten."""

LONGEST_PERIOD_MS = MAX_AGE_MS // (MIN_PEAKS - 1)
"""Longest period that can be learned before its first peak is forgotten."""

MIN_PEAK_RATIO = 2
"""Fewest times the low level that a peak has; headroom and trend cover less."""

MIN_PEAK_HOSTS = 2
"""A need of fewer hosts is met by the minimum size of a pool."""


class Peak(NamedTuple):
    """A peak of a pool's need.

    Attributes:
        start_ms: Time at which it started, on the clock of the reader.
        need: Largest need of its first part.
        follows_break: Whether the time since the last recorded peak is no interval,
            as a peak was missed or may not have been seen in between.
    """

    start_ms: int
    need: Resources
    follows_break: bool = False


@dataclass(frozen=True, slots=True)
class ExpectedPeak:
    """A peak that the history of a pool lets expect.

    Attributes:
        start_ms: Steady-clock time of its expected start.
        period_ms: Median of the intervals between recorded starts.
        uncertainty_ms: Largest deviation of an interval from the median.
        need: Expected need.
        starts: Number of recorded starts.
        until_ms: Last time at which it is expected; once it has started, the end of
            its first part.
    """

    start_ms: int
    period_ms: int
    uncertainty_ms: int
    need: Resources
    starts: int
    until_ms: int


@dataclass(frozen=True, slots=True)
class PeakOutcome:
    """An expected peak has started, or was missed.

    Attributes:
        peak: The expected peak.
        late_ms: Time from its expected start until now.
        misses: Number of consecutive misses; 0 if it has started.
        is_discarded: Whether the pool's evidence was discarded.
    """

    peak: ExpectedPeak
    late_ms: int
    misses: int = 0
    is_discarded: bool = False


def hosts_for(need: Resources, host: Resources) -> float:
    """Returns how many hosts a need fills; 0 if the size of a host is not known."""
    shares = [amount / each for amount, each in zip(need, host, strict=True) if each]
    return max(shares, default=0.0)


def recent_peaks(peaks: Iterable[Peak], now_ms: int) -> list[Peak]:
    """Returns the last peaks without those that are old or in the future."""
    known = sorted(each for each in peaks if 0 <= now_ms - each.start_ms <= MAX_AGE_MS)
    return known[-MAX_PEAKS:]


class DemandHistory:
    """Peaks of one pool and the next one to expect.

    Attributes:
        host: Resources of one host of the pool, as last reported.

    Args:
        peaks: Recent peaks that an earlier holder recorded, in order of time.
    """

    def __init__(self, peaks: Sequence[Peak] = ()) -> None:
        self.host = NO_RESOURCES
        self._peaks = list(peaks)
        self._expectation: ExpectedPeak | None = None
        self._usual_need = NO_RESOURCES
        self._highest, self._lowest = SlidingMaximum(), SlidingMaximum()
        self._high = self._low = 0.0
        self._last_ms: int | None = None
        self._unseen_until_ms = 0
        self._is_high = False
        self._low_since_ms: int | None = None
        self._samples: list[tuple[int, float]] = []
        self._is_recorded = False
        self._has_break = True
        self._cycles = 1
        self._misses = 0
        self._started: ExpectedPeak | None = None
        self._learn()

    @property
    def peaks(self) -> tuple[Peak, ...]:
        """Returns the recorded peaks in order of time."""
        return tuple(self._peaks)

    def interrupt(self) -> None:
        """Records that the need was not reported for a while."""
        self._last_ms = None

    def record(
        self, need: Resources, host: Resources, now_ms: int
    ) -> PeakOutcome | None:
        """Adds a reported need; returns what became of an expected peak.

        Args:
            need: Present need.
            host: Resources of one host of the pool; none if it has no host now.
            now_ms: Steady-clock time.
        """
        if self._last_ms is None and not any(host):
            # The conductor does not know its hosts, and perhaps its jobs, yet.
            return None
        if any(host):
            self.host = host
        is_after_gap = self._last_ms is None or now_ms - self._last_ms > GAP_MS
        self._last_ms = now_ms
        if self._peaks and now_ms - self._peaks[0].start_ms > MAX_AGE_MS:
            self._peaks = recent_peaks(self._peaks, now_ms)
            self._learn()
        level = hosts_for(need, self.host)
        self._record_levels(level, now_ms)
        rise, fall = self._thresholds()
        if is_after_gap:
            self._resume(level, rise, fall, now_ms)
        missed = self._check_miss(now_ms)
        is_rise = level > rise and not is_after_gap
        if is_rise and (not self._is_high or self._was_no_peak(level)):
            return self._start_peak(need, level, now_ms) or missed
        self._follow_peak(need, level, now_ms)
        self._follow_fall(level, fall, now_ms)
        return missed

    def expected(self, now_ms: int) -> ExpectedPeak | None:
        """Returns the next peak, or the one that has just started as expected.

        Returns None without evidence of a period: fewer than three recorded starts
        or two intervals, or an interval that deviates too much from the median.

        Args:
            now_ms: Steady-clock time.
        """
        if self._started is not None and now_ms < self._started.until_ms:
            return self._started
        peak = self._expectation
        return peak if peak is not None and now_ms <= peak.until_ms else None

    def _record_levels(self, level: float, now_ms: int) -> None:
        """Updates the low level of the last period, and the highest level."""
        peak, window_ms = self._expectation, LONGEST_PERIOD_MS
        if peak is not None:
            window_ms = peak.period_ms + peak.uncertainty_ms + MISS_MS
        self._low = -self._lowest.record(-level, now_ms, window_ms)
        self._high = self._highest.record(level, now_ms, LONGEST_PERIOD_MS)

    def _thresholds(self) -> tuple[float, float]:
        """Returns the levels above which a peak starts and below which it is over.

        The high level is the usual need of the recorded peaks, or the largest one
        while they are few: a single long and high peak must not hide usual ones.
        """
        low, high = self._low, self._high
        if len(self._peaks) >= MIN_PEAKS:
            high = hosts_for(self._usual_need, self.host)
        elif self._peaks:
            high = max(hosts_for(peak.need, self.host) for peak in self._peaks)
        if high < MIN_PEAK_RATIO * low or high <= MIN_PEAK_HOSTS:
            return math.inf, math.inf
        return (low + high) / 2, low + FALL_SHARE * (high - low)

    def _resume(self, level: float, rise: float, fall: float, now_ms: int) -> None:
        """Continues after a gap, in which a peak may have started or ended."""
        if level > rise:
            self._is_high = True
        elif level < fall:
            self._is_high = False
        self._has_break, self._unseen_until_ms = True, now_ms
        self._is_recorded, self._low_since_ms = False, None
        if self._samples:
            self._samples = []
            self._learn()

    def _was_no_peak(self, level: float) -> bool:
        """Returns whether the peak in progress is low beside the present level."""
        if not self._is_recorded or self._samples or not self._peaks:
            return False
        return hosts_for(self._peaks[-1].need, self.host) < FALL_SHARE * level

    def _start_peak(
        self, need: Resources, level: float, now_ms: int
    ) -> PeakOutcome | None:
        peak = self._expectation
        if peak is not None and abs(now_ms - peak.start_ms) > (
            peak.uncertainty_ms + MISS_MS
        ):
            peak = None
        is_skipped = peak is not None and self._misses > 0
        self._peaks.append(Peak(now_ms, need, self._has_break or is_skipped))
        del self._peaks[:-MAX_PEAKS]
        self._is_high, self._is_recorded, self._cycles = True, True, 1
        self._has_break, self._low_since_ms = False, None
        self._samples = [(now_ms, level)]
        self._started = None
        self._learn()
        if peak is None:
            return None
        self._misses = 0
        self._started = replace(peak, until_ms=now_ms + PEAK_MS)
        return PeakOutcome(peak, now_ms - peak.start_ms)

    def _follow_peak(self, need: Resources, level: float, now_ms: int) -> None:
        """Updates the need of a peak during its first part, then checks its start."""
        if not self._samples:
            return
        peak = self._peaks[-1]
        if now_ms - peak.start_ms < PEAK_MS:
            self._samples.append((now_ms, level))
            if level > hosts_for(peak.need, self.host):
                self._peaks[-1] = peak._replace(need=need)
            return
        # Before the first peaks the high level, and so the start, was not known yet.
        rise, _ = self._thresholds()
        start_ms = next((at for at, each in self._samples if each > rise), None)
        if start_ms is not None:
            self._peaks[-1] = peak._replace(start_ms=start_ms)
        self._drop_low_peaks()
        self._samples = []
        self._learn()

    def _drop_low_peaks(self) -> None:
        """Drops earlier peaks that are low beside the others."""
        levels = [hosts_for(peak.need, self.host) for peak in self._peaks]
        lowest = max(FALL_SHARE * max(levels), (self._low + median(levels)) / 2)
        kept: list[Peak] = []
        has_break = False
        for peak, level in zip(self._peaks, levels, strict=True):
            if level < lowest and peak is not self._peaks[-1]:
                has_break = True
                continue
            kept.append(peak._replace(follows_break=peak.follows_break or has_break))
            has_break = False
        self._peaks = kept

    def _follow_fall(self, level: float, fall: float, now_ms: int) -> None:
        if level >= fall:
            self._low_since_ms = None
        elif self._low_since_ms is None:
            self._low_since_ms = now_ms
        elif now_ms - self._low_since_ms >= FALL_MS:
            self._is_high = self._is_recorded = False

    def _check_miss(self, now_ms: int) -> PeakOutcome | None:
        """Goes on to the next peak if the expected one has not started in time."""
        while (peak := self._expectation) is not None and now_ms > peak.until_ms:
            self._cycles += 1
            self._expectation = replace(
                peak,
                start_ms=peak.start_ms + peak.period_ms,
                until_ms=peak.until_ms + peak.period_ms,
            )
            if self._unseen_until_ms >= peak.start_ms - peak.uncertainty_ms:
                # It may have started in a gap.
                self._has_break = True
                continue
            self._misses += 1
            outcome = PeakOutcome(peak, now_ms - peak.start_ms, self._misses)
            if self._misses < MAX_MISSES:
                return outcome
            self._highest, self._lowest = SlidingMaximum(), SlidingMaximum()
            self._peaks, self._samples = [], []
            self._is_recorded, self._misses, self._cycles = False, 0, 1
            self._learn()
            return replace(outcome, is_discarded=True)
        return None

    def _learn(self) -> None:
        """Derives the usual need and the next peak from the recorded ones."""
        complete = self._peaks[:-1] if self._samples else self._peaks
        needs = [each.need for each in complete] or [NO_RESOURCES]
        self._usual_need = Resources(
            *(int(median(amounts)) for amounts in zip(*needs, strict=True))
        )
        self._expectation = None
        intervals = [
            each.start_ms - before.start_ms
            for before, each in pairwise(self._peaks)
            if not each.follows_break
        ]
        if len(intervals) < MIN_PEAKS - 1:
            return
        period_ms = int(median(intervals))
        uncertainty_ms = max(abs(each - period_ms) for each in intervals)
        if uncertainty_ms > MAX_DEVIATION * period_ms or period_ms <= PEAK_MS:
            return
        start_ms = self._peaks[-1].start_ms + self._cycles * period_ms
        until_ms = start_ms + uncertainty_ms + MISS_MS
        self._expectation = ExpectedPeak(
            start_ms,
            period_ms,
            uncertainty_ms,
            self._usual_need,
            len(self._peaks),
            until_ms,
        )
