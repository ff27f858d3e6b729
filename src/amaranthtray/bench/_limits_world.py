"""A fleet of limit holders on a virtual clock, with faults at every interface.

Only the decisions are real: store, network, hosts and clocks are small fakes. It
serves the state machine in the tests and the seeded schedules of the benchmark.
"""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from ..domain.ids import (
    AttemptId,
    HostId,
    Incarnation,
    Millis,
    RequestId,
    Revision,
    TeamName,
    Term,
    ZoneId,
)
from ..domain.invariants.observations import LimitSet, TaskEnded, TaskStarted
from ..domain.limits import (
    EntryHolding,
    EscrowTiming,
    ReadRecord,
    ReadRow,
    RecordSeen,
    RowSeen,
    StoreEffect,
    StoreResult,
    TeamRow,
    UnitsGrant,
    UnitsReport,
    WriteFailed,
    WriteRecord,
    WriteRow,
    WriteUnknown,
    ZoneRecord,
    ZoneSteward,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..domain.invariants.observations import Observation

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

DUTY_TTL_MS = 800
MAX_START_MS = 60
TASK_MS = (40, 200, 1_000, 6_000, 20_000)


@dataclass(slots=True)
class Faults:
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
    owner: Process
    lease_until_ms: float
    end_ms: float


@dataclass(slots=True, eq=False)
class Process:
    """One run of an entry, with a clock of its own."""

    zone: ZoneId
    entry: str
    holding: EntryHolding
    rate: float
    offset: float
    steward: ZoneSteward | None = None
    follows: Process | None = None
    session_until_ms: float = -1.0
    paused_until_ms: float = -1.0
    is_alive: bool = True
    is_cut_off: bool = False
    running: dict[AttemptId, TeamName] = field(default_factory=dict)
    backlog: Counter[TeamName] = field(default_factory=Counter)

    def clock(self, true_ms: float) -> Millis:
        """Returns the time on the process's own monotonic clock."""
        return Millis(int(self.offset + true_ms * self.rate))


class LimitsWorld:
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
        faults: Faults | None = None,
        timing: EscrowTiming = FAST_TIMING,
        task_ms: tuple[int, ...] = TASK_MS,
    ) -> None:
        self.rng = rng
        self.timing = timing
        self.task_ms = task_ms
        self.faults = faults or Faults()
        self.now_ms = 0.0
        self.started: Counter[TeamName] = Counter()
        self.store_calls: Counter[str] = Counter()
        self.cut_zones: set[ZoneId] = set()
        self.is_store_down = False
        self.tasks: dict[AttemptId, Task] = {}
        self.limits = dict(limits)
        self.revision = Revision(1)
        self.zones = [ZoneId(f"z{number}") for number in range(zones)]
        self.processes: list[Process] = []
        self._observe = observe
        self._rows: dict[TeamName, tuple[TeamRow, int]] = {}
        self._records: dict[ZoneId, tuple[ZoneRecord, int]] = {}
        self._duty: dict[ZoneId, tuple[Process, float]] = {}
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._count = 0
        self._overdue_lowered: dict[TeamName, int] = {}
        self._unheard: dict[TeamName, int] = {}
        for team, limit in limits.items():
            observe(LimitSet(0, team, limit))
        for zone in self.zones:
            for number in range(entries):
                self.spawn(zone, f"{zone}-e{number}")

    # -- faults and operators ---------------------------------------------------

    def spawn(self, zone: ZoneId, entry: str) -> Process:
        """Starts a run of an entry."""
        self._count += 1
        incarnation = Incarnation(f"{entry}#{self._count}")
        drift = self.timing.drift
        process = Process(
            zone,
            entry,
            EntryHolding(incarnation, self.timing),
            rate=1 + self.rng.uniform(-drift, drift),
            offset=self.rng.uniform(0, 10**6),
        )
        process.holding.set_limits(self.revision, self.limits, process.clock(0))
        self.processes.append(process)
        return process

    def crash(self, process: Process, *, replace_after_ms: float | None) -> None:
        """Ends a run; the entry's next run is known to have replaced it."""
        process.is_alive = False
        self.processes.remove(process)
        if replace_after_ms is None:
            return

        def restart() -> None:
            self.spawn(process.zone, process.entry)
            gone = process.holding.incarnation
            for peer in self.processes:
                if peer.zone == process.zone and peer.steward:
                    peer.steward.holding.note_gone(gone, peer.clock(self.now_ms))

        self.after(replace_after_ms, restart)

    def pause(self, process: Process, duration_ms: float) -> None:
        """Stops a process for a while; its clock runs on."""
        process.paused_until_ms = max(
            process.paused_until_ms, self.now_ms + duration_ms
        )

    def heal(self) -> None:
        """Ends every cut and outage; stewards list the ledger again."""
        self.cut_zones.clear()
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
            self._when_awake(process, partial(self._configure, process))

    def _configure(self, process: Process) -> None:
        now_ms = process.clock(self.now_ms)
        process.holding.set_limits(self.revision, self.limits, now_ms)
        if process.steward:
            process.steward.set_limits(self.revision, self.limits, now_ms)

    # -- time -------------------------------------------------------------------

    def after(self, delay_ms: float, act: Callable[[], object]) -> None:
        """Runs ``act`` after ``delay_ms``."""
        self._count += 1
        heapq.heappush(self._events, (self.now_ms + delay_ms, self._count, act))

    def step(self, duration_ms: float) -> None:
        """Lets time pass, then lets every process do its periodic work."""
        until_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, act = heapq.heappop(self._events)
            act()
        self.now_ms = until_ms
        self._end_tasks()
        order = list(self.processes)
        self.rng.shuffle(order)
        for process in order:
            if self._is_awake(process):
                self._work(process)

    def _is_awake(self, process: Process) -> bool:
        return process.is_alive and process.paused_until_ms <= self.now_ms

    def _when_awake(self, process: Process, act: Callable[[], object]) -> None:
        if self._is_awake(process):
            act()
        elif process.is_alive:
            wait_ms = process.paused_until_ms - self.now_ms
            self.after(wait_ms, lambda: self._when_awake(process, act))

    def _work(self, process: Process) -> None:
        self._hold_duty(process)
        if process.steward is not None:
            self._work_as_steward(process, process.steward)
        self._renew_tasks(process)
        self._start_tasks(process)
        self._send_report(process)

    # -- tasks ------------------------------------------------------------------

    def _start_tasks(self, process: Process) -> None:
        now_ms = process.clock(self.now_ms)
        for team, waiting in list(process.backlog.items()):
            while waiting and process.holding.try_take(team, now_ms):
                waiting -= 1
                self._send_start(process, team)
            process.backlog[team] = waiting
            process.holding.note_demand(team, waiting, now_ms)

    def _send_start(self, process: Process, team: TeamName) -> None:
        self._count += 1
        attempt_id = AttemptId(f"a{self._count}")
        process.running[attempt_id] = team
        run_ms = self.rng.choice(self.task_ms)
        delay_ms = self.rng.uniform(0, MAX_START_MS)
        if process.paused_until_ms > self.now_ms:
            delay_ms += process.paused_until_ms - self.now_ms

        def arrive() -> None:
            if process.session_until_ms <= self.now_ms:
                self._tell_over(process, attempt_id, team)
                return
            lease_ms = self.now_ms + self.timing.task_lease_ms
            end_ms = self.now_ms + run_ms
            task = Task(attempt_id, team, process, lease_ms, end_ms)
            self.tasks[attempt_id] = task
            self.started[team] += 1
            self._observe(
                TaskStarted(
                    int(self.now_ms),
                    RequestId(attempt_id),
                    team,
                    attempt_id,
                    HostId("h"),
                    True,
                )
            )

        self.after(delay_ms, arrive)

    def _renew_tasks(self, process: Process) -> None:
        """Renews leases as far as allowed; the process may be paused in between."""
        now_ms = process.clock(self.now_ms)
        allowed: Counter[TeamName] = Counter()
        for team in set(process.running.values()):
            allowed[team] = process.holding.renewable(team, now_ms)
        renewed = []
        for attempt_id, team in list(process.running.items()):
            if allowed[team] > 0:
                allowed[team] -= 1
                renewed.append(attempt_id)
            else:
                self._stop(attempt_id)
        delay_ms = self.rng.uniform(0, MAX_START_MS)
        if self.rng.random() < self.faults.late:
            self.pause(process, self.rng.uniform(0, 2 * self.timing.task_lease_ms))
            delay_ms += process.paused_until_ms - self.now_ms
        self.after(delay_ms, lambda: self._renewal_arrives(process, renewed))

    def _renewal_arrives(self, process: Process, renewed: list[AttemptId]) -> None:
        until_ms = self.now_ms + self.timing.task_lease_ms
        process.session_until_ms = until_ms
        for attempt_id in renewed:
            task = self.tasks.get(attempt_id)
            if task is not None and task.lease_until_ms > self.now_ms:
                task.lease_until_ms = until_ms

    def _stop(self, attempt_id: AttemptId) -> None:
        task = self.tasks.get(attempt_id)
        if task is not None and self.rng.random() >= self.faults.drop:
            task.end_ms = min(task.end_ms, self.now_ms + MAX_START_MS)

    def _end_tasks(self) -> None:
        for task in list(self.tasks.values()):
            end_ms = min(task.end_ms, task.lease_until_ms)
            if end_ms > self.now_ms:
                continue
            del self.tasks[task.attempt_id]
            self._observe(TaskEnded(int(end_ms), task.attempt_id))
            self._tell_over(task.owner, task.attempt_id, task.team)

    def _tell_over(self, owner: Process, attempt_id: AttemptId, team: TeamName) -> None:
        def hear() -> None:
            if owner.running.pop(attempt_id, None) is not None:
                owner.holding.give_back(team, owner.clock(self.now_ms))

        delay_ms = self.rng.uniform(0, MAX_START_MS)
        if self.rng.random() < self.faults.late:
            delay_ms += self.rng.uniform(0, self.faults.late_ms)
        self.after(delay_ms, lambda: self._when_awake(owner, hear))

    # -- peers ------------------------------------------------------------------

    def _send(self, sender: Process, to: Process, act: Callable[[], object]) -> None:
        """Delivers a message unless it is lost or a cut is in between."""
        if sender is to:
            self._when_awake(to, act)
            return
        if sender.is_cut_off or to.is_cut_off or self.rng.random() < self.faults.drop:
            return
        copies = 1 + (self.rng.random() < self.faults.repeat)
        for _ in range(copies):
            delay_ms = self.rng.uniform(0, 20)
            if self.rng.random() < self.faults.late:
                delay_ms = self.rng.uniform(0, self.faults.late_ms)
            self.after(delay_ms, lambda: self._when_awake(to, act))

    def _send_report(self, process: Process) -> None:
        steward = process.follows
        if steward is None or not steward.is_alive:
            return
        report = process.holding.report(process.clock(self.now_ms))
        self._send(
            process, steward, lambda: self._take_report(steward, process, report)
        )

    def _take_report(
        self, steward: Process, sender: Process, report: UnitsReport
    ) -> None:
        if steward.steward is None:
            return
        now_ms = steward.clock(self.now_ms)
        grant = steward.steward.on_report(report, now_ms)
        if grant is not None:
            self._send(steward, sender, lambda: self._take_grant(sender, grant))

    def _take_grant(self, process: Process, grant: UnitsGrant) -> None:
        process.holding.apply(grant, process.clock(self.now_ms))

    def _hear_steward(self, process: Process, steward: Process, term: int) -> None:
        if term >= process.holding.term:
            process.holding.follow(Term(term))
            process.follows = steward

    # -- stewards ---------------------------------------------------------------

    def _reaches_store(self, process: Process) -> bool:
        is_cut = process.is_cut_off or process.zone in self.cut_zones
        return not is_cut and not self.is_store_down

    def _hold_duty(self, process: Process) -> None:
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

    def _work_as_steward(self, process: Process, steward: ZoneSteward) -> None:
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
        self, process: Process, steward: ZoneSteward, effects: list[StoreEffect]
    ) -> None:
        for effect in effects:
            self.store_calls[type(effect).__name__] += 1
            delay_ms = self.rng.uniform(0, 10)
            self.after(delay_ms, partial(self._store_takes, process, steward, effect))

    def _store_takes(
        self, process: Process, steward: ZoneSteward, effect: StoreEffect
    ) -> None:
        if isinstance(effect, ReadRow | ReadRecord):
            if self._reaches_store(process):
                self._reply(process, steward, self._read(effect))
            return
        if not self._reaches_store(process):
            self._reply(process, steward, WriteFailed(effect))
            return
        chance = self.rng.random()
        if chance < self.faults.late_write:
            wait_ms = self.rng.uniform(0, self.faults.late_ms)
            self.after(wait_ms, lambda: self._write(effect))
            self._reply(process, steward, WriteUnknown(effect))
            return
        result = self._write(effect)
        if chance < self.faults.late_write + self.faults.lost_reply:
            result = WriteUnknown(effect)
        self._reply(process, steward, result)

    def _reply(
        self, process: Process, steward: ZoneSteward, result: StoreResult
    ) -> None:
        def hear() -> None:
            if process.steward is steward:
                further = steward.on_store(result, process.clock(self.now_ms))
                self._call_store(process, steward, further)

        self.after(self.rng.uniform(0, 10), lambda: self._when_awake(process, hear))

    def _read(self, effect: ReadRow | ReadRecord) -> StoreResult:
        if isinstance(effect, ReadRow):
            row, version = self._rows.get(effect.team, (TeamRow(), 0))
            return RowSeen(effect.team, row, version)
        record, at = self._records.get(effect.zone, (ZoneRecord(), 0))
        return RecordSeen(effect.zone, record, at)

    def _write(self, effect: WriteRow | WriteRecord) -> StoreResult:
        """Compares and swaps; returns what the key holds afterwards."""
        result: StoreResult
        if isinstance(effect, WriteRow):
            if self._rows.get(effect.team, (None, 0))[1] == effect.version:
                self._rows[effect.team] = (effect.row, effect.version + 1)
                result = RowSeen(effect.team, effect.row, effect.version + 1)
                self._notify(result)
            return self._read(ReadRow(effect.team))
        if self._records.get(effect.zone, (None, 0))[1] == effect.version:
            self._records[effect.zone] = (effect.record, effect.version + 1)
            result = RecordSeen(effect.zone, effect.record, effect.version + 1)
            self._notify(result)
        return self._read(ReadRecord(effect.zone))

    def _notify(self, result: StoreResult) -> None:
        for process in self.processes:
            if process.steward is not None and self._reaches_store(process):
                self._reply(process, process.steward, result)

    def _list_ledger(self, process: Process) -> None:
        steward = process.steward
        if steward is None:
            return
        now_ms = process.clock(self.now_ms)
        for zone, (record, version) in self._records.items():
            steward.on_store(RecordSeen(zone, record, version), now_ms)
        for team, (row, version) in self._rows.items():
            steward.on_store(RowSeen(team, row, version), now_ms)
