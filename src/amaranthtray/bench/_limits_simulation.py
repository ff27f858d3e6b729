"""Entries that share limits, on a virtual clock, with faults at every interface.

The limit decisions are the production code; store, network, hosts and clocks are
fakes. The state machine test and the benchmark's seeded schedules use it.
"""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

from ..domain.ids import Incarnation, Millis, Revision, TeamName, Term, ZoneId
from ..domain.invariants.observations import LimitSet
from ..domain.limits import (
    EntryUnits,
    ReadRecord,
    ReadRow,
    RecordSeen,
    RowSeen,
    StoreEffect,
    StoreResult,
    UnitsGrant,
    UnitsReport,
    WriteFailed,
    WriteOutcomeUnknown,
    ZoneSteward,
)
from ._limits_event_queue import EventQueue
from ._limits_hosts import SimulatedHosts
from ._limits_parts import FAST_TIMING, EntryProcess, FaultProbabilities
from ._limits_store import LedgerStore

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..domain.invariants.observations import Observation
    from ..domain.limits import EscrowTiming

DUTY_TTL_MS = 800
TASK_MS = (40, 200, 1_000, 6_000, 20_000)


class LimitsSimulation:
    """Simulates zones of entries, the store and the hosts.

    Args:
        rng: Source of every random choice.
        observe: Receives task starts, task ends and limit changes at their true times.
        zones: Number of zones.
        entries: Entries in each zone.
        limits: Initial upper limits of the teams.
        faults: Probabilities of faults.
        timing: Durations of the escrow of limit units.
        task_ms: Durations; one is chosen at random for each task.
    """

    def __init__(
        self,
        rng: random.Random,
        observe: Callable[[Observation], object],
        *,
        zones: int = 2,
        entries: int = 2,
        limits: dict[TeamName, int],
        faults: FaultProbabilities | None = None,
        timing: EscrowTiming = FAST_TIMING,
        task_ms: tuple[int, ...] = TASK_MS,
    ) -> None:
        self.rng = rng
        self.timing = timing
        self.faults = faults or FaultProbabilities()
        self.store_calls: Counter[str] = Counter()
        self.zones_without_store: set[ZoneId] = set()
        self.is_store_down = False
        self.limits = dict(limits)
        self.revision = Revision(1)
        self.zones = [ZoneId(f"z{number}") for number in range(zones)]
        self.processes: list[EntryProcess] = []
        self._observe = observe
        self._events = EventQueue()
        self._store = LedgerStore(self._notify)
        self._hosts = SimulatedHosts(
            self._events,
            rng,
            observe,
            timing=timing,
            faults=self.faults,
            task_ms=task_ms,
        )
        self._duty: dict[ZoneId, tuple[EntryProcess, float]] = {}
        self._pending_lowered_limits: dict[TeamName, int] = {}
        self._highest_stale_limits: dict[TeamName, int] = {}
        for team, limit in limits.items():
            observe(LimitSet(0, team, limit))
        for zone in self.zones * entries:
            self.start_process(zone, f"{zone}-e{len(self.processes)}")

    # -- faults and operators ---------------------------------------------------

    def start_process(self, zone: ZoneId, entry: str) -> EntryProcess:
        """Starts a new incarnation of an entry."""
        incarnation = Incarnation(f"{entry}#{self._events.next_number()}")
        drift = self.timing.drift
        process = EntryProcess(
            zone,
            entry,
            EntryUnits(incarnation, self.timing),
            clock_rate=1 + self.rng.uniform(-drift, drift),
            clock_offset_ms=self.rng.uniform(0, 10**6),
        )
        process.units.set_limits(self.revision, self.limits, process.clock(0))
        self.processes.append(process)
        return process

    def crash(self, process: EntryProcess, *, replace_after_ms: float | None) -> None:
        """Ends a process; its replacement reports the end to the zone's steward."""
        process.is_alive = False
        self.processes.remove(process)
        if replace_after_ms is None:
            return

        def restart() -> None:
            self.start_process(process.zone, process.entry)
            ended = process.units.incarnation
            for peer in self.processes:
                if peer.zone == process.zone and peer.steward:
                    peer.steward.allocator.mark_incarnation_ended(
                        ended, peer.clock(self.now_ms)
                    )

        self._events.schedule(replace_after_ms, restart)

    def pause(self, process: EntryProcess, duration_ms: float) -> None:
        """Pauses a process; its clock continues to run."""
        self._events.pause(process, duration_ms)

    def heal(self) -> None:
        """Ends all partitions and outages; stewards list the ledger again."""
        self.zones_without_store.clear()
        self.is_store_down = False
        for process in self.processes:
            process.is_cut_off = False
            if process.steward:
                self._list_ledger(process)
        self._distribute_limits()
        for team, limit in self._pending_lowered_limits.items():
            self._observe(LimitSet(int(self.now_ms), team, limit))
        self._pending_lowered_limits.clear()
        self._highest_stale_limits.clear()

    def set_limit(self, team: TeamName, limit: int) -> None:
        """Commits a new upper limit and applies it at the processes within reach.

        If a process that is out of reach may still have a higher limit in force, the
        new limit is observed only at the next ``heal``.
        """
        before = self.limits.get(team, 0)
        self.limits[team] = limit
        self.revision = Revision(self.revision + 1)
        if all(self._can_reach_store(process) for process in self.processes):
            self._highest_stale_limits.pop(team, None)
        else:
            self._highest_stale_limits[team] = max(
                before, self._highest_stale_limits.get(team, 0)
            )
        if limit >= self._highest_stale_limits.get(team, 0):
            self._observe(LimitSet(int(self.now_ms), team, limit))
            self._pending_lowered_limits.pop(team, None)
        else:
            self._pending_lowered_limits[team] = limit
        self._distribute_limits()

    def _distribute_limits(self) -> None:
        for process in self.processes:
            if not self._can_reach_store(process):
                continue
            self._events.run_when_awake(process, partial(self._set_limits, process))

    def _set_limits(self, process: EntryProcess) -> None:
        now_ms = process.clock(self.now_ms)
        process.units.set_limits(self.revision, self.limits, now_ms)
        if process.steward:
            process.steward.set_limits(self.revision, self.limits, now_ms)

    # -- time -------------------------------------------------------------------

    @property
    def now_ms(self) -> float:
        """Returns the true time."""
        return self._events.now_ms

    @property
    def started(self) -> Counter[TeamName]:
        """Returns the number of tasks that hosts have started, by team."""
        return self._hosts.started

    def step(self, duration_ms: float) -> None:
        """Advances time, then runs the periodic work of every process."""
        self._events.advance(duration_ms)
        self._hosts.end_tasks()
        order = list(self.processes)
        self.rng.shuffle(order)
        for process in order:
            if self._events.is_awake(process):
                self._run_periodic_work(process)

    def _run_periodic_work(self, process: EntryProcess) -> None:
        self._acquire_or_renew_duty(process)
        if process.steward is not None:
            self._run_steward(process, process.steward)
        self._hosts.renew_tasks(process)
        self._hosts.start_tasks(process)
        self._send_report(process)

    # -- peers ------------------------------------------------------------------

    def _send(
        self, sender: EntryProcess, to: EntryProcess, action: Callable[[], object]
    ) -> None:
        """Delivers a message unless it is lost or an entry is cut off."""
        if sender is to:
            self._events.run_when_awake(to, action)
            return
        if sender.is_cut_off or to.is_cut_off or self.rng.random() < self.faults.drop:
            return
        copies = 1 + (self.rng.random() < self.faults.duplicate)
        for _ in range(copies):
            delay_ms = self.rng.uniform(0, 20)
            if self.rng.random() < self.faults.delay:
                delay_ms = self.rng.uniform(0, self.faults.max_delay_ms)
            self._events.schedule(
                delay_ms, lambda: self._events.run_when_awake(to, action)
            )

    def _send_report(self, process: EntryProcess) -> None:
        steward = process.followed_steward
        if steward is None or not steward.is_alive:
            return
        report = process.units.report(process.clock(self.now_ms))
        self._send(
            process, steward, lambda: self._handle_report(steward, process, report)
        )

    def _handle_report(
        self, steward: EntryProcess, sender: EntryProcess, report: UnitsReport
    ) -> None:
        if steward.steward is None:
            return
        now_ms = steward.clock(self.now_ms)
        grant = steward.steward.on_report(report, now_ms)
        if grant is not None:
            self._send(steward, sender, lambda: self._handle_grant(sender, grant))

    def _handle_grant(self, process: EntryProcess, grant: UnitsGrant) -> None:
        process.units.apply(grant, process.clock(self.now_ms))

    def _follow_steward(
        self, process: EntryProcess, steward: EntryProcess, term: int
    ) -> None:
        if term >= process.units.term:
            process.units.follow(Term(term))
            process.followed_steward = steward

    # -- stewards ---------------------------------------------------------------

    def _can_reach_store(self, process: EntryProcess) -> bool:
        is_cut = process.is_cut_off or process.zone in self.zones_without_store
        return not is_cut and not self.is_store_down

    def _acquire_or_renew_duty(self, process: EntryProcess) -> None:
        if not self._can_reach_store(process):
            return
        holder, until_ms = self._duty.get(process.zone, (process, -1.0))
        if holder is not process and until_ms > self.now_ms:
            process.steward = None
            return
        self._duty[process.zone] = (process, self.now_ms + DUTY_TTL_MS)
        if holder is not process or process.steward is None:
            incarnation = process.units.incarnation
            process.steward = ZoneSteward(process.zone, incarnation, self.timing)
            self._set_limits(process)
            self._list_ledger(process)
            now_ms = process.clock(self.now_ms)
            self._call_store(
                process, process.steward, process.steward.take_over(now_ms)
            )
        usable_ms = DUTY_TTL_MS * (1 - 2 * self.timing.drift)
        lease_until_ms = process.clock(self.now_ms) + usable_ms
        process.steward.lease_until_ms = Millis(int(lease_until_ms))

    def _run_steward(self, process: EntryProcess, steward: ZoneSteward) -> None:
        now_ms = process.clock(self.now_ms)
        if steward.is_superseded:
            process.steward = None
            return
        self._call_store(process, steward, steward.tick(now_ms))
        term = steward.term
        if not term:
            return
        for peer in self.processes:
            if peer.zone == process.zone:
                follow = partial(self._follow_steward, peer, process, term)
                self._send(process, peer, follow)

    def _call_store(
        self, process: EntryProcess, steward: ZoneSteward, effects: list[StoreEffect]
    ) -> None:
        for effect in effects:
            self.store_calls[type(effect).__name__] += 1
            delay_ms = self.rng.uniform(0, 10)
            self._events.schedule(
                delay_ms, partial(self._execute_in_store, process, steward, effect)
            )

    def _execute_in_store(
        self, process: EntryProcess, steward: ZoneSteward, effect: StoreEffect
    ) -> None:
        if isinstance(effect, ReadRow | ReadRecord):
            if self._can_reach_store(process):
                self._deliver_result(process, steward, self._store.read(effect))
            return
        if not self._can_reach_store(process):
            self._deliver_result(process, steward, WriteFailed(effect))
            return
        chance = self.rng.random()
        if chance < self.faults.delayed_write:
            wait_ms = self.rng.uniform(0, self.faults.max_delay_ms)
            self._events.schedule(wait_ms, lambda: self._store.write(effect))
            self._deliver_result(process, steward, WriteOutcomeUnknown(effect))
            return
        result: StoreResult = self._store.write(effect)
        if chance < self.faults.delayed_write + self.faults.lost_reply:
            result = WriteOutcomeUnknown(effect)
        self._deliver_result(process, steward, result)

    def _deliver_result(
        self, process: EntryProcess, steward: ZoneSteward, result: StoreResult
    ) -> None:
        def handle_result() -> None:
            if process.steward is steward:
                further = steward.on_store(result, process.clock(self.now_ms))
                self._call_store(process, steward, further)

        self._events.schedule(
            self.rng.uniform(0, 10),
            lambda: self._events.run_when_awake(process, handle_result),
        )

    def _notify(self, result: RowSeen | RecordSeen) -> None:
        for process in self.processes:
            if process.steward is not None and self._can_reach_store(process):
                self._deliver_result(process, process.steward, result)

    def _list_ledger(self, process: EntryProcess) -> None:
        steward = process.steward
        if steward is None:
            return
        now_ms = process.clock(self.now_ms)
        for item in self._store.items():
            steward.on_store(item, now_ms)
