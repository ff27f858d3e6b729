"""A fleet of limit holders on a virtual clock, with faults at every interface.

Only the decisions are real: store, network, hosts and clocks are small fakes. It
serves the state machine in the tests and the seeded schedules of the benchmark.
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
from ._limits_event_queue import Timeline
from ._limits_hosts import Hosts
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
    """Zones of entries, the store and the hosts.

    Args:
        rng: Source of every random choice.
        observe: Receives what an all-seeing observer records.
        zones: Number of zones.
        entries: Entries in each zone.
        limits: Upper limits at the start.
        faults: Chances of faults.
        timing: Durations of the escrow.
        task_ms: Times of which one is drawn for each task.
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
        self._time = Timeline()
        self._store = LedgerStore(self._notify)
        self._hosts = Hosts(
            self._time,
            rng,
            observe,
            timing=timing,
            faults=self.faults,
            task_ms=task_ms,
        )
        self._duty: dict[ZoneId, tuple[EntryProcess, float]] = {}
        self._overdue_lowered: dict[TeamName, int] = {}
        self._unheard: dict[TeamName, int] = {}
        for team, limit in limits.items():
            observe(LimitSet(0, team, limit))
        for zone in self.zones * entries:
            self.start_process(zone, f"{zone}-e{len(self.processes)}")

    # -- faults and operators ---------------------------------------------------

    def start_process(self, zone: ZoneId, entry: str) -> EntryProcess:
        """Starts a run of an entry."""
        incarnation = Incarnation(f"{entry}#{self._time.number()}")
        drift = self.timing.drift
        process = EntryProcess(
            zone,
            entry,
            EntryUnits(incarnation, self.timing),
            rate=1 + self.rng.uniform(-drift, drift),
            offset=self.rng.uniform(0, 10**6),
        )
        process.holding.set_limits(self.revision, self.limits, process.clock(0))
        self.processes.append(process)
        return process

    def crash(self, process: EntryProcess, *, replace_after_ms: float | None) -> None:
        """Ends a run; the entry's next run is known to have replaced it."""
        process.is_alive = False
        self.processes.remove(process)
        if replace_after_ms is None:
            return

        def restart() -> None:
            self.start_process(process.zone, process.entry)
            gone = process.holding.incarnation
            for peer in self.processes:
                if peer.zone == process.zone and peer.steward:
                    peer.steward.allocator.mark_incarnation_ended(
                        gone, peer.clock(self.now_ms)
                    )

        self._time.after(replace_after_ms, restart)

    def pause(self, process: EntryProcess, duration_ms: float) -> None:
        """Stops a process for a while; its clock runs on."""
        self._time.pause(process, duration_ms)

    def heal(self) -> None:
        """Ends every cut and outage; stewards list the ledger again."""
        self.zones_without_store.clear()
        self.is_store_down = False
        for process in self.processes:
            process.is_cut_off = False
            if process.steward:
                self._list_ledger(process)
        self._apply_configuration()
        for team, limit in self._overdue_lowered.items():
            self._observe(LimitSet(int(self.now_ms), team, limit))
        self._overdue_lowered.clear()
        self._unheard.clear()

    def set_limit(self, team: TeamName, limit: int) -> None:
        """Commits a new upper limit, in force at once where it can be known.

        A limit below one that a process out of reach may still have in force counts
        from the next ``heal`` on.
        """
        before = self.limits.get(team, 0)
        self.limits[team] = limit
        self.revision = Revision(self.revision + 1)
        if all(self._reaches_store(process) for process in self.processes):
            self._unheard.pop(team, None)
        else:
            self._unheard[team] = max(before, self._unheard.get(team, 0))
        if limit >= self._unheard.get(team, 0):
            self._observe(LimitSet(int(self.now_ms), team, limit))
            self._overdue_lowered.pop(team, None)
        else:
            self._overdue_lowered[team] = limit
        self._apply_configuration()

    def _apply_configuration(self) -> None:
        for process in self.processes:
            if not self._reaches_store(process):
                continue
            self._time.when_awake(process, partial(self._configure, process))

    def _configure(self, process: EntryProcess) -> None:
        now_ms = process.clock(self.now_ms)
        process.holding.set_limits(self.revision, self.limits, now_ms)
        if process.steward:
            process.steward.set_limits(self.revision, self.limits, now_ms)

    # -- time -------------------------------------------------------------------

    @property
    def now_ms(self) -> float:
        """Returns the true time."""
        return self._time.now_ms

    @property
    def started(self) -> Counter[TeamName]:
        """Returns the tasks that hosts have started, by team."""
        return self._hosts.started

    def step(self, duration_ms: float) -> None:
        """Lets time pass, then lets every process do its periodic work."""
        self._time.run(duration_ms)
        self._hosts.end_tasks()
        order = list(self.processes)
        self.rng.shuffle(order)
        for process in order:
            if self._time.is_awake(process):
                self._work(process)

    def _work(self, process: EntryProcess) -> None:
        self._hold_duty(process)
        if process.steward is not None:
            self._work_as_steward(process, process.steward)
        self._hosts.renew_tasks(process)
        self._hosts.start_tasks(process)
        self._send_report(process)

    # -- peers ------------------------------------------------------------------

    def _send(
        self, sender: EntryProcess, to: EntryProcess, act: Callable[[], object]
    ) -> None:
        """Delivers a message unless it is lost or a cut is in between."""
        if sender is to:
            self._time.when_awake(to, act)
            return
        if sender.is_cut_off or to.is_cut_off or self.rng.random() < self.faults.drop:
            return
        copies = 1 + (self.rng.random() < self.faults.repeat)
        for _ in range(copies):
            delay_ms = self.rng.uniform(0, 20)
            if self.rng.random() < self.faults.late:
                delay_ms = self.rng.uniform(0, self.faults.late_ms)
            self._time.after(delay_ms, lambda: self._time.when_awake(to, act))

    def _send_report(self, process: EntryProcess) -> None:
        steward = process.follows
        if steward is None or not steward.is_alive:
            return
        report = process.holding.report(process.clock(self.now_ms))
        self._send(
            process, steward, lambda: self._take_report(steward, process, report)
        )

    def _take_report(
        self, steward: EntryProcess, sender: EntryProcess, report: UnitsReport
    ) -> None:
        if steward.steward is None:
            return
        now_ms = steward.clock(self.now_ms)
        grant = steward.steward.on_report(report, now_ms)
        if grant is not None:
            self._send(steward, sender, lambda: self._take_grant(sender, grant))

    def _take_grant(self, process: EntryProcess, grant: UnitsGrant) -> None:
        process.holding.apply(grant, process.clock(self.now_ms))

    def _hear_steward(
        self, process: EntryProcess, steward: EntryProcess, term: int
    ) -> None:
        if term >= process.holding.term:
            process.holding.follow(Term(term))
            process.follows = steward

    # -- stewards ---------------------------------------------------------------

    def _reaches_store(self, process: EntryProcess) -> bool:
        is_cut = process.is_cut_off or process.zone in self.zones_without_store
        return not is_cut and not self.is_store_down

    def _hold_duty(self, process: EntryProcess) -> None:
        if not self._reaches_store(process):
            return
        holder, until_ms = self._duty.get(process.zone, (process, -1.0))
        if holder is not process and until_ms > self.now_ms:
            process.steward = None
            return
        self._duty[process.zone] = (process, self.now_ms + DUTY_TTL_MS)
        if holder is not process or process.steward is None:
            incarnation = process.holding.incarnation
            process.steward = ZoneSteward(process.zone, incarnation, self.timing)
            self._configure(process)
            self._list_ledger(process)
            now_ms = process.clock(self.now_ms)
            self._call_store(
                process, process.steward, process.steward.take_over(now_ms)
            )
        usable_ms = DUTY_TTL_MS * (1 - 2 * self.timing.drift)
        lease_until_ms = process.clock(self.now_ms) + usable_ms
        process.steward.lease_until_ms = Millis(int(lease_until_ms))

    def _work_as_steward(self, process: EntryProcess, steward: ZoneSteward) -> None:
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
                hear = partial(self._hear_steward, peer, process, term)
                self._send(process, peer, hear)

    def _call_store(
        self, process: EntryProcess, steward: ZoneSteward, effects: list[StoreEffect]
    ) -> None:
        for effect in effects:
            self.store_calls[type(effect).__name__] += 1
            delay_ms = self.rng.uniform(0, 10)
            self._time.after(
                delay_ms, partial(self._store_takes, process, steward, effect)
            )

    def _store_takes(
        self, process: EntryProcess, steward: ZoneSteward, effect: StoreEffect
    ) -> None:
        if isinstance(effect, ReadRow | ReadRecord):
            if self._reaches_store(process):
                self._reply(process, steward, self._store.read(effect))
            return
        if not self._reaches_store(process):
            self._reply(process, steward, WriteFailed(effect))
            return
        chance = self.rng.random()
        if chance < self.faults.late_write:
            wait_ms = self.rng.uniform(0, self.faults.late_ms)
            self._time.after(wait_ms, lambda: self._store.write(effect))
            self._reply(process, steward, WriteOutcomeUnknown(effect))
            return
        result: StoreResult = self._store.write(effect)
        if chance < self.faults.late_write + self.faults.lost_reply:
            result = WriteOutcomeUnknown(effect)
        self._reply(process, steward, result)

    def _reply(
        self, process: EntryProcess, steward: ZoneSteward, result: StoreResult
    ) -> None:
        def hear() -> None:
            if process.steward is steward:
                further = steward.on_store(result, process.clock(self.now_ms))
                self._call_store(process, steward, further)

        self._time.after(
            self.rng.uniform(0, 10), lambda: self._time.when_awake(process, hear)
        )

    def _notify(self, result: RowSeen | RecordSeen) -> None:
        for process in self.processes:
            if process.steward is not None and self._reaches_store(process):
                self._reply(process, process.steward, result)

    def _list_ledger(self, process: EntryProcess) -> None:
        steward = process.steward
        if steward is None:
            return
        now_ms = process.clock(self.now_ms)
        for item in self._store.items():
            steward.on_store(item, now_ms)
