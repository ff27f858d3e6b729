"""Stand-in of a worker and of the machine that it is a life of.

What a task does follows from its job's ``spec``, a JSON text with ``ms`` (its work)
and ``cpu`` (what it takes of the worker). The members of a gang all begin within
milliseconds here, so that a gang's tasks can work like others.
"""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from wire import NO_REPLY, Call, Server

if TYPE_CHECKING:
    from record import Record
    from store import Store

ENDS_PER_ANSWER = 500
HEARTBEAT_S = 1.5
TICK_S = 0.005
WAIT_MOST_MS = 2_000
LASTS_S, STARTUP_S = 3_600, 0.3


@dataclass
class Run:
    """One run, kept for the verdict. Times are seconds of the steady clock."""

    task: str
    number: int
    worker: str
    work_s: float
    cpu: int
    begun: float
    spec: str
    stop_at: float | None = None
    ended: float | None = None
    how: str = ""
    sequence: int = 0
    noted: float | None = None


@dataclass
class Fault:
    """What a worker does with one order instead of carrying it out.

    Attributes:
        late_s: Leaves it unanswered and carries it out so much later; None: not.
        status: Status of the answer, if it is refused.
    """

    late_s: float | None = None
    status: int | None = None


@dataclass
class _Life:
    born: int
    begun: float
    token: int = 0
    lease_ms: float = 0.0
    running: dict[tuple[str, int], Run] = field(default_factory=dict)
    finished: list[Run] = field(default_factory=list)
    sequence: int = 0
    highest: dict[str, int] = field(default_factory=dict)
    is_over: bool = False
    has_lapsed: bool = False


class Worker:
    """A worker at one address; ``crash`` ends it and ``restart`` starts it again."""

    def __init__(
        self, name: str, machine: str, service: str, store: Store, record: Record, *,
        zone: str, rack: str, cpu: int, max_hold_ms: int, stop_ms: int,
    ) -> None:
        self.name, self.machine, self.service = name, machine, service
        self.is_up = True
        self.runs: list[Run] = []
        self.lapses: list[float] = []
        self.fault: Callable[[Call], Fault | None] = lambda call: None
        self._store, self._record = store, record
        self._zone, self._rack, self._cpu = zone, rack, cpu
        self._max_hold_ms, self._stop_ms = max_hold_ms, stop_ms
        self._changed = threading.Condition()
        self._life = self._new_life()
        self._beat = 0
        self._silent_since: float | None = None
        self.server = Server(self._handle)
        threading.Thread(target=self._run, daemon=True).start()
        threading.Thread(target=self._register, daemon=True).start()

    def crash(self) -> None:
        """Ends the worker at once: it says nothing more, and all that ran is gone."""
        with self._changed:
            self.is_up = False
            self._life.is_over = True
            self._silent_since = time.monotonic()
            for run in self._life.running.values():
                run.ended, run.how = time.monotonic(), "crashed"
            self._changed.notify_all()
        self.server.close()
        self._record.add(f"worker {self.name} crashes")

    def restart(self) -> None:
        """Starts the worker again under its id; it knows nothing of before."""
        with self._changed:
            self._life = self._new_life()
            self.is_up = True
        self.server.open()
        self._write_entry()
        self._record.add(f"worker {self.name} is back, born {self._life.born}")

    def running_names(self) -> list[str]:
        with self._changed:
            return [task for task, _ in self._life.running]

    def _new_life(self) -> _Life:
        return _Life(born=time.time_ns() // 1_000_000, begun=time.monotonic())

    def _clock_ms(self, life: _Life) -> int:
        return 1_000 + int((time.monotonic() - life.begun) * 1_000)

    def _write_entry(self) -> None:
        self._beat += 1
        self._store.put(f"servers/{self.name}", {
            "service": self.service, "address": self.server.address, "zone": self._zone,
            "version": "1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
            "sequence": self._beat, "born": self._life.born, "machine": self.machine,
            "capacity": {"cpu": self._cpu, "requestedMemoryMb": 262_144, "gpu": 0},
            "labels": ["a", self._rack],
        })

    def _register(self) -> None:
        while True:
            if self.is_up:
                self._write_entry()
            elif self._silent_since and time.monotonic() - self._silent_since > 3 * HEARTBEAT_S:
                self._store.remove(f"servers/{self.name}")
                self._silent_since = None
            time.sleep(HEARTBEAT_S if self.is_up else 0.1)

    def _run(self) -> None:
        while True:
            time.sleep(TICK_S)
            with self._changed:
                life, now = self._life, time.monotonic()
                if life.is_over:
                    continue
                has_lapsed = self._clock_ms(life) >= life.lease_ms
                if has_lapsed and not life.has_lapsed and life.lease_ms:
                    self.lapses.append(now)
                    self._record.add(f"lease of {self.name} lapses")
                life.has_lapsed = has_lapsed
                for run in list(life.running.values()):
                    if now >= run.begun + run.work_s:
                        self._end(life, run, "done")
                    elif run.stop_at is not None and now >= run.stop_at:
                        self._end(life, run, "stopped")
                    elif has_lapsed:
                        self._end(life, run, "lapsed")

    def _end(self, life: _Life, run: Run, how: str) -> None:
        del life.running[run.task, run.number]
        life.highest[run.task] = max(life.highest.get(run.task, 0), run.number)
        life.sequence += 1
        run.ended, run.how, run.sequence = time.monotonic(), how, life.sequence
        life.finished.append(run)
        self._record.add(f"end {run.task} run {run.number} on {self.name}: {how}")
        self._changed.notify_all()

    def _handle(self, call: Call) -> tuple[int, Any]:
        if call.headers.get("expected-instance", self.name) != self.name:
            return 421, {}
        fault = self.fault(call)
        if fault is not None and fault.status is not None:
            self._record.add(f"{self.name} answers {call.path} with {fault.status}")
            return fault.status, {}
        if fault is not None and fault.late_s is not None:
            self._record.add(f"{self.name} leaves {call.path} {call.body['task']}"
                             f" run {call.body['run']} unanswered")
            threading.Timer(fault.late_s, self._carry_out_late, (call, self._life)).start()
            return NO_REPLY
        return self._carry_out(call, self._life)

    def _carry_out_late(self, call: Call, life: _Life) -> None:
        status, _ = self._carry_out(call, life)
        self._record.add(f"{self.name} carries {call.path} {call.body['task']}"
                         f" run {call.body['run']} out late: {status}")

    def _carry_out(self, call: Call, life: _Life) -> tuple[int, Any]:
        with self._changed:
            if life.is_over:
                return NO_REPLY
            token = int(call.body.get("fencingToken", 0))
            if token < life.token:
                return 409, {"clockMs": self._clock_ms(life), "reason": "fence"}
            life.token = token
            if call.path == "/v1/run-start":
                return self._start(call.body, life)
            if call.path == "/v1/run-stop":
                return self._stop(call.body, life)
            if call.path == "/v1/hold":
                return self._hold(call.body, life)
            if call.path == "/v1/pace":
                return 200, {"clockMs": self._clock_ms(life)}
        return 404, {}

    def _extend(self, life: _Life, until_ms: int | None) -> None:
        if until_ms is not None:
            longest = self._clock_ms(life) + self._max_hold_ms
            life.lease_ms = max(life.lease_ms, min(until_ms, longest))

    def _start(self, body: dict[str, Any], life: _Life) -> tuple[int, Any]:
        task, number, clock = body["task"], int(body["run"]), self._clock_ms(life)
        if (task, number) in life.running:
            self._extend(life, body["untilMs"])
            return 200, {"clockMs": clock}
        if body["untilMs"] <= clock:
            return 409, {"clockMs": clock, "reason": "late"}
        self._extend(life, body["untilMs"])
        if number <= life.highest.get(task, 0):
            return 409, {"clockMs": clock, "reason": "old"}
        work = json.loads(body["spec"])
        if sum(run.cpu for run in life.running.values()) + work["cpu"] > self._cpu:
            return 409, {"clockMs": clock, "reason": "room"}
        run = Run(task, number, self.name, work["ms"] / 1_000, work["cpu"],
                  time.monotonic(), body["spec"])
        life.running[task, number] = run
        self.runs.append(run)
        self._record.add(f"start {task} run {number} on {self.name}")
        return 200, {"clockMs": clock}

    def _stop(self, body: dict[str, Any], life: _Life) -> tuple[int, Any]:
        task, number = body["task"], int(body["run"])
        run = life.running.get((task, number))
        if run is None:
            life.highest[task] = max(life.highest.get(task, 0), number)
        elif run.stop_at is None:
            run.stop_at = time.monotonic() + self._stop_ms / 2_000
        self._record.add(f"stop {task} run {number} at {self.name}")
        return 200, {"clockMs": self._clock_ms(life)}

    @staticmethod
    def _percent(run: Run, now: float) -> int:
        """Returns 100 for a task that lasts (``ms`` of an hour or more), once at work."""
        if run.work_s >= LASTS_S:
            return 100 if now - run.begun > STARTUP_S else 0
        return min(99, int(100 * (now - run.begun) / run.work_s))

    def _hold(self, body: dict[str, Any], life: _Life) -> tuple[int, Any]:
        self._extend(life, body.get("untilMs"))
        acknowledged = int(body.get("acknowledged", 0))
        for run in life.finished:
            if run.sequence <= acknowledged:
                run.noted = time.monotonic()
                self._record.add(f"noted {run.task} run {run.number}: {run.how}")
        life.finished = [run for run in life.finished if run.sequence > acknowledged]
        wait_ms = min(int(body.get("waitMs", 0)), WAIT_MOST_MS)
        end = time.monotonic() + wait_ms / 1_000
        while not life.finished and not life.is_over and time.monotonic() < end:
            self._changed.wait(end - time.monotonic())
        if life.is_over:
            return NO_REPLY
        now = time.monotonic()
        running = [
            [run.task, run.number, "", self._percent(run, now), run.cpu]
            for run in life.running.values()
        ]
        finished = [
            [run.sequence, run.task, run.number, run.how, ""]
            for run in life.finished[:ENDS_PER_ANSWER]
        ]
        return 200, {"clockMs": self._clock_ms(life), "born": life.born,
                     "running": running, "finished": finished}
