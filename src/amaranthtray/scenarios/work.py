"""What a caller sends and what it hears."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from ..domain.ids import QueueName, RequestId, TeamName
from ..domain.requests.model import Needs, Outcome, WorkClass


class NoOutcome(Enum):
    """Ends of a submission that are no outcome of a request."""

    BROKEN = "broken"
    REJECTED = "rejected"


Tell: TypeAlias = Callable[[Outcome | NoOutcome], None]
"""Tells a caller how its submission ended."""


@dataclass(slots=True)
class Work:
    """One request as its caller means it.

    Attributes:
        request_id: Chosen by the caller, or set when the entry issues one.
        true_team: Team whose key was sent, none without a key.
        deadline_at_ms: When the answer stops being useful.
        run_ms: How long it truly runs.
        fails: Whether it fails wherever it runs.
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
        """Returns what all copies of the request have in common."""
        return f"{self.queue}/{self.work_class}/{self.repeatable}"
