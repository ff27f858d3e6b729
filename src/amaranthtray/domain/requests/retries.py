"""Retry budget of a pool and the pause before a retry."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from .settings import DispatcherSettings

MS_PER_S = 1_000


class RetryBudget:
    """Token bucket that limits retries to a share of first attempts.

    Without it, retries would multiply the load while a pool fails.
    """

    __slots__ = ("_cfg", "_filled_ms", "_tokens")

    def __init__(self, cfg: DispatcherSettings) -> None:
        self._cfg = cfg
        self._tokens = cfg.retry_burst
        self._filled_ms: int | None = None

    def record_first_attempt(self) -> None:
        """Adds ``retry_ratio`` tokens for a first attempt."""
        self._tokens = min(self._cfg.retry_burst, self._tokens + self._cfg.retry_ratio)

    def try_spend(self, now_ms: int) -> bool:
        """Takes a token for one retry; returns False if the budget is spent."""
        self._refill(now_ms)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill(self, now_ms: int) -> None:
        before = now_ms if self._filled_ms is None else self._filled_ms
        gained = (now_ms - before) * self._cfg.retry_trickle_per_s / MS_PER_S
        self._tokens = min(self._cfg.retry_burst, self._tokens + gained)
        self._filled_ms = now_ms


def backoff_ms(cfg: DispatcherSettings, retries: int, rng: random.Random) -> int:
    """Returns a pause drawn uniformly below an exponentially growing bound.

    Args:
        cfg: First and largest bound.
        retries: Number of retries made before this one.
        rng: Source of randomness.
    """
    bound = min(cfg.backoff_cap_ms, cfg.backoff_first_ms << retries)
    return 1 + int(rng.random() * bound)
