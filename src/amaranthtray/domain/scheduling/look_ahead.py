"""Reservations and the choice of hosts in one plan."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..ids import HostId
from ..jobs.model import NO_RESOURCES, Resources
from ._state import SchedulerState
from .host import Host
from .host_choice import MAX_SHAPES, freest
from .profile import Freed, RoomFor, profile_of, room_at, rooms_for
from .ranking import Timeliness
from .reservations import (
    GANG_HORIZON_MS,
    HORIZON_MS,
    HOSTS_PER_RESERVED,
    Reservation,
    most_reserved,
    until_ms,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..jobs.job import Job
    from ..jobs.model import StepKey, StepSpec
    from ._unfit import Demand
    from .reservations import RankClass, Reservations

SEARCH_WIDTH = 32
"""Hosts whose profiles a search computes: those with the largest part of the need."""

SEARCHES_PER_PLAN = 2
"""Each computes up to ``SEARCH_WIDTH`` profiles."""

MOVE_EVERY_MS = 200
"""Shortest time between searches for a host that is free sooner than a reserved one."""

RETRY_MS = 100
"""Time after which a step that found no host may search again."""

MOVE_GAIN_MS = 200
"""A reservation moves to a host that is expected to be free sooner by this time and by
half of the wait; less is within the error of run times."""


@dataclass(slots=True)
class LookAhead:
    """The reservations during one plan.

    Attributes:
        state: The scheduler's state.
        hosts: Hosts that may be reserved, by id.
        large_from: Amounts of each resource from which a task is large.
        shapes: Needs of the large tasks that wait.
    """

    state: SchedulerState
    hosts: dict[HostId, Host]
    large_from: Resources
    shapes: list[Resources] = field(default_factory=list)
    _spare: dict[HostId, Resources] = field(default_factory=dict)
    _used: dict[HostId, Resources] = field(default_factory=dict)
    _borrowed: set[HostId] = field(default_factory=set)
    _profiles: dict[HostId, list[Freed]] = field(default_factory=dict)
    _kept: set[int] = field(default_factory=set)
    _holding: list[Host] = field(default_factory=list)
    _searches: int = 0
    _reports: int = 0
    _limit: int = field(init=False)

    def __post_init__(self) -> None:
        self._limit = most_reserved(self.hosts)

    @property
    def reservations(self) -> Reservations:
        """Returns the reservations of the pool."""
        return self.state.reservations

    def refresh(self) -> None:
        """Updates or drops the reservations that earlier plans made."""
        for reservation in self.reservations.all():
            reason = self._refresh(reservation)
            if reason:
                self.reservations.drop(reservation, self.state.now_ms, reason)
                continue
            need = self._step(reservation.key).reserved
            if need not in self.shapes and len(self.shapes) < MAX_SHAPES:
                self.shapes.append(need)

    def has_reservation(self, key: StepKey) -> bool:
        """Returns whether hosts are reserved for a step."""
        return key in self.reservations.steps

    def take_released(self) -> bool:
        """Returns whether a reservation ended or moved since the last call."""
        reports = len(self.reservations.reports)
        is_released, self._reports = reports > self._reports, reports
        return is_released

    def begin_step(self, key: StepKey, demand: Demand) -> None:
        """Holds back what is reserved on each host for other steps.

        Args:
            key: The step that is about to be placed.
            demand: What it asks of a host.
        """
        self._borrowed.clear()
        self._release_held()
        ends_ms = self.state.now_ms + demand.safe_ms
        cpu, memory_mb, gpu = demand.need
        for host_id, reservation in self.reservations.by_host.items():
            host = self.hosts[host_id]
            free = host.free
            if free[0] < cpu or free[1] < memory_mb or free[2] < gpu:
                continue
            self._used[host_id] = host.used
            if reservation.key == key or demand.rank_class < reservation.rank_class:
                continue
            if ends_ms <= reservation.start_ms:
                self._borrowed.add(host_id)
                continue
            spare = self._spare[host_id]
            host.held = Resources(
                max(free.cpu - spare.cpu, 0),
                max(free.memory_mb - spare.memory_mb, 0),
                max(free.gpu - spare.gpu, 0),
            )
            self._holding.append(host)

    def account_for_runs(self, key: StepKey, step: StepSpec) -> bool:
        """Accounts for the runs that were placed of a step.

        Returns:
            Whether the step may have or get a reservation: ``end_step`` must be called.
        """
        if self._used:
            self._account_for_runs(key)
        return self._is_large(step) or key in self.reservations.steps

    def end_step(
        self,
        job: Job,
        key: StepKey,
        rank_class: RankClass,
        unplaced: int,
        placed: int,
        find_allowed: Callable[[], Iterable[Host]],
    ) -> None:
        """Keeps, ends or makes the reservations of a step after its placement.

        Args:
            job: Job of the step.
            key: The step.
            rank_class: Class of the job's rank.
            unplaced: Number of its tasks that may start, but have found no host.
            placed: Number of its tasks that were placed.
            find_allowed: Returns the hosts that the step may use.
        """
        step = job.spec.steps[key.step]
        own = self.reservations.of_step(key) if self.has_reservation(key) else []
        wanted = unplaced
        if rank_class[2] == Timeliness.TOO_LATE or not unplaced:
            wanted = 0
        most = 1 if step.is_gang else max(1, self._limit // 2)
        wanted = min(wanted, most)
        own.sort(key=lambda each: each.start_ms)
        for surplus in own[wanted:]:
            reason = "elsewhere" if placed else "gone"
            self.reservations.drop(surplus, self.state.now_ms, reason)
        if not wanted:
            return
        self.reservations.waits_since_ms.setdefault(key, self.state.now_ms)
        for kept in own[:wanted]:
            self._keep(kept, step, rank_class, find_allowed)
        if len(own) < wanted:
            self._reserve(key, step, rank_class, find_allowed)

    def _is_large(self, step: StepSpec) -> bool:
        """Returns whether the gaps that usual tasks leave are too small for a step."""
        if step.is_gang and step.count > 1:
            return True
        if step.fills:
            return False
        (cpu, memory_mb, gpu), limits = step.need, self.large_from
        return (
            cpu >= limits[0] > 0 or memory_mb >= limits[1] > 0 or gpu >= limits[2] > 0
        )

    def finish(self, waiting: set[StepKey]) -> None:
        """Drops the reservations of steps that wait no longer; holds nothing back."""
        self.reservations.retain(waiting, self.state.now_ms)
        self._release_held()

    def _release_held(self) -> None:
        for host in self._holding:
            host.held = NO_RESOURCES
        self._holding.clear()

    def _step(self, key: StepKey) -> StepSpec:
        return self.state.jobs[key.job].spec.steps[key.step]

    def _profile(self, host: Host) -> list[Freed]:
        found = self._profiles.get(host.info.id)
        if found is None:
            found = self._profiles[host.info.id] = profile_of(self.state, host)
        return found

    def _refresh(self, reservation: Reservation) -> str:
        """Updates the expected start; returns why the reservation must end, or ""."""
        if reservation.until_ms <= self.state.now_ms:
            return "slipped"
        if reservation.key.job not in self.state.active:
            return "gone"
        if any(host not in self.hosts for host in reservation.hosts):
            return "host-lost"
        start_ms = float(self.state.now_ms)
        for host_id, need in reservation.hosts.items():
            profile = self._profile(self.hosts[host_id])
            fitting = [freed.at_ms for freed in profile if need.fits(freed.room)]
            if not fitting:
                return "host-lost"
            start_ms = max(start_ms, fitting[0])
        reservation.start_ms = start_ms
        self._set_spare(reservation)
        return ""

    def _set_spare(self, reservation: Reservation) -> None:
        """Computes what runs may use that end after the start of the reservation."""
        for host_id, need in reservation.hosts.items():
            room = room_at(self._profile(self.hosts[host_id]), reservation.start_ms)
            self._spare[host_id] = room.minus(need)

    def _account_for_runs(self, key: StepKey) -> None:
        """Ends own reservations that were used, and subtracts runs of other steps."""
        for host_id, used in self._used.items():
            reservation = self.reservations.by_host.get(host_id)
            if reservation is None or self.hosts[host_id].used == used:
                continue
            if reservation.key == key:
                self.reservations.drop(reservation, self.state.now_ms, "started")
            elif host_id not in self._borrowed:
                added = self.hosts[host_id].used.minus(used)
                self._spare[host_id] = self._spare[host_id].minus(added)
            self._profiles.pop(host_id, None)
        self._used.clear()

    def _keep(
        self,
        reservation: Reservation,
        step: StepSpec,
        rank_class: RankClass,
        find_allowed: Callable[[], Iterable[Host]],
    ) -> None:
        """Keeps a reservation, on a host that is free sooner if there is one."""
        now_ms = self.state.now_ms
        reservation.rank_class = rank_class
        self._kept.add(id(reservation))
        wait_ms = reservation.start_ms - now_ms
        gain_ms = max(wait_ms / 2, MOVE_GAIN_MS)
        is_due = now_ms - self.reservations.searched_ms >= MOVE_EVERY_MS
        if step.is_gang or wait_ms < gain_ms or not is_due:
            return
        self.reservations.searched_ms = now_ms
        found = self._search(reservation.key, step, find_allowed())
        if found is not None and found[0] + gain_ms <= reservation.start_ms:
            self.reservations.drop(reservation, now_ms, "moved")
            reservation.start_ms, reservation.hosts = found
            self.reservations.add(reservation, now_ms, "moved")
            self._set_spare(reservation)

    def _reserve(
        self,
        key: StepKey,
        step: StepSpec,
        rank_class: RankClass,
        find_allowed: Callable[[], Iterable[Host]],
    ) -> None:
        """Reserves the hosts where a step can start first, if there is a place."""
        now_ms, reservations = self.state.now_ms, self.reservations
        if self._searches >= SEARCHES_PER_PLAN or not reservations.may_reserve(
            key, now_ms
        ):
            return
        is_full = len(reservations.by_host) >= self._limit
        victim = self._lowest(rank_class) if is_full else None
        if is_full and victim is None:
            return
        self._searches += 1
        found = self._search(key, step, find_allowed())
        if found is None:
            reservations.pause(key, now_ms + RETRY_MS)
            return
        start_ms, hosts = found
        if victim is not None:
            reservations.drop(victim, now_ms, "outranked")
        is_wide = len(hosts) * HOSTS_PER_RESERVED > len(self.hosts)
        if not reservations.has_place(key, len(hosts), self._limit, is_wide, now_ms):
            return
        end_ms = until_ms(now_ms, start_ms)
        made = Reservation(key, rank_class, hosts, start_ms, now_ms, end_ms, is_wide)
        reservations.add(made, now_ms, "waits")
        self._kept.add(id(made))
        self._set_spare(made)

    def _lowest(self, rank_class: RankClass) -> Reservation | None:
        """Returns the lowest reservation of a lower class that is not kept yet."""
        others = [
            each for each in self.reservations.all() if id(each) not in self._kept
        ]
        last = max(others, key=lambda each: each.rank_class, default=None)
        return last if last is not None and last.rank_class > rank_class else None

    def _search(
        self, key: StepKey, step: StepSpec, allowed: Iterable[Host]
    ) -> tuple[float, dict[HostId, Resources]] | None:
        """Returns start time and hosts of the earliest start within the horizon."""
        label, count = step.required_label, step.count if step.is_gang else 1
        need, known, reserved = step.reserved, self.hosts, self.reservations.by_host
        candidates = [
            host
            for host in allowed
            if (info := host.info).id in known
            and info.id not in reserved
            and (not label or label in info.labels)
            and need.fits(info.capacity)
            and (
                host.used_by_lasting is NO_RESOURCES
                or need.fits(info.capacity.minus(host.used_by_lasting))
            )
        ]
        width = max(SEARCH_WIDTH, 2 * count)
        if len(candidates) > width:
            candidates = freest(step.reserved, candidates, width)
        groups = [candidates]
        if step.is_gang and step.is_same_rack:
            racks = sorted({host.info.rack for host in candidates})
            groups = [[h for h in candidates if h.info.rack == r] for r in racks]
            groups.append(candidates)
        horizon_ms = GANG_HORIZON_MS if step.is_gang else HORIZON_MS
        for group in groups:
            found = self._earliest(key, step, count, group)
            if found is not None and found[0] <= self.state.now_ms + horizon_ms:
                return found
        return None

    def _earliest(
        self, key: StepKey, step: StepSpec, count: int, hosts: list[Host]
    ) -> tuple[float, dict[HostId, Resources]] | None:
        """Returns when and where the first ``count`` tasks can start together."""
        rooms: list[RoomFor] = []
        for host in hosts:
            rooms += rooms_for(step, key, host, self._profile(host))
        far = {
            h.info.id for h in hosts if step.data_rack and h.info.rack != step.data_rack
        }
        rooms.sort(key=lambda room: (room.at_ms, room.host in far, -room.tasks))
        counts: dict[HostId, int] = {}
        for room in rooms:
            counts[room.host] = room.tasks
            surplus = sum(counts.values()) - count
            if surplus >= 0:
                counts[room.host] -= surplus
                need = step.reserved
                return room.at_ms, {h: need.times(n) for h, n in counts.items() if n}
        return None


def look_ahead(state: SchedulerState, hosts: list[Host]) -> LookAhead | None:
    """Returns the reservations for one plan, or None if the policy has none."""
    if not state.policy.look_ahead:
        return None
    capacities = [host.info.capacity for host in hosts]
    size = (
        Resources(*map(max, zip(*capacities, strict=True))) if hosts else NO_RESOURCES
    )
    large_from = state.shapes.large_from(size)
    ahead = LookAhead(state, {host.info.id: host for host in hosts}, large_from)
    ahead.refresh()
    return ahead
