"""Errors of the decisions; each carries the step and the peer where it arose."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """A refused input: what is wrong, where, and how to mend it.

    Attributes:
        step: The operation that refused, for example ``"put-pool"``.
        peer: Who sent the input: an operator, entry, store or host name.
        what: What is wrong.
        where: The object and field concerned.
        fix: How the sender can mend it.
    """

    step: str
    peer: str
    what: str
    where: str
    fix: str

    def __str__(self) -> str:
        return f"{self.step} ({self.peer}): {self.what} at {self.where}; {self.fix}"


class AmaranthtrayError(Exception):
    """Base of all errors raised by this package.

    Attributes:
        step: The operation during which the error arose.
        peer: The other side of that operation.
    """

    def __init__(self, message: str, *, step: str, peer: str) -> None:
        super().__init__(f"{step} ({peer}): {message}")
        self.step = step
        self.peer = peer


class ProblemError(AmaranthtrayError):
    """Raised at a border where a ``Problem`` cannot be returned."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(str(problem), step=problem.step, peer=problem.peer)
        self.problem = problem
