"""Registry of the backend servers that an entry sends work to."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import TYPE_CHECKING

from ..requests.model import WorkClass
from .evacuation import ZoneEvacuations
from .health import HealthState
from .pool import PoolWorkers
from .selection import HomeThenShared
from .settings import WorkerSettings
from .worker import Worker

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Hashable, Mapping, Sequence

    from ..ids import HostId, PoolName, ZoneId
    from ..inventory import Host
    from ..requests.model import Needs, Request
    from .selection import HostSelectionPolicy, Stripe


class WorkerRegistry:
    """Workers by pool with their slots in use, refusals and health.

    Args:
        zone: This entry's availability zone, whose hosts are preferred.
        rng: Random source of selection and jitter.
        cfg: Settings of ejection, probes and refusals.
        policy: How the entries share the hosts.
    """

    def __init__(
        self,
        zone: ZoneId,
        rng: random.Random,
        *,
        cfg: WorkerSettings | None = None,
        policy: HostSelectionPolicy | None = None,
    ) -> None:
        self._zone = zone
        self._rng = rng
        self._cfg = cfg or WorkerSettings()
        self._policy: HostSelectionPolicy = policy or HomeThenShared(zone)
        self._pools: dict[PoolName, PoolWorkers] = {}
        self._workers: dict[HostId, Worker] = {}
        self._total_slots: dict[PoolName, int] = {}
        self._fair_slots: dict[PoolName, float] = {}
        self._timers: list[tuple[int, HostId]] = []
        self._evacuations = ZoneEvacuations(self._cfg)
        self.ejections = 0

    @property
    def pools(self) -> tuple[PoolName, ...]:
        """Returns all pools that hosts were listed in."""
        return tuple(self._pools)

    def update(
        self, hosts_by_pool: Mapping[PoolName, Sequence[Host]], now_ms: int
    ) -> None:
        """Applies the platform's host list; observations of listed hosts are kept."""
        listed = {
            host.host_id: (host, pool)
            for pool, hosts in hosts_by_pool.items()
            for host in hosts
        }
        for worker in [w for w in self._workers.values() if w.pool is not None]:
            self._unlist(worker)
        for host, pool in listed.values():
            self._apply_listing(host, pool, now_ms)
        for worker in list(self._workers.values()):
            self._remove_if_idle(worker)
        for pool in self._pools:
            self._recount_slots(pool)

    def set_stripe(self, stripe: Stripe, now_ms: int) -> None:
        """Applies this entry's position among the entries that share the hosts."""
        self._policy = self._policy.with_stripe(stripe)
        for worker in self._workers.values():
            self._assign_slots(worker)
            self._refresh(worker, now_ms)
        for pool in self._pools:
            self._recount_slots(pool)

    def set_evacuated_zones(self, zones: frozenset[ZoneId], now_ms: int) -> bool:
        """Sends no further work to hosts of these zones; returns whether they changed.

        Work that runs there is left to end. Hosts of zones that are no longer among
        them are loaded in steps.
        """
        if zones == self._evacuations.zones:
            return False
        workers = list(self._workers.values())
        for worker in self._evacuations.replace_zones(zones, workers):
            self._schedule_load_step(worker, now_ms)
        for worker in workers:
            self._refresh(worker, now_ms)
        for pool in self._pools:
            self._recount_slots(pool)
        return True

    def used_slots_by_host(self, zone: ZoneId | None = None) -> dict[HostId, int]:
        """Returns the slots that attempts of this entry hold or may hold, by host.

        Args:
            zone: Only hosts of this availability zone, if given.
        """
        return {
            host: worker.used_slots
            for host, worker in list(self._workers.items())
            if zone in (None, worker.host.zone)
        }

    def fair_slots(self, pool: PoolName) -> float:
        """Returns this entry's part of the pool's slots if all entries get the same."""
        return self._fair_slots.get(pool, 0.0)

    def available_slots(self, pool: PoolName) -> int:
        """Returns how many slots of the pool work may be sent to now."""
        pool_workers = self._pools.get(pool)
        return 0 if pool_workers is None else pool_workers.available_slots

    def total_slots(self, pool: PoolName) -> int:
        """Returns all slots of the pool's usable hosts, in use or not."""
        return self._total_slots.get(pool, 0)

    def has_hosts(self, pool: PoolName) -> bool:
        """Returns whether the pool has any usable host."""
        return self.total_slots(pool) > 0

    def has_alternative(self, pool: PoolName, excluded: Collection[Worker]) -> bool:
        """Returns whether the pool has a usable host that is not excluded."""
        pool_workers = self._pools.get(pool)
        workers = pool_workers.workers.values() if pool_workers is not None else ()
        return any(worker.is_usable and worker not in excluded for worker in workers)

    def can_ever_run(self, pool: PoolName, needs: Needs) -> bool:
        """Returns whether some listed host of the pool is large enough."""
        pool_workers = self._pools.get(pool)
        return pool_workers is not None and pool_workers.can_fit(needs)

    def worker(self, host: HostId) -> Worker | None:
        """Returns the worker of a host, or None if the host is unknown."""
        return self._workers.get(host)

    def choose(
        self, request: Request, excluded: Collection[Worker], now_ms: int
    ) -> Worker | None:
        """Returns an available worker for the request, or None.

        A repeatable request goes to a worker that awaits a probe, if there is one.
        Otherwise the entry's home slots come before the rest, and among each, hosts
        of the own zone come first. Urgent work also tries slots that other entries
        are only assumed to have freed.
        """
        pool_workers = self._pools.get(request.pool)
        if pool_workers is None or pool_workers.available_slots <= 0:
            return None
        if request.repeatable and pool_workers.awaiting_probe:
            for worker in pool_workers.awaiting_probe.values():
                if worker not in excluded and worker.fits(request.needs):
                    return worker
        is_eligible = self._eligibility(request, excluded, now_ms)
        home = self._pick_local_first(
            pool_workers,
            lambda w: w.used_slots < w.home_slots and is_eligible(w),
            now_ms,
        )
        return home or self._pick_local_first(pool_workers, is_eligible, now_ms)

    def _eligibility(
        self, request: Request, excluded: Collection[Worker], now_ms: int
    ) -> Callable[[Worker], bool]:
        needs = request.needs
        is_urgent = request.work_class is WorkClass.URGENT
        trust_ms = self._cfg.patient_trust_ms

        def is_eligible(worker: Worker) -> bool:
            if worker in excluded or not worker.fits(needs):
                return False
            return is_urgent or worker.accepts_patient_work(now_ms, trust_ms)

        return is_eligible

    def _pick_local_first(
        self,
        pool_workers: PoolWorkers,
        is_eligible: Callable[[Worker], bool],
        now_ms: int,
    ) -> Worker | None:
        local = self._policy.pick(pool_workers.local, is_eligible, now_ms, self._rng)
        if local is not None:
            return local
        return self._policy.pick(pool_workers.remote, is_eligible, now_ms, self._rng)

    def acquire_slot(self, worker: Worker, now_ms: int) -> bool:
        """Takes a slot and returns whether the attempt is the worker's probe."""
        worker.used_slots += 1
        is_probe = worker.is_probing
        worker.is_probe_running = worker.is_probe_running or is_probe
        self._refresh(worker, now_ms)
        return is_probe

    def release_slot(self, worker: Worker, *, was_probe: bool, now_ms: int) -> None:
        """Releases a slot that is known to be free at the host."""
        worker.used_slots -= 1
        if was_probe:
            worker.is_probe_running = False
        self._refresh(worker, now_ms)
        if worker.pool is None:
            self._remove_if_idle(worker)

    def record_success(self, worker: Worker, now_ms: int) -> None:
        """Records that a task succeeded."""
        if worker.health.record_success(worker.slots):
            self._refresh(worker, now_ms)

    def record_failure(self, worker: Worker, request: Hashable, now_ms: int) -> None:
        """Records a failed task and ejects the worker if it failed too many.

        A worker is not ejected while too many of its pool are not in good health.
        """
        if not worker.health.record_failure(request) or not self._may_eject(worker):
            return
        worker.health.eject(now_ms, self._rng)
        self.ejections += 1
        self._schedule_wake(worker.health.until_ms, worker)
        self._refresh(worker, now_ms)
        self._recount_slots(worker.pool)

    def discard_failures(self, worker: Worker, request: Hashable) -> None:
        """Removes the failures of a request that fails on every worker."""
        worker.health.discard_failures(request)

    def record_full(
        self, worker: Worker, retry_after_ms: int | None, now_ms: int
    ) -> None:
        """Records that the host refused work because all its slots are in use."""
        worker.held_by_others = max(1, worker.host.slots - worker.used_slots)
        worker.observed_ms = now_ms
        decay_ms = max(retry_after_ms or 0, worker.decay_ms * 2)
        worker.decay_ms = min(decay_ms, self._cfg.decay_cap_ms)
        jitter = int(self._rng.random() * worker.decay_ms / 2)
        worker.decay_ms -= jitter
        self._refresh(worker, now_ms)

    def record_leaving(self, worker: Worker, now_ms: int) -> None:
        """Records that the host refused work because it is leaving."""
        worker.is_reported_leaving = True
        self._block(worker, now_ms + self._cfg.leaving_ms, now_ms)
        self._recount_slots(worker.pool)

    def record_free_slots(self, worker: Worker, free: int, now_ms: int) -> None:
        """Records the free slots that a host reported with an answer."""
        worker.held_by_others = max(0, worker.host.slots - free - worker.used_slots)
        worker.observed_ms = now_ms
        self._refresh(worker, now_ms)

    def record_task_run(self, worker: Worker) -> None:
        """Records that the host ran a task, so that its slots are tried sooner."""
        worker.decay_ms = self._cfg.decay_ms

    def leaving_hosts(self) -> list[HostId]:
        """Returns the hosts that refused work because they are leaving."""
        return [h for h, w in self._workers.items() if w.is_reported_leaving]

    def ejected_hosts(self) -> list[HostId]:
        """Returns the hosts that are ejected now."""
        return [
            host
            for host, worker in self._workers.items()
            if worker.health.state is HealthState.EJECTED
        ]

    def next_wake_ms(self) -> int | None:
        """Returns when ``wake`` next has a worker to check."""
        return self._timers[0][0] if self._timers else None

    def wake(self, now_ms: int) -> set[PoolName]:
        """Checks the workers whose time has come and returns their pools."""
        pools = set()
        while self._timers and self._timers[0][0] <= now_ms:
            worker = self._workers.get(heappop(self._timers)[1])
            if worker is None:
                continue
            self._advance_health(worker, now_ms)
            self._advance_load(worker, now_ms)
            self._refresh(worker, now_ms)
            if worker.pool is not None:
                pools.add(worker.pool)
        for pool in pools:
            self._recount_slots(pool)
        return pools

    def _advance_health(self, worker: Worker, now_ms: int) -> None:
        if worker.blocked_until_ms <= now_ms:
            worker.is_reported_leaving = False
        health = worker.health
        if health.until_ms > now_ms:
            return
        match health.state:
            case HealthState.EJECTED:
                health.start_probing(now_ms)
                self._schedule_wake(health.until_ms, worker)
            case HealthState.PROBING if not worker.is_probe_running:
                health.start_ramp()

    def _advance_load(self, worker: Worker, now_ms: int) -> None:
        if worker.load_steps is None or now_ms < worker.next_load_step_ms:
            return
        self._evacuations.next_step(worker)
        if worker.load_steps is not None:
            self._schedule_load_step(worker, now_ms)

    def _schedule_load_step(self, worker: Worker, now_ms: int) -> None:
        worker.next_load_step_ms = now_ms + self._cfg.return_step_ms
        self._schedule_wake(worker.next_load_step_ms, worker)

    def _block(self, worker: Worker, until_ms: int, now_ms: int) -> None:
        worker.blocked_until_ms = max(worker.blocked_until_ms, until_ms)
        self._schedule_wake(until_ms, worker)
        self._refresh(worker, now_ms)

    def _schedule_wake(self, at_ms: int, worker: Worker) -> None:
        heappush(self._timers, (at_ms, worker.host.host_id))

    def _refresh(self, worker: Worker, now_ms: int) -> None:
        if worker.pool is None:
            return
        self._pools[worker.pool].refresh(worker, now_ms)
        if worker.held_by_others and not worker.available_slots:
            self._schedule_recheck(worker, now_ms)

    def _schedule_recheck(self, worker: Worker, now_ms: int) -> None:
        """Schedules a check for when a slot held by others may be free."""
        if worker.recheck_ms > now_ms or worker.used_slots >= worker.slots:
            return
        excess = max(0, worker.used_slots + worker.held_by_others - worker.host.slots)
        worker.recheck_ms = max(
            now_ms + 1, worker.observed_ms + (excess + 1) * worker.decay_ms
        )
        self._schedule_wake(worker.recheck_ms, worker)

    def _assign_slots(self, worker: Worker) -> None:
        worker.slots = self._policy.slots(worker.host)
        worker.home_slots = self._policy.home_slots(worker.host)
        worker.equal_slots = max(1, worker.host.slots // self._policy.stripe.count)

    def _recount_slots(self, pool: PoolName | None) -> None:
        if pool is None:
            return
        usable = [w for w in self._pools[pool].workers.values() if w.is_usable]
        self._total_slots[pool] = sum(worker.host.slots for worker in usable)
        self._fair_slots[pool] = sum(worker.home_slots for worker in usable)

    def _may_eject(self, worker: Worker) -> bool:
        if worker.health.state is HealthState.EJECTED or worker.pool is None:
            return False
        listed = self._pools[worker.pool].workers.values()
        workers = [w for w in listed if not w.is_evacuated]
        unhealthy = sum(
            w.health.state is not HealthState.GOOD for w in workers if w is not worker
        )
        max_unhealthy = max(1, int(len(workers) * self._cfg.max_ejected_share))
        return len(workers) > 1 and unhealthy < max_unhealthy

    def _apply_listing(self, host: Host, pool: PoolName, now_ms: int) -> None:
        worker = self._workers.get(host.host_id)
        if worker is None:
            worker = Worker.of(host, pool, self._cfg)
            self._workers[host.host_id] = worker
        if worker.host.state is not host.state:
            worker.blocked_until_ms = 0
            worker.is_reported_leaving = False
        worker.host = host
        worker.pool = pool
        worker.is_evacuated = host.zone in self._evacuations.zones
        self._assign_slots(worker)
        if pool not in self._pools:
            self._pools[pool] = PoolWorkers(self._zone)
        self._pools[pool].workers[host.host_id] = worker
        self._refresh(worker, now_ms)

    def _unlist(self, worker: Worker) -> None:
        if worker.pool is not None:
            self._pools[worker.pool].remove(worker)
        worker.pool = None

    def _remove_if_idle(self, worker: Worker) -> None:
        if worker.pool is None and worker.used_slots == 0:
            self._workers.pop(worker.host.host_id, None)
