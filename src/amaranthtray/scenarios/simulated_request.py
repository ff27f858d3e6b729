"""A simulated request and how its submission can end."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from ..domain.ids import QueueName, RequestId, TeamName
from ..domain.requests.model import Needs, Outcome, WorkClass


class NoOutcome(Enum):
    """Results of a submission that are not outcomes of a request."""

    BROKEN = "broken"
    REJECTED = "rejected"


ReplyCallback: TypeAlias = Callable[[Outcome | NoOutcome], None]
"""Informs a caller how its submission ended."""


@dataclass(slots=True)
class SimulatedRequest:
    """A request as its caller sends it, with its actual behavior.

    Attributes:
        request_id: Chosen by the caller, or empty until the entry issues one.
        true_team: Team that owns the key that was sent; None without a valid key.
        deadline_at_ms: Time after which the caller no longer needs the answer.
        run_ms: Actual run time on a worker.
        fails: Whether it fails on every worker.
    """

    request_id: RequestId
    queue: QueueName
    key_text: str | None
    true_team: TeamName | None
    work_class: WorkClass
    repeatable: bool
    deadline_at_ms: int
    run_ms: int
    fails: bool
    needs: Needs = field(default_factory=Needs)
    accepted_ms: int | None = None

    @property
    def fingerprint(self) -> str:
        """Returns the properties that all copies of the request must share."""
        return f"{self.queue}/{self.work_class}/{self.repeatable}"
