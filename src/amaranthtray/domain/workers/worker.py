"""One host as this entry knows it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..ids import PoolName
from ..inventory import Host, HostState
from .health import Health, HealthState

if TYPE_CHECKING:
    from ..requests.model import Needs
    from .settings import WorkerSettings


@dataclass(slots=True, eq=False)
class Worker:
    """A host, its taken slots and what was learned from its answers.

    Attributes:
        host: The host as the platform lists it.
        pool: Its pool; none once it is no longer listed.
        health: Its failure record.
        slots: Slots that this entry may use.
        home: Slots that it uses before those of other workers.
        taken: Slots that this entry's attempts hold.
        closed_until_ms: Until when it gets no work, after a refusal.
        is_reported_leaving: Whether that refusal said that it is leaving.
        others: Slots of it that other entries held when it last said so.
        seen_ms: When that was.
        decay_ms: Time in which one of them is assumed to be free again.
        wake_ms: When the book looks again whether others left a slot.
        has_probe: Whether the attempt that decides about its return is under way.
        index: Place in the list of open workers, -1 when not in one.
        available_slots: Slots counted as open in its pool.
    """

    host: Host
    pool: PoolName | None
    health: Health
    slots: int
    home: float = 0
    taken: int = 0
    closed_until_ms: int = 0
    is_reported_leaving: bool = False
    others: int = 0
    seen_ms: int = 0
    decay_ms: int = 0
    wake_ms: int = -1
    has_probe: bool = False
    index: int = -1
    available_slots: int = 0

    @classmethod
    def of(cls, host: Host, pool: PoolName, cfg: WorkerSettings) -> Worker:
        """Returns a worker about which nothing is known and that has no slots yet."""
        return cls(host, pool, Health(cfg), 0, decay_ms=cfg.decay_ms)

    @property
    def is_listed_live(self) -> bool:
        """Returns whether the platform lists the host as live."""
        return self.pool is not None and self.host.state is HostState.LIVE

    @property
    def is_usable(self) -> bool:
        """Returns whether it is live, not leaving and not ejected."""
        is_ejected = self.health.state is HealthState.EJECTED
        return self.is_listed_live and not self.is_reported_leaving and not is_ejected

    @property
    def is_probing(self) -> bool:
        """Returns whether only a probe may be sent."""
        return self.health.state is HealthState.PROBING

    def others_now(self, now_ms: int) -> int:
        """Returns the slots that other entries are assumed to hold."""
        if not self.others:
            return 0
        return max(0, self.others - (now_ms - self.seen_ms) // self.decay_ms)

    def load(self, now_ms: int) -> float:
        """Returns the part of its slots that are assumed to be held."""
        return (self.taken + self.others_now(now_ms)) / self.host.slots

    def may_take_patient(self, now_ms: int, trust_ms: int) -> bool:
        """Returns whether it has a free slot that is no mere guess."""
        if not self.others or now_ms - self.seen_ms > trust_ms:
            return True
        return self.taken + self.others < self.host.slots

    def free_slots(self, now_ms: int) -> int:
        """Returns how many more attempts this entry may send now."""
        if not self.is_listed_live or self.closed_until_ms > now_ms:
            return 0
        match self.health.state:
            case HealthState.GOOD:
                allowed = self.slots
            case HealthState.RAMPING:
                allowed = min(self.slots, self.health.ramp_slots)
            case HealthState.PROBING:
                return 0 if self.has_probe or self.taken >= self.slots else 1
            case _:
                return 0
        left = self.host.slots - self.others_now(now_ms)
        return max(0, min(allowed, left) - self.taken)

    def fits(self, needs: Needs) -> bool:
        """Returns whether the host could run a task with these needs at all."""
        host = self.host
        return (
            needs.cores <= host.cores
            and needs.memory_mb <= host.memory_mb
            and needs.accelerators <= host.accelerators
        )
