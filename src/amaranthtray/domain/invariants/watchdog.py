"""Passes every observation to every checker and collects the violations."""

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
        promise: Class name of the checker.
        detail: Description of the violation.
        observation: The observation that revealed it.
    """

    promise: str
    detail: str
    observation: Observation


class Checker(Protocol):
    """Checks one promise."""

    def observe(self, event: Observation) -> str | None:
        """Returns a description of the violation that this reveals, or None."""


class Watchdog:
    """Checks all promises to users over one history of observations."""

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

    def observe(self, event: Observation) -> list[Violation]:
        """Checks an observation; records and returns the violations it reveals."""
        violations = list(self._check(event))
        self.violations.extend(violations)
        return violations

    def _check(self, event: Observation) -> Iterator[Violation]:
        for checker in self._checkers:
            detail = checker.observe(event)
            if detail is not None:
                yield Violation(type(checker).__name__, detail, event)
