"""Regression of the logarithm of actual run times on that of declared ones."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

MIN_RUNS = 20
"""Ended runs before an estimate replaces the declaration."""

FORGETTING_MS = 120_000
"""Time constant with which evidence loses weight: 99 % is gone after ten minutes."""

MAX_AGE_MS = 600_000
"""Age of the last observation after which all evidence of a key is forgotten."""

MAX_STEP_S = 3.0
"""Limit of a residual in standard deviations, so that no single run, and no pause of
the process that measures it, moves the estimate far."""

MAX_ERROR = math.log(20)
"""Limit of the logarithm of actual to declared time while there is no estimate."""

CLEARLY_LARGER = 1.25
"""Ratio of declared to predicted error from which on declarations are replaced."""

MIN_SPREAD, MAX_SPREAD = 0.05, 1.5
"""Bounds of the standard deviation of a logarithm."""

PRIOR_WEIGHT = 1.0
"""Weight of the prior slope 0, with which declarations that don't differ get the mean
of the key as their estimate."""

WITHIN_PRIOR = 0.2**2
"""Variance within a step before any was observed; measured 0.12 and 0.34 squared."""

WITHIN_PRIOR_WEIGHT = 5.0


class Fit(NamedTuple):
    """Coefficients of a regression.

    Attributes:
        intercept: Logarithm of the run time at a declaration with logarithm 0.
        slope: Change of the logarithm per unit of the declared logarithm.
        deviation: Standard deviation of the residuals.
        within: Standard deviation between the tasks of one step.
    """

    intercept: float
    slope: float
    deviation: float
    within: float

    def predict(self, declared: float) -> float:
        """Returns the expected logarithm of the run time in ms."""
        return self.intercept + self.slope * declared


@dataclass(slots=True)
class Regression:
    """Weighted moments of the ended runs of one key, with forgetting.

    The tasks of one step are alike, so a step's further tasks have less weight: the
    moments describe steps rather than tasks.

    Attributes:
        runs: Number of ended runs, after forgetting.
        weight: Sum of weights.
        mean_x: Mean of the declared logarithms.
        mean_y: Mean of the actual logarithms.
        sum_xx: Weighted sum of squared deviations of the declared logarithms.
        sum_xy: Weighted sum of the products of deviations.
        sum_yy: Weighted sum of squared deviations of the actual logarithms.
        sum_declared: Weighted sum of the squared errors of declarations.
        sum_within: Sum of the squared differences within steps.
        differences: Number of these differences.
        updated_ms: Steady-clock time of the last observation.
    """

    runs: float = 0.0
    weight: float = 0.0
    mean_x: float = 0.0
    mean_y: float = 0.0
    sum_xx: float = 0.0
    sum_xy: float = 0.0
    sum_yy: float = 0.0
    sum_declared: float = 0.0
    sum_within: float = 0.0
    differences: float = 0.0
    updated_ms: int = 0

    def add(self, declared: float, actual: float, weight: float, now_ms: int) -> None:
        """Adds an ended run.

        Args:
            declared: Logarithm of the declared run time in ms.
            actual: Logarithm of the actual run time in ms.
            weight: Weight of the run, above 0 and at most 1.
            now_ms: Steady-clock time.
        """
        self.decay(now_ms)
        error = min(max(actual - declared, -MAX_ERROR), MAX_ERROR)
        bounded = declared + error
        if self.runs >= MIN_RUNS:
            fit = self.fit()
            limit = MAX_STEP_S * fit.deviation
            expected = fit.predict(declared)
            bounded = min(max(actual, expected - limit), expected + limit)
        self.runs += 1
        old_weight, self.weight = self.weight, self.weight + weight
        off_x, off_y = declared - self.mean_x, bounded - self.mean_y
        self.mean_x += off_x * weight / self.weight
        self.mean_y += off_y * weight / self.weight
        # In this form no rounding makes a sum of squares negative.
        joint = weight * old_weight / self.weight
        self.sum_xx += joint * off_x * off_x
        self.sum_xy += joint * off_x * off_y
        self.sum_yy += joint * off_y * off_y
        self.sum_declared += weight * error * error

    def add_difference(self, squared: float) -> None:
        """Adds the squared difference of a run from the earlier ones of its step."""
        self.sum_within += min(squared, MAX_SPREAD**2)
        self.differences += 1

    def decay(self, now_ms: int) -> None:
        """Reduces the weight of the evidence by its age."""
        age_ms = max(now_ms - self.updated_ms, 0)
        self.updated_ms = now_ms
        factor = math.exp(-age_ms / FORGETTING_MS) if age_ms < MAX_AGE_MS else 0.0
        self.runs *= factor
        self.weight *= factor
        self.sum_xx *= factor
        self.sum_xy *= factor
        self.sum_yy *= factor
        self.sum_declared *= factor
        self.sum_within *= factor
        self.differences *= factor

    def fit(self) -> Fit:
        """Returns the coefficients; there must be evidence."""
        slope = min(max(self.sum_xy / (self.sum_xx + PRIOR_WEIGHT), 0.0), 1.0)
        rest = self.sum_yy - 2 * slope * self.sum_xy + slope * slope * self.sum_xx
        within = (self.sum_within + WITHIN_PRIOR_WEIGHT * WITHIN_PRIOR) / (
            self.differences + WITHIN_PRIOR_WEIGHT
        )
        return Fit(
            self.mean_y - slope * self.mean_x,
            slope,
            _bounded(math.sqrt(max(rest, 0.0) / self.weight)),
            _bounded(math.sqrt(within)),
        )

    @property
    def declared_error(self) -> float:
        """Returns the root mean square of the logarithm of actual to declared time."""
        return math.sqrt(self.sum_declared / self.weight) if self.weight else 0.0


def _bounded(deviation: float) -> float:
    return min(max(deviation, MIN_SPREAD), MAX_SPREAD)


class Model(NamedTuple):
    """What a key's ended runs say about the next one.

    Attributes:
        fit: Coefficients.
        declared_error: Standard deviation of declarations from actual run times.
        uses_declared: Whether declarations are about as good as the regression.
    """

    fit: Fit
    declared_error: float
    uses_declared: bool


def model_of(regression: Regression) -> Model | None:
    """Returns what the evidence of a key says; None while there is too little."""
    if regression.runs < MIN_RUNS:
        return None
    fit, error = regression.fit(), regression.declared_error
    uses_declared = error <= CLEARLY_LARGER * fit.deviation
    return Model(fit, min(max(error, MIN_SPREAD), MAX_SPREAD), uses_declared)
