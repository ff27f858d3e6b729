"""Errors of the package; each names the operation and the peer it arose with."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """A rejected input, with the place of the error and how to correct it.

    Attributes:
        step: The operation that rejected it, for example ``"put-pool"``.
        peer: Name of the operator, entry, store or host that sent the input.
        what: Description of the error.
        where: The object and field concerned.
        fix: How the sender can correct it.
    """

    step: str
    peer: str
    what: str
    where: str
    fix: str

    def __str__(self) -> str:
        return f"{self.step} ({self.peer}): {self.what} at {self.where}; {self.fix}"


class AmaranthtrayError(Exception):
    """Base class of all exceptions raised by this package.

    Attributes:
        step: The operation during which the error occurred.
        peer: The other party of that operation.
    """

    def __init__(self, message: str, *, step: str, peer: str) -> None:
        super().__init__(f"{step} ({peer}): {message}")
        self.step = step
        self.peer = peer


class ProblemError(AmaranthtrayError):
    """Carries a ``Problem`` where it cannot be returned as a value."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(str(problem), step=problem.step, peer=problem.peer)
        self.problem = problem
