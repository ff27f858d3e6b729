"""Parts of the fleet of limit holders: faults, processes and tasks."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from ..domain.ids import AttemptId, Millis, TeamName, ZoneId
from ..domain.limits import EntryUnits, EscrowTiming, ZoneSteward

FAST_TIMING = EscrowTiming(
    entry_ttl_ms=600,
    run_on_ms=300,
    zone_ttl_ms=1_500,
    zone_run_on_ms=400,
    task_lease_ms=300,
    call_ms=100,
    stop_ms=0,
    renew_ms=300,
    retry_ms=200,
    rotate_ms=300,
    overdue_ms=300,
    margin_ms=20,
    drift=0.01,
)
"""Every wait of the escrow within a few virtual seconds."""


@dataclass(slots=True)
class FaultProbabilities:
    """Chances that each message or store call goes wrong.

    Attributes:
        drop: A message between entries is lost.
        repeat: A message between entries arrives twice.
        late: A message between entries takes up to ``late_ms``.
        late_ms: Longest delay of a late message.
        lost_reply: The reply of a store write is lost.
        late_write: A store write takes effect after its caller gave up.
    """

    drop: float = 0.05
    repeat: float = 0.05
    late: float = 0.05
    late_ms: int = 2_000
    lost_reply: float = 0.08
    late_write: float = 0.04


@dataclass(slots=True)
class Task:
    """A task as its host sees it."""

    attempt_id: AttemptId
    team: TeamName
    owner: EntryProcess
    lease_until_ms: float
    end_ms: float


@dataclass(slots=True, eq=False)
class EntryProcess:
    """One run of an entry, with a clock of its own."""

    zone: ZoneId
    entry: str
    holding: EntryUnits
    rate: float
    offset: float
    steward: ZoneSteward | None = None
    follows: EntryProcess | None = None
    session_until_ms: float = -1.0
    paused_until_ms: float = -1.0
    is_alive: bool = True
    is_cut_off: bool = False
    running: dict[AttemptId, TeamName] = field(default_factory=dict)
    backlog: Counter[TeamName] = field(default_factory=Counter)

    def clock(self, true_ms: float) -> Millis:
        """Returns the time on the process's own monotonic clock."""
        return Millis(int(self.offset + true_ms * self.rate))
