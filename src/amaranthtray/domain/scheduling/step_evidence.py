"""Evidence on the run time of one step: its ended tasks and its runs' progress."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from ..ids import HostId

if TYPE_CHECKING:
    from ..jobs.task import Run

MIN_PROGRESS_MS = 150
"""Shortest time between two reports from which a rate is derived."""

MIN_PROGRESS_PERCENT = 10
"""Least progress from which a rate is derived: percentages are whole numbers."""


MIN_RATE_CHANGE = 0.05
"""Least change of a rate's logarithm that changes the evidence, as each change makes
the estimate of the whole job be computed again."""


class Estimated(NamedTuple):
    """Estimate of a run time.

    Attributes:
        mean: Mean of the logarithm of the run time in ms.
        deviation: Standard deviation of that logarithm.
    """

    mean: float
    deviation: float


def whole_ms(run: Run) -> float | None:
    """Returns the time for a task's whole work at a run's reported rate.

    The rate is the one between two reports, so that neither a start that waited nor
    a resumed run distorts it. Returns None while it is unknown.
    """
    if run.first_report_ms is None or run.progress_ms is None:
        return None
    took_ms = run.progress_ms - run.first_report_ms
    done = run.percent - run.first_percent
    if took_ms < MIN_PROGRESS_MS or done < MIN_PROGRESS_PERCENT:
        return None
    return took_ms * 100 / done


def remaining_at_rate(run: Run, now_ms: int) -> float | None:
    """Returns the time until a run ends at its reported rate; None if it is unknown.

    Args:
        run: The run.
        now_ms: Steady-clock time.
    """
    time_ms = whole_ms(run)
    if time_ms is None or run.progress_ms is None:
        return None
    rest_ms = time_ms * (100 - run.percent) / 100
    return max(rest_ms - (now_ms - run.progress_ms), 0.0)


@dataclass(slots=True)
class StepEvidence:
    """Ended tasks of a step, and the rates of its running ones.

    Attributes:
        ended: Number of ended runs.
        mean: Mean of the logarithms of their run times in ms.
        count: Number of ended runs and of runs whose rate is known.
        total: Sum of the logarithms of their run times in ms.
        by_host: Count and total by host.
        rates: Host, and logarithm of the time at the rate, by task and run number.
    """

    ended: int = 0
    mean: float = 0.0
    count: int = 0
    total: float = 0.0
    by_host: dict[HostId, tuple[int, float]] = field(default_factory=dict)
    rates: dict[tuple[int, int], tuple[HostId, float]] = field(default_factory=dict)

    def add(self, actual: float, host: HostId) -> float | None:
        """Adds an ended run.

        Returns the squared difference from the earlier ones, which estimates the
        variance between the tasks of a step; None for the first one.

        Args:
            actual: Logarithm of its run time in ms.
            host: Host of the run.
        """
        difference = actual - self.mean
        self.ended += 1
        self.mean += difference / self.ended
        self._change(host, 1, actual)
        if self.ended == 1:
            return None
        return difference * difference * (self.ended - 1) / self.ended

    def set_rate(self, key: tuple[int, int], host: HostId, rate: float) -> bool:
        """Sets the rate of a run; returns whether it changed enough to matter.

        Args:
            key: Number of the task and of the run.
            host: Host of the run.
            rate: Logarithm of the time for the whole work at the rate.
        """
        known = self.rates.get(key)
        if known is not None and abs(known[1] - rate) < MIN_RATE_CHANGE:
            return False
        self.remove_rate(key)
        self.rates[key] = (host, rate)
        self._change(host, 1, rate)
        return True

    def remove_rate(self, key: tuple[int, int]) -> bool:
        """Removes the rate of a run; returns whether it was known."""
        known = self.rates.pop(key, None)
        if known is not None:
            self._change(known[0], -1, -known[1])
        return known is not None

    def count_elsewhere(self, host: HostId) -> int:
        """Returns the number of runs on other hosts."""
        return self.count - self.by_host.get(host, (0, 0.0))[0]

    def estimate(
        self, prior: Estimated, within: float, except_host: HostId | None = None
    ) -> Estimated:
        """Returns an estimate that joins a prior one with the evidence.

        Args:
            prior: Estimate without the evidence, for a task of any step.
            within: Standard deviation between the tasks of one step.
            except_host: Host whose runs are left out.
        """
        count, total = self.count, self.total
        if except_host is not None:
            left_out, left_out_total = self.by_host.get(except_host, (0, 0.0))
            count, total = count - left_out, total - left_out_total
        if not count:
            return prior
        between = max(prior.deviation**2 - within**2, within**2)
        precision = 1 / between + count / within**2
        joint = (prior.mean / between + total / within**2) / precision
        return Estimated(joint, math.sqrt(within**2 + 1 / precision))

    def _change(self, host: HostId, count: int, total: float) -> None:
        self.count += count
        self.total += total
        before, total_before = self.by_host.get(host, (0, 0.0))
        self.by_host[host] = (before + count, total_before + total)
