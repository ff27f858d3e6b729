"""Feeds every observation to every checker."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from .answers import AnswersMatch, NothingCutByShutdown, NotRunIsTrue, WorkIsKeyed
from .configuration import InForceInTime, KeysEnd, NeverReverts
from .fleet import BudgetsHold, LeavingGetsNothing, OnePoolAHost
from .observations import Observation
from .running import AtMostOnce, LimitsHold

if TYPE_CHECKING:
    from collections.abc import Iterator


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise.

    Attributes:
        promise: Name of the checker.
        detail: What was seen.
        observation: The observation that showed it.
    """

    promise: str
    detail: str
    observation: Observation


class Checker(Protocol):
    """Watches one promise."""

    def observe(self, seen: Observation) -> str | None:
        """Returns what is wrong, or none."""


class Watchdog:
    """All promises to users, checked over one history of observations."""

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self._checkers: tuple[Checker, ...] = (
            BudgetsHold(),
            OnePoolAHost(),
            WorkIsKeyed(),
            KeysEnd(),
            LimitsHold(),
            AnswersMatch(),
            NotRunIsTrue(),
            AtMostOnce(),
            LeavingGetsNothing(),
            NothingCutByShutdown(),
            InForceInTime(),
            NeverReverts(),
        )

    def observe(self, seen: Observation) -> list[Violation]:
        """Records an observation and returns the promises it breaks."""
        broken = list(self._check(seen))
        self.violations.extend(broken)
        return broken

    def _check(self, seen: Observation) -> Iterator[Violation]:
        for checker in self._checkers:
            detail = checker.observe(seen)
            if detail is not None:
                yield Violation(type(checker).__name__, detail, seen)
