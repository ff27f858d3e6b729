"""Fault probabilities, entry processes and tasks of the limits simulation."""

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
"""Durations so short that every wait of the escrow takes a few virtual seconds."""


@dataclass(slots=True)
class FaultProbabilities:
    """Probabilities of faults of each message and store write.

    Attributes:
        drop: A message between entries is lost, or a call that stops a task.
        duplicate: A message between entries arrives twice.
        delay: A message between entries takes up to ``max_delay_ms``, or an entry
            is paused before it renews task leases.
        max_delay_ms: Longest delay of a delayed message or store write.
        lost_reply: The reply of a store write is lost.
        delayed_write: A store write takes effect after its caller got no reply.
    """

    drop: float = 0.05
    duplicate: float = 0.05
    delay: float = 0.05
    max_delay_ms: int = 2_000
    lost_reply: float = 0.08
    delayed_write: float = 0.04


@dataclass(slots=True)
class Task:
    """A task on its host, with the end of its lease and of its work."""

    attempt_id: AttemptId
    team: TeamName
    owner: EntryProcess
    lease_until_ms: float
    end_ms: float


@dataclass(slots=True, eq=False)
class EntryProcess:
    """One incarnation of an entry, with its own clock.

    Attributes:
        clock_rate: Speed of the clock, where 1 is true time.
        clock_offset_ms: Reading of the clock at true time 0.
        entry_lease_until_ms: True time at which hosts begin to reject its starts.
        is_cut_off: Whether it reaches neither the other entries nor the store.
    """

    zone: ZoneId
    entry: str
    units: EntryUnits
    clock_rate: float
    clock_offset_ms: float
    steward: ZoneSteward | None = None
    followed_steward: EntryProcess | None = None
    entry_lease_until_ms: float = -1.0
    paused_until_ms: float = -1.0
    is_alive: bool = True
    is_cut_off: bool = False
    running: dict[AttemptId, TeamName] = field(default_factory=dict)
    backlog: Counter[TeamName] = field(default_factory=Counter)

    def clock(self, true_ms: float) -> Millis:
        """Returns the reading of the monotonic clock of the process at a true time."""
        return Millis(int(self.clock_offset_ms + true_ms * self.clock_rate))
