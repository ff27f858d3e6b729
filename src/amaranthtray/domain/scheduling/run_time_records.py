"""Stored form of learned run times, for the conductor's successor."""

from __future__ import annotations

import math

import msgspec

from .run_time_regression import MAX_AGE_MS, Regression

MAX_BYTES = 8_000
"""Maximum size of the stored form; the keys unused longest are left out beyond it."""

SIGNIFICANT_DIGITS = 6
MAX_LOGARITHM = 30.0
"""Larger logarithms of milliseconds are longer than 300 years."""


class KeyRecord(msgspec.Struct, array_like=True):
    """Stored evidence of one key, with its age at the time of the write."""

    key: str
    age_ms: int
    values: tuple[float, float, float, float, float, float, float, float, float, float]


class RunTimesRecord(msgspec.Struct):
    """Stored evidence of a pool; wall-clock time, as the reader's steady clock differs.

    Attributes:
        written_ms: Wall-clock time of the write.
        keys: Evidence by key.
    """

    written_ms: int
    keys: list[KeyRecord]


def encode_run_times(
    regressions: dict[str, Regression], now_ms: int, wall_ms: int
) -> bytes:
    """Returns the stored form, of at most ``MAX_BYTES``.

    Args:
        regressions: Evidence by key, the newest last.
        now_ms: Steady-clock time.
        wall_ms: Wall-clock time.
    """
    rows = [
        KeyRecord(key, max(now_ms - each.updated_ms, 0), _values(each))
        for key, each in regressions.items()
    ]
    data = msgspec.json.encode(RunTimesRecord(wall_ms, rows))
    while len(data) > MAX_BYTES and rows:
        surplus = len(data) - MAX_BYTES
        del rows[: max(1, surplus * len(rows) // (2 * len(data)))]
        data = msgspec.json.encode(RunTimesRecord(wall_ms, rows))
    return data


def decode_run_times(data: bytes, now_ms: int, wall_ms: int) -> dict[str, Regression]:
    """Returns the evidence that is not too old, by key.

    Args:
        data: Stored form.
        now_ms: Steady-clock time.
        wall_ms: Wall-clock time.

    Raises:
        msgspec.MsgspecError: ``data`` is not such a record, or its numbers can't be
            those of evidence.
    """
    record = msgspec.json.decode(data, type=RunTimesRecord)
    # The wall clock may have been set back since.
    since_ms = max(wall_ms - record.written_ms, 0)
    found: dict[str, Regression] = {}
    for row in record.keys:
        age_ms = max(row.age_ms, 0) + since_ms
        if age_ms <= MAX_AGE_MS:
            regression = Regression(*row.values, updated_ms=now_ms - age_ms)
            _check(regression)
            found[row.key] = regression
    return found


def _values(
    each: Regression,
) -> tuple[float, float, float, float, float, float, float, float, float, float]:
    return (
        _rounded(each.runs),
        _rounded(each.weight),
        _rounded(each.mean_x),
        _rounded(each.mean_y),
        _rounded(each.sum_xx),
        _rounded(each.sum_xy),
        _rounded(each.sum_yy),
        _rounded(each.sum_declared),
        _rounded(each.sum_within),
        _rounded(each.differences),
    )


def _rounded(value: float) -> float:
    return float(f"{value:.{SIGNIFICANT_DIGITS}g}")


def _check(regression: Regression) -> None:
    amounts = (
        regression.runs,
        regression.weight,
        regression.sum_xx,
        regression.sum_yy,
        regression.sum_declared,
        regression.sum_within,
        regression.differences,
    )
    is_valid = (
        regression.weight > 0
        and min(amounts) >= 0
        and math.isfinite(sum(amounts) + regression.sum_xy)
        and max(abs(regression.mean_x), abs(regression.mean_y)) < MAX_LOGARITHM
    )
    if not is_valid:
        raise msgspec.ValidationError("numbers out of range")
