"""The speed of hosts, from the run times of their runs relative to the pool.

Load: some hosts become slow, down to a ninth of their speed, while they still answer.
Some tasks take seven times as long as others of their queue, wherever they run: a
host is slow only if runs of several steps show it.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from statistics import median, median_low
from typing import TYPE_CHECKING, NamedTuple

from ..ids import HostId
from .run_time_events import HostSlow

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..jobs.model import StepKey

MIN_SLOWNESS = 1.5
"""Least multiple of the expected time at which a host counts as slow: below it, other
hosts end a task sooner only if they are free at once."""

MAX_SLOWNESS = 20.0
MIN_STEPS = 2
"""Steps whose runs must show that a host is slow."""

LATEST_STEPS = 6
"""Number of a host's latest steps that count, so that a change shows in time."""

MIN_DEVIATIONS = 3.5
"""Mean residual, in standard deviations of a mean, from which on chance is excluded:
an error on one of 4,300 hosts in a few seconds is rare then."""

SAMPLE_AGE_MS = 10_000
MAX_SAMPLES = 32
MAX_AVOIDED_SHARE = 0.3
"""Maximum part of the pool to avoid; if more hosts are slow, the jobs are at fault."""

FIRST_PAUSE_MS = 4_000
MAX_PAUSE_MS = 30_000
"""Pause before a slow host is tried again; it doubles each time, up to the maximum."""

TRIAL_RUNS = 2
"""Runs on a host that may have recovered."""


class SpeedSample(NamedTuple):
    """One run's time on a host compared with the expected one.

    Attributes:
        step: Step of the run.
        residual: Logarithm of its time, as far as it is known, to the expected one.
        deviation: Standard deviation that is expected of it.
        begun_ms: Steady-clock time of the run's placement.
        at_ms: Steady-clock time of the sample.
    """

    step: StepKey
    residual: float
    deviation: float
    begun_ms: int
    at_ms: int


class _Verdict(NamedTuple):
    """Median residual of a host over its latest steps.

    Attributes:
        residual: Lower median of the residuals of steps.
        deviation: Standard deviation of a mean of so many residuals.
        steps: Number of steps.
    """

    residual: float
    deviation: float
    steps: int


@dataclass(slots=True)
class SlowHost:
    """A host that is slow, or that is tried again.

    Attributes:
        slowness: Time of its runs as a multiple of the expected one.
        until_ms: Steady-clock time until which it is avoided.
        pause_ms: Length of that pause.
    """

    slowness: float
    until_ms: int
    pause_ms: int


@dataclass(slots=True)
class HostSpeeds:
    """Speed of the hosts of a pool.

    Attributes:
        slow: Hosts that are slow or were until recently.
    """

    slow: dict[HostId, SlowHost] = field(default_factory=dict)
    _samples: dict[HostId, deque[SpeedSample]] = field(default_factory=dict)

    def slowness(self, host: HostId) -> float:
        """Returns the time of a host's runs as a multiple of the expected one."""
        found = self.slow.get(host)
        return found.slowness if found else 1.0

    def is_avoided(self, host: HostId, run_count: int, now_ms: int) -> bool:
        """Returns whether new runs should go elsewhere.

        Args:
            host: The host.
            run_count: Number of runs on the host.
            now_ms: Steady-clock time.
        """
        found = self.slow.get(host)
        if found is None:
            return False
        return now_ms < found.until_ms or run_count >= TRIAL_RUNS

    def add(self, host: HostId, sample: SpeedSample) -> None:
        """Adds the time of an ended run."""
        samples = self._samples.setdefault(host, deque(maxlen=MAX_SAMPLES))
        samples.append(sample)

    def review(
        self,
        running: Mapping[HostId, Iterable[SpeedSample]],
        hosts: int,
        now_ms: int,
    ) -> list[HostSlow]:
        """Finds hosts that became slow or have recovered.

        Args:
            running: Samples of the present runs, by host; other hosts are forgotten.
            hosts: Number of hosts of the pool.
            now_ms: Steady-clock time.
        """
        for host in [each for each in self._samples if each not in running]:
            del self._samples[host]
        for host in [each for each in self.slow if each not in running]:
            del self.slow[host]
        verdicts = {
            host: verdict
            for host, samples in running.items()
            if (verdict := self._verdict(host, samples, now_ms)) is not None
        }
        if not verdicts:
            return []
        # The pool's median excludes that the model, not a host, is off.
        usual = median(each.residual for each in verdicts.values())
        slowest = sorted(verdicts, key=lambda each: -verdicts[each].residual)
        changes = (
            self._update(host, verdicts[host], max(usual, 0.0), hosts, now_ms)
            for host in slowest
        )
        return [change for change in changes if change is not None]

    def _verdict(
        self, host: HostId, running: Iterable[SpeedSample], now_ms: int
    ) -> _Verdict | None:
        found = self.slow.get(host)
        # On a host that is tried again only the runs of the trial count.
        begun_ms = found.until_ms if found and now_ms >= found.until_ms else 0
        by_step: dict[StepKey, list[SpeedSample]] = {}
        for sample in (*self._samples.get(host, ()), *running):
            if sample.begun_ms >= begun_ms and now_ms - sample.at_ms <= SAMPLE_AGE_MS:
                by_step.setdefault(sample.step, []).append(sample)
        latest = sorted(by_step.values(), key=lambda each: each[-1].at_ms)
        latest = latest[-LATEST_STEPS:]
        if len(latest) < MIN_STEPS:
            return None
        residuals = [median(each.residual for each in group) for group in latest]
        deviation = sum(group[0].deviation for group in latest) / len(latest)
        return _Verdict(
            median_low(residuals), deviation / math.sqrt(len(latest)), len(latest)
        )

    def _update(
        self, host: HostId, verdict: _Verdict, usual: float, hosts: int, now_ms: int
    ) -> HostSlow | None:
        """Applies a verdict; returns a report if it changes what is known."""
        residual = verdict.residual - usual
        is_slow = residual > max(
            math.log(MIN_SLOWNESS), MIN_DEVIATIONS * verdict.deviation
        )
        found = self.slow.get(host)
        slowness = min(math.exp(residual), MAX_SLOWNESS)
        if found is None:
            if not is_slow or len(self.slow) >= max(1, MAX_AVOIDED_SHARE * hosts):
                return None
            pause_ms = FIRST_PAUSE_MS
        elif now_ms < found.until_ms:
            return None
        elif is_slow:
            pause_ms = min(2 * found.pause_ms, MAX_PAUSE_MS)
        elif residual < math.log(MIN_SLOWNESS) / 2:
            del self.slow[host]
            return HostSlow(host, slowness, verdict.steps, 0, len(self.slow))
        else:
            return None
        until_ms = now_ms + pause_ms
        self.slow[host] = SlowHost(slowness, until_ms, pause_ms)
        return HostSlow(host, slowness, verdict.steps, until_ms, len(self.slow))
