"""What this entry knows about the hosts of each pool."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import TYPE_CHECKING

from ..requests.model import WorkClass
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
    """Hosts by pool with their taken slots, refusals and health.

    Args:
        zone: This entry's availability zone; its hosts are used first.
        rng: Random source of choices and jitter.
        cfg: Bounds.
        policy: How entries share the hosts.
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
        self._wakes: list[tuple[int, HostId]] = []
        self.ejections = 0

    def update(
        self, hosts_by_pool: Mapping[PoolName, Sequence[Host]], now_ms: int
    ) -> None:
        """Takes over the platform's list; what was learned of a host is kept."""
        listed = {
            host.host_id: (host, pool)
            for pool, hosts in hosts_by_pool.items()
            for host in hosts
        }
        for worker in [w for w in self._workers.values() if w.pool is not None]:
            self._unlist(worker)
        for host, pool in listed.values():
            self._list(host, pool, now_ms)
        for worker in list(self._workers.values()):
            self._forget_if_idle(worker)
        for pool in self._pools:
            self._count_slots(pool)

    def set_stripe(self, stripe: Stripe, now_ms: int) -> None:
        """Takes over how many entries share the hosts and this one's place."""
        self._policy = self._policy.with_stripe(stripe)
        for worker in self._workers.values():
            self._divide(worker)
            self._refresh(worker, now_ms)
        for pool in self._pools:
            self._count_slots(pool)

    def fair_slots(self, pool: PoolName) -> float:
        """Returns this entry's part of the pool's slots if all entries are alike."""
        return self._fair_slots.get(pool, 0.0)

    def available_slots(self, pool: PoolName) -> int:
        """Returns the slots to which work may be sent now."""
        held = self._pools.get(pool)
        return 0 if held is None else held.available_slots

    def total_slots(self, pool: PoolName) -> int:
        """Returns the slots of the pool's usable hosts, whoever holds them."""
        return self._total_slots.get(pool, 0)

    def has_hosts(self, pool: PoolName) -> bool:
        """Returns whether the pool has any usable host."""
        return self.total_slots(pool) > 0

    def has_alternative(self, pool: PoolName, avoid: Collection[Worker]) -> bool:
        """Returns whether the pool has a usable host that is not to be avoided."""
        held = self._pools.get(pool)
        workers = held.workers.values() if held is not None else ()
        return any(worker.is_usable and worker not in avoid for worker in workers)

    def can_ever_run(self, pool: PoolName, needs: Needs) -> bool:
        """Returns whether a listed host of the pool meets the needs."""
        held = self._pools.get(pool)
        return held is not None and held.can_fit(needs)

    def worker(self, host: HostId) -> Worker | None:
        """Returns what is known of a host."""
        return self._workers.get(host)

    def choose(
        self, request: Request, avoid: Collection[Worker], now_ms: int
    ) -> Worker | None:
        """Returns a worker with an open slot for the request, own zone first.

        Urgent work also tries slots that other entries may have left by now.
        """
        held = self._pools.get(request.pool)
        if held is None or held.available_slots <= 0:
            return None
        if request.repeatable and held.probes:
            for worker in held.probes.values():
                if worker not in avoid and worker.fits(request.needs):
                    return worker
        suits = self._suits(request, avoid, now_ms)
        home = self._pick(held, lambda w: w.taken < w.home and suits(w), now_ms)
        return home or self._pick(held, suits, now_ms)

    def _suits(
        self, request: Request, avoid: Collection[Worker], now_ms: int
    ) -> Callable[[Worker], bool]:
        needs = request.needs
        is_urgent = request.work_class is WorkClass.URGENT
        trust_ms = self._cfg.patient_trust_ms

        def suits(worker: Worker) -> bool:
            if worker in avoid or not worker.fits(needs):
                return False
            return is_urgent or worker.may_take_patient(now_ms, trust_ms)

        return suits

    def _pick(
        self, held: PoolWorkers, suits: Callable[[Worker], bool], now_ms: int
    ) -> Worker | None:
        near = self._policy.pick(held.near, suits, now_ms, self._rng)
        if near is not None:
            return near
        return self._policy.pick(held.far, suits, now_ms, self._rng)

    def acquire_slot(self, worker: Worker, now_ms: int) -> bool:
        """Takes a slot; returns whether the attempt is the probe of its worker."""
        worker.taken += 1
        is_probe = worker.is_probing
        worker.has_probe = worker.has_probe or is_probe
        self._refresh(worker, now_ms)
        return is_probe

    def release_slot(self, worker: Worker, *, was_probe: bool, now_ms: int) -> None:
        """Returns a slot that is known to be free at the host."""
        worker.taken -= 1
        if was_probe:
            worker.has_probe = False
        self._refresh(worker, now_ms)
        if worker.pool is None:
            self._forget_if_idle(worker)

    def record_success(self, worker: Worker, now_ms: int) -> None:
        """Records a task that ended well."""
        if worker.health.succeed(worker.slots):
            self._refresh(worker, now_ms)

    def record_failure(self, worker: Worker, request: Hashable, now_ms: int) -> None:
        """Records a failure and ejects the worker if it fails what it starts."""
        if not worker.health.fail(request) or not self._may_eject(worker):
            return
        worker.health.eject(now_ms, self._rng)
        self.ejections += 1
        self._wake_at(worker.health.until_ms, worker)
        self._refresh(worker, now_ms)
        self._count_slots(worker.pool)

    def discard_failures(self, worker: Worker, request: Hashable) -> None:
        """Takes back the failures of a job that fails on every worker."""
        worker.health.discard_failures(request)

    def record_full(
        self, worker: Worker, retry_after_ms: int | None, now_ms: int
    ) -> None:
        """Records that the host refused work because its slots are taken."""
        worker.others = max(1, worker.host.slots - worker.taken)
        worker.seen_ms = now_ms
        bound = max(retry_after_ms or 0, worker.decay_ms * 2)
        worker.decay_ms = min(bound, self._cfg.decay_cap_ms)
        jitter = int(self._rng.random() * worker.decay_ms / 2)
        worker.decay_ms -= jitter
        self._refresh(worker, now_ms)

    def record_leaving(self, worker: Worker, now_ms: int) -> None:
        """Records that the host refused work because it is leaving."""
        worker.is_reported_leaving = True
        self._close(worker, now_ms + self._cfg.leaving_ms, now_ms)
        self._count_slots(worker.pool)

    def record_free_slots(self, worker: Worker, free: int, now_ms: int) -> None:
        """Records the free slots that a host reported with an answer."""
        worker.others = max(0, worker.host.slots - free - worker.taken)
        worker.seen_ms = now_ms
        self._refresh(worker, now_ms)

    def record_task_run(self, worker: Worker) -> None:
        """Records that the host took work in, so its slots are tried sooner."""
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
        """Returns when a closed or ejected worker may come back."""
        return self._wakes[0][0] if self._wakes else None

    def wake(self, now_ms: int) -> set[PoolName]:
        """Reopens what is due and returns the pools concerned."""
        pools = set()
        while self._wakes and self._wakes[0][0] <= now_ms:
            worker = self._workers.get(heappop(self._wakes)[1])
            if worker is None:
                continue
            self._advance(worker, now_ms)
            self._refresh(worker, now_ms)
            if worker.pool is not None:
                pools.add(worker.pool)
        for pool in pools:
            self._count_slots(pool)
        return pools

    def _advance(self, worker: Worker, now_ms: int) -> None:
        if worker.closed_until_ms <= now_ms:
            worker.is_reported_leaving = False
        health = worker.health
        if health.until_ms > now_ms:
            return
        match health.state:
            case HealthState.EJECTED:
                health.start_probing(now_ms)
                self._wake_at(health.until_ms, worker)
            case HealthState.PROBING if not worker.has_probe:
                health.start_ramp()

    def _close(self, worker: Worker, until_ms: int, now_ms: int) -> None:
        worker.closed_until_ms = max(worker.closed_until_ms, until_ms)
        self._wake_at(until_ms, worker)
        self._refresh(worker, now_ms)

    def _wake_at(self, when_ms: int, worker: Worker) -> None:
        heappush(self._wakes, (when_ms, worker.host.host_id))

    def _refresh(self, worker: Worker, now_ms: int) -> None:
        if worker.pool is None:
            return
        self._pools[worker.pool].refresh(worker, now_ms)
        if worker.others and not worker.available_slots:
            self._wake_after_decay(worker, now_ms)

    def _wake_after_decay(self, worker: Worker, now_ms: int) -> None:
        """Looks again when one of the slots that others hold may be free."""
        if worker.wake_ms > now_ms or worker.taken >= worker.slots:
            return
        held = max(0, worker.taken + worker.others - worker.host.slots)
        worker.wake_ms = max(now_ms + 1, worker.seen_ms + (held + 1) * worker.decay_ms)
        self._wake_at(worker.wake_ms, worker)

    def _divide(self, worker: Worker) -> None:
        worker.slots = self._policy.slots(worker.host)
        worker.home = self._policy.home_slots(worker.host)

    def _count_slots(self, pool: PoolName | None) -> None:
        if pool is None:
            return
        usable = [w for w in self._pools[pool].workers.values() if w.is_usable]
        self._total_slots[pool] = sum(worker.host.slots for worker in usable)
        self._fair_slots[pool] = sum(worker.home for worker in usable)

    def _may_eject(self, worker: Worker) -> bool:
        if worker.health.state is HealthState.EJECTED or worker.pool is None:
            return False
        workers = self._pools[worker.pool].workers.values()
        out = sum(
            w.health.state is not HealthState.GOOD for w in workers if w is not worker
        )
        most = max(1, int(len(workers) * self._cfg.max_ejected_share))
        return len(workers) > 1 and out < most

    def _list(self, host: Host, pool: PoolName, now_ms: int) -> None:
        worker = self._workers.get(host.host_id)
        if worker is None:
            worker = Worker.of(host, pool, self._cfg)
            self._workers[host.host_id] = worker
        if worker.host.state is not host.state:
            worker.closed_until_ms = 0
            worker.is_reported_leaving = False
        worker.host = host
        worker.pool = pool
        self._divide(worker)
        if pool not in self._pools:
            self._pools[pool] = PoolWorkers(self._zone)
        self._pools[pool].workers[host.host_id] = worker
        self._refresh(worker, now_ms)

    def _unlist(self, worker: Worker) -> None:
        if worker.pool is not None:
            self._pools[worker.pool].remove(worker)
        worker.pool = None

    def _forget_if_idle(self, worker: Worker) -> None:
        if worker.pool is None and worker.taken == 0:
            self._workers.pop(worker.host.host_id, None)
