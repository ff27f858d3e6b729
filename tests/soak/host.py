"""Stand-in of a host, as the platform's pages describe a worker."""

from __future__ import annotations

import json
import random
import threading
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from amaranthtray.domain.ids import HostId
from amaranthtray.domain.jobs.model import TaskName
from amaranthtray.domain.jobs.task import RunOutcome
from soak.wire import RESET, SILENCE, Call, Reply, StandInServer

if TYPE_CHECKING:
    from soak.observer import Observer
    from soak.store import StoreStandIn

HEARTBEAT_S = 1.5
TICK_S = 0.005
STOP_S = 0.2
MAX_ENDS = 500
MAX_HOLD_MS = 10_000
CORES = 16_000


@dataclass(slots=True)
class _Run:
    """A run; times are seconds of the steady clock."""

    name: TaskName
    number: int
    cpu: int
    work_s: float
    gang: int
    started_s: float = field(default_factory=time.monotonic)
    stops_s: float | None = None


@dataclass(slots=True)
class _End:
    sequence: int
    run: _Run
    how: RunOutcome
    ended_s: float


@dataclass(slots=True)
class _Life:
    """One incarnation of a host."""

    born_ms: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    begun_s: float = field(default_factory=time.monotonic)
    token: int = 0
    lease_ms: int = 0
    lapsed_s: float = 0.0
    running: dict[tuple[TaskName, int], _Run] = field(default_factory=dict)
    ends: list[_End] = field(default_factory=list)
    sequence: int = 0
    highest: dict[TaskName, int] = field(default_factory=dict)
    is_over: bool = False

    def clock_ms(self) -> int:
        return 1_000 + int((time.monotonic() - self.begun_s) * 1_000)


class HostStandIn:
    """One host; its faults are set by the soak.

    Attributes:
        unanswered_share: Share of the starts that get no reply and are not carried out.
        late_share: Share of the starts that get no reply and are carried out late.
        refused_share: Share of the starts that are refused as the host is unhealthy.
    """

    def __init__(
        self, name: str, pool: str, store: StoreStandIn, observer: Observer, seed: int
    ) -> None:
        self.name, self.pool = HostId(name), pool
        self.unanswered_share = self.late_share = self.refused_share = 0.0
        self._store, self._observer = store, observer
        self._rng = random.Random(f"{seed}/{name}")
        self._changed = threading.Condition()
        self._life = _Life()
        self._sequence = 0
        self._leaving_s: float | None = None
        self.server = StandInServer(self._handle)
        for task in (self._tick, self._beat):
            threading.Thread(target=task, daemon=True).start()

    @property
    def is_up(self) -> bool:
        return not self._life.is_over

    @property
    def is_leaving(self) -> bool:
        return self._leaving_s is not None

    def answer_all(self) -> None:
        """Answers all starts again."""
        self.unanswered_share = self.late_share = self.refused_share = 0.0

    def leave(self, serves_s: float) -> None:
        """Says that it leaves, serves on for a while and ends for good."""
        self._leaving_s = time.monotonic() + serves_s
        self._write_entry("draining")
        self._leaving_s = time.monotonic()
        threading.Timer(serves_s, self._end_life, (True,)).start()

    def crash(self, back_after_s: float | None) -> None:
        """Ends at once; is back under its id after a while, or never."""
        self._end_life(back_after_s is None)
        if back_after_s is not None:
            threading.Timer(back_after_s, self._restart).start()

    def _end_life(self, is_removed: bool) -> None:
        with self._changed:
            self._life.is_over = True
            for run in self._life.running.values():
                self._observer.record_end(run.name, run.number, self.name)
            self._changed.notify_all()
        self.server.close()
        if is_removed:
            self._store.remove(f"servers/{self.name}")

    def _restart(self) -> None:
        with self._changed:
            self._life = _Life()
        self.server.open()

    def _beat(self) -> None:
        while True:
            if self.is_up:
                is_leaving = self._leaving_s is not None
                self._write_entry("draining" if is_leaving else "ready")
            time.sleep(HEARTBEAT_S)

    def _write_entry(self, state: str) -> None:
        with self._changed:
            self._sequence += 1
            entry = {
                "service": self.pool,
                "address": self.server.address,
                "zone": "z",
                "version": "1",
                "slots": 8,
                "state": state,
                "coldRemainingMs": 0,
                "sequence": self._sequence,
                "born": self._life.born_ms,
                "machine": f"m-{self.name}",
                "capacity": {"cpu": CORES, "requestedMemoryMb": 65_536, "gpu": 0},
                "labels": ["a", "r"],
            }
            if state == "draining":
                entry["remainingMs"] = 500
            self._store.write(f"servers/{self.name}", entry)

    def _tick(self) -> None:
        while True:
            time.sleep(TICK_S)
            with self._changed:
                life, now_s = self._life, time.monotonic()
                has_lapsed = bool(life.running) and life.clock_ms() >= life.lease_ms
                if has_lapsed:
                    life.lapsed_s = now_s
                for run in list(life.running.values()):
                    if life.is_over:
                        break
                    if self._is_done(run, now_s):
                        self._end(life, run, RunOutcome.DONE)
                    elif run.stops_s is not None and now_s >= run.stops_s:
                        self._end(life, run, RunOutcome.STOPPED)
                    elif has_lapsed:
                        self._end(life, run, RunOutcome.LAPSED)

    def _is_done(self, run: _Run, now_s: float) -> bool:
        """Returns whether a run has done its work; members of a gang end together."""
        begun_s: float | None = run.started_s
        if run.gang:
            begun_s = self._observer.gang_begun_s(run.name, run.number, run.gang)
        return begun_s is not None and now_s >= begun_s + run.work_s

    def _end(self, life: _Life, run: _Run, how: RunOutcome) -> None:
        del life.running[run.name, run.number]
        life.highest[run.name] = max(life.highest.get(run.name, 0), run.number)
        life.sequence += 1
        life.ends.append(_End(life.sequence, run, how, time.monotonic()))
        if how is RunOutcome.DONE:
            self._observer.record_done(run.name)
        self._observer.record_end(run.name, run.number, self.name)
        self._changed.notify_all()

    def _handle(self, call: Call) -> Reply:
        if call.headers.get("Expected-Instance", self.name) != self.name:
            return Reply(421)
        life, draw = self._life, self._rng.random()
        if call.path == "/v1/run-start":
            if draw < self.unanswered_share:
                return SILENCE
            draw -= self.unanswered_share
            if draw < self.late_share:
                late = (call, life, True)
                threading.Timer(self._rng.uniform(2, 6), self._carry_out, late).start()
                return SILENCE
            if draw - self.late_share < self.refused_share:
                return Reply(503)
        return self._carry_out(call, life, False)

    def _carry_out(self, call: Call, life: _Life, is_late: bool) -> Reply:
        with self._changed:
            token = int(call.body.get("fencingToken", 0))
            if life.is_over or life is not self._life:
                return RESET
            if token < life.token:
                return self._reply(life, 409, reason="fence")
            life.token = token
            match call.path:
                case "/v1/run-start":
                    return self._start(call.body, life, is_late)
                case "/v1/run-stop":
                    return self._stop(call.body, life)
                case "/v1/hold":
                    return self._hold(call.body, life)
        return self._reply(life, 200)

    def _start(self, body: dict[str, Any], life: _Life, is_late: bool) -> Reply:
        name, number = TaskName.parse(body["task"]), int(body["run"])
        assert name is not None
        if (name, number) in life.running:
            return self._reply(life, 200)
        if body["untilMs"] <= life.clock_ms():
            return self._reply(life, 409, reason="late")
        self._extend(life, body["untilMs"])
        if number <= life.highest.get(name, 0):
            return self._reply(life, 409, reason="old")
        work = json.loads(body["spec"])
        if sum(run.cpu for run in life.running.values()) + work["cpu"] > CORES:
            return self._reply(life, 409, reason="room")
        run = _Run(name, number, work["cpu"], work["ms"] / 1_000, work.get("gang", 0))
        life.running[name, number] = run
        if run.gang:
            self._observer.record_gang_member(name, number)
        leaving_s = None
        if self._leaving_s is not None and not is_late:
            leaving_s = time.monotonic() - self._leaving_s
        self._observer.record_start(name, number, self.name, leaving_s=leaving_s)
        return self._reply(life, 200)

    def _stop(self, body: dict[str, Any], life: _Life) -> Reply:
        name, number = TaskName.parse(body["task"]), int(body["run"])
        assert name is not None
        run = life.running.get((name, number))
        if run is None:
            life.highest[name] = max(life.highest.get(name, 0), number)
        elif run.stops_s is None:
            run.stops_s = time.monotonic() + STOP_S
        return self._reply(life, 200)

    def _hold(self, body: dict[str, Any], life: _Life) -> Reply:
        if body.get("untilMs") is not None:
            self._extend(life, body["untilMs"])
        self._forget(life, int(body.get("acknowledged", 0)))
        end_s = time.monotonic() + int(body.get("waitMs", 0)) / 1_000
        while not life.ends and not life.is_over and time.monotonic() < end_s:
            self._changed.wait(max(end_s - time.monotonic(), 0))
        if life.is_over:
            return RESET
        running = [
            [str(run.name), run.number, "", 50, run.cpu]
            for run in life.running.values()
        ]
        finished = [
            [end.sequence, str(end.run.name), end.run.number, end.how, ""]
            for end in life.ends[:MAX_ENDS]
        ]
        return self._reply(life, 200, running=running, finished=finished)

    def _forget(self, life: _Life, acknowledged: int) -> None:
        for end in life.ends:
            # An end counts as noted unless the lease has lapsed before it was.
            if end.sequence <= acknowledged and end.ended_s >= life.lapsed_s:
                self._observer.record_acknowledged(end.run.name, end.how)
        life.ends = [end for end in life.ends if end.sequence > acknowledged]

    def _extend(self, life: _Life, until_ms: int) -> None:
        longest_ms = life.clock_ms() + MAX_HOLD_MS
        life.lease_ms = max(life.lease_ms, min(until_ms, longest_ms))

    def _reply(self, life: _Life, status: int, **fields: object) -> Reply:
        return Reply(
            status, {"clockMs": life.clock_ms(), "born": life.born_ms, **fields}
        )
