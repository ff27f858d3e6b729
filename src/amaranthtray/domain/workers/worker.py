"""State that an entry keeps of one backend server."""

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
    """A host, the slots in use on it, its health and its latest refusals.

    Attributes:
        host: The host as the platform lists it.
        pool: Its pool; None once the host is no longer listed.
        health: Failure record that decides about ejection.
        slots: Slots that this entry may use.
        home_slots: Slots that this entry uses before those of other workers.
        used_slots: Slots that attempts of this entry hold.
        blocked_until_ms: Time until which it gets no work, after a refusal.
        is_reported_leaving: Whether it refused work of an entry as leaving.
        held_by_others: Slots that other entries held when this was last observed.
        observed_ms: Time of that observation.
        decay_ms: Time after which one more of them is assumed to be free.
        recheck_ms: When the registry next checks whether one of them is free; -1
            if no check was scheduled yet.
        is_probe_running: Whether the attempt that ends or extends its ejection runs.
        index: Position in the pool's list of available workers; -1 if in none.
        available_slots: Slots that its pool currently counts as available.
        is_evacuated: Whether its availability zone is evacuated.
        equal_slots: Slots of each entry if those of the zone share them equally.
        load_steps: Steps of the load that it gets after an evacuation, as the
            current one and their number; None if its load is not limited.
        next_load_step_ms: When the next of these steps begins.
    """

    host: Host
    pool: PoolName | None
    health: Health
    slots: int
    home_slots: float = 0
    used_slots: int = 0
    blocked_until_ms: int = 0
    is_reported_leaving: bool = False
    held_by_others: int = 0
    observed_ms: int = 0
    decay_ms: int = 0
    recheck_ms: int = -1
    is_probe_running: bool = False
    index: int = -1
    available_slots: int = 0
    is_evacuated: bool = False
    equal_slots: int = 1
    load_steps: tuple[int, int] | None = None
    next_load_step_ms: int = 0

    @classmethod
    def of(cls, host: Host, pool: PoolName, cfg: WorkerSettings) -> Worker:
        """Returns a worker without observations or slots."""
        return cls(host, pool, Health(cfg), 0, decay_ms=cfg.decay_ms)

    @property
    def is_listed_live(self) -> bool:
        """Returns whether the platform lists the host as live."""
        return self.pool is not None and self.host.state is HostState.LIVE

    @property
    def is_usable(self) -> bool:
        """Returns whether it is live, not leaving, not ejected and not evacuated."""
        is_ejected = self.health.state is HealthState.EJECTED
        if self.is_evacuated or self.is_reported_leaving:
            return False
        return self.is_listed_live and not is_ejected

    @property
    def is_probing(self) -> bool:
        """Returns whether it may get nothing but a probe."""
        return self.health.state is HealthState.PROBING

    def estimate_held_by_others(self, now_ms: int) -> int:
        """Returns how many slots other entries are assumed to hold now."""
        if not self.held_by_others:
            return 0
        return max(
            0, self.held_by_others - (now_ms - self.observed_ms) // self.decay_ms
        )

    def load(self, now_ms: int) -> float:
        """Returns the fraction of its slots that are assumed to be in use."""
        return (
            self.used_slots + self.estimate_held_by_others(now_ms)
        ) / self.host.slots

    def accepts_patient_work(self, now_ms: int, trust_ms: int) -> bool:
        """Returns whether patient work may use a slot.

        It may if no entry held one, if the observation is older than ``trust_ms``, or
        if a slot was free then already, not only by the assumed decay since.
        """
        if not self.held_by_others or now_ms - self.observed_ms > trust_ms:
            return True
        return self.used_slots + self.held_by_others < self.host.slots

    def free_slots(self, now_ms: int) -> int:
        """Returns how many further attempts this entry may send to it now."""
        is_excluded = self.is_evacuated or self.blocked_until_ms > now_ms
        if is_excluded or not self.is_listed_live:
            return 0
        match self.health.state:
            case HealthState.GOOD:
                allowed = self.slots
            case HealthState.RAMPING:
                allowed = min(self.slots, self.health.ramp_slots)
            case HealthState.PROBING:
                return (
                    0 if self.is_probe_running or self.used_slots >= self.slots else 1
                )
            case _:
                return 0
        allowed = min(allowed, self._limit_of_step(self.equal_slots, allowed))
        loadable = self._limit_of_step(self.host.slots, self.host.slots)
        left = loadable - self.estimate_held_by_others(now_ms)
        return max(0, min(allowed, left) - self.used_slots)

    def _limit_of_step(self, slots: int, unlimited: int) -> int:
        """Returns the part of ``slots`` that the current step allows, rounded up."""
        if self.load_steps is None:
            return unlimited
        step, steps = self.load_steps
        return -(-slots * step // steps)

    def fits(self, needs: Needs) -> bool:
        """Returns whether the host is large enough for a task with these needs."""
        host = self.host
        return (
            needs.cores <= host.cores
            and needs.memory_mb <= host.memory_mb
            and needs.accelerators <= host.accelerators
        )
