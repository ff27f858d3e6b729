"""Stand-in of a worker, as the page on running tasks describes it."""

from __future__ import annotations

import json
import secrets
import threading
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Callable

from wire import SILENCE, Call, Reply, Server

if TYPE_CHECKING:
    from adviser import Adviser
    from record import Record
    from store import Store

HEARTBEAT_S = 1.5
TICK_S = 0.005
MAX_ENDS = 500


@dataclass
class Bounds:
    """Figures of the site."""

    max_hold_ms: int = 10_000
    stop_ms: int = 200
    gang_ms: int = 3_000


@dataclass
class _Run:
    task: str
    number: int
    spec: dict
    started_s: float
    stops_s: float | None = None

    @property
    def index(self) -> int:
        return int(self.task.rpartition(".")[2])


class Gangs:
    """The members of each run of a gang, over all workers."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._present: dict[tuple[str, int], dict[int, float]] = {}
        self._broken: set[tuple[str, int]] = set()

    @staticmethod
    def _key(run: _Run) -> tuple[str, int]:
        return run.task.rpartition(".")[0], run.number

    def enter(self, run: _Run) -> None:
        with self._lock:
            members = self._present.setdefault(self._key(run), {})
            members[run.index] = time.monotonic()

    def leave(self, run: _Run, how: str) -> None:
        with self._lock:
            if how != "done":
                self._broken.add(self._key(run))

    def begun_s(self, run: _Run) -> float | None:
        """Returns when all members were present; None if they are not."""
        with self._lock:
            members = self._present.get(self._key(run), {})
            return max(members.values()) if len(members) == run.spec["gang"] else None

    def is_broken(self, run: _Run) -> bool:
        with self._lock:
            return self._key(run) in self._broken


@dataclass
class _Life:
    """One incarnation."""

    born: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    begun_s: float = field(default_factory=time.monotonic)
    token: int = 0
    until_ms: int = 0
    running: dict[tuple[str, int], _Run] = field(default_factory=dict)
    ends: list[list] = field(default_factory=list)
    count: int = 0
    highest: dict[str, int] = field(default_factory=dict)
    is_over: bool = False

    def clock_ms(self) -> int:
        return 1_000 + int((time.monotonic() - self.begun_s) * 1_000)


class Worker:
    """One worker.

    A task's ``spec`` is JSON: ``ms`` is the time that it works (``ms_of_step`` that of
    the tasks of each step), ``fail`` maps
    "INDEX.RUN" to the time after which that run fails, ``gang`` is the number of
    members of its gang, ``lasts`` says that it runs until it is stopped.

    Attributes:
        fault: Gets a call; returns None (as usual), "lost" (no answer, and the call
            is carried out ``late_s`` later) or "next" (the call is held up on
            its way: no answer, and it reaches the worker's next life).
    """

    def __init__(
        self,
        service: str,
        *,
        store: Store,
        record: Record,
        gangs: Gangs,
        rack: str = "r1-1",
        machine: str = "",
        cores: int = 16,
        bounds: Bounds | None = None,
        adviser: Adviser | None = None,
    ) -> None:
        self._adviser = adviser
        self.id = f"i-{secrets.token_hex(5)}"
        self.machine = machine or f"m-{secrets.token_hex(3)}"
        self.service, self.rack, self.cores = service, rack, cores
        self.fault: Callable[[Call], str | None] = lambda call: None
        self.late_s = 3.0
        self._kept: list[Call] = []
        self.state = "ready"
        self._bounds = bounds or Bounds()
        self._store, self._record, self._gangs = store, record, gangs
        self._changed = threading.Condition()
        self._life = _Life()
        self._sequence = 0
        self.server = Server(self._handle)
        self._begin()

    @property
    def is_up(self) -> bool:
        return not self._life.is_over

    def tasks(self) -> list[tuple[str, int]]:
        """Returns the tasks that run here now, with the numbers of their runs."""
        with self._changed:
            return [] if self._life.is_over else list(self._life.running)

    def has_forgotten(self, task: str, number: int) -> bool:
        """Returns whether the end of a run was acknowledged."""
        with self._changed:
            ends = [(end[1], end[2]) for end in self._life.ends]
            return (task, number) not in ends

    def crash(self, back_after_s: float | None = None) -> None:
        """Ends without a word; starts again under its id after a while, or never.

        The entry of one that stays away expires by itself.
        """
        with self._changed:
            self._life.is_over = True
            for run in self._life.running.values():
                self._gangs.leave(run, "lost")
                self._record.ended(self.id, run.task, run.number, "lost with worker")
            self._changed.notify_all()
        self.server.close()
        if back_after_s is None:
            threading.Timer(3 * HEARTBEAT_S, self._store.delete, (self._key,)).start()
        else:
            threading.Timer(back_after_s, self._restart).start()

    def _restart(self) -> None:
        """Holds and knows nothing of before; its counts start anew."""
        with self._changed:
            self._life, self._sequence = _Life(), 0
        self._record.note(f"worker {self.id} is back, at the same address")
        kept, self._kept = self._kept, []
        for call in kept:
            reply = self._carry_out(call, self._life)
            self._record.note(
                f"the held-up {call.path} reaches worker {self.id} -> {reply.status}"
            )
        self.server.open()
        self._begin()

    def _begin(self) -> None:
        for task in (self._tick, self._beat):
            threading.Thread(target=task, args=(self._life,), daemon=True).start()

    @property
    def _key(self) -> str:
        return f"servers/{self.id}"

    def _beat(self, life: _Life) -> None:
        while not life.is_over:
            self._sequence += 1
            entry = {
                "service": self.service,
                "address": self.server.address,
                "zone": "sk-north-a",
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "coldRemainingMs": 0,
                "capacity": {
                    "cpu": self.cores * 1_000,
                    "requestedMemoryMb": 32_768,
                    "gpu": 0,
                },
                "labels": ["a", self.rack],
                "clockMs": life.clock_ms(),
                "machine": self.machine,
                "born": life.born,
                "sequence": self._sequence,
            }
            self._store.put(self._key, entry)
            time.sleep(HEARTBEAT_S)

    def _tick(self, life: _Life) -> None:
        while not life.is_over:
            time.sleep(TICK_S)
            with self._changed:
                now_s = time.monotonic()
                has_lapsed = life.clock_ms() > life.until_ms
                for run in list(life.running.values()):
                    how = self._outcome(run, now_s)
                    if how is None and has_lapsed:
                        how = "lapsed"
                    if how is not None and not life.is_over:
                        self._end(life, run, how)

    def _outcome(self, run: _Run, now_s: float) -> str | None:
        spec = run.spec
        begun_s: float | None = run.started_s
        if "gang" in spec:
            if self._gangs.is_broken(run):
                return "broken"
            begun_s = self._gangs.begun_s(run)
            if begun_s is None:
                waited_ms = (now_s - run.started_s) * 1_000
                is_alone = waited_ms > self._bounds.gang_ms
                if not is_alone and (run.stops_s is None or now_s < run.stops_s):
                    return None
                return "alone" if is_alone else "stopped"
        if run.stops_s is not None and now_s >= run.stops_s:
            return "stopped"
        worked_ms = (now_s - (begun_s or now_s)) * 1_000
        fails_ms = spec.get("fail", {}).get(f"{run.index}.{run.number}")
        if fails_ms is not None and worked_ms >= fails_ms:
            return "failed"
        if not spec.get("lasts") and worked_ms >= spec["ms"]:
            return "done"
        return None

    def _end(self, life: _Life, run: _Run, how: str) -> None:
        del life.running[run.task, run.number]
        life.highest[run.task] = max(life.highest.get(run.task, 0), run.number)
        life.count += 1
        life.ends.append([life.count, run.task, run.number, how, ""])
        if "gang" in run.spec:
            self._gangs.leave(run, how)
        self._record.ended(self.id, run.task, run.number, how)
        self._changed.notify_all()

    def _handle(self, call: Call) -> Reply:
        if call.headers.get("Expected-Instance", self.id) != self.id:
            return Reply(421)
        life = self._life
        fault = self.fault(call)
        if fault == "next":
            self._record.note(
                f"{call.path} to worker {self.id} is held up on its way, and gets no "
                f"answer: {json.dumps(call.body)}"
            )
            self._kept.append(call)
            return SILENCE
        if fault == "lost":
            self._record.note(
                f"worker {self.id} leaves {call.path} unanswered, and carries it out "
                f"{self.late_s} s later: {json.dumps(call.body)}"
            )
            threading.Timer(self.late_s, self._carry_out, (call, life)).start()
            return SILENCE
        return self._carry_out(call, life)

    def _carry_out(self, call: Call, life: _Life) -> Reply:
        if life.is_over or life is not self._life:
            return SILENCE
        with self._changed:
            token = int(call.body.get("fencingToken", 0))
            if token < life.token:
                return self._answer(life, 409, reason="fence")
            life.token = token
            if call.path == "/v1/run-start":
                return self._start(call.body, life)
            if call.path == "/v1/run-stop":
                return self._stop(call.body, life)
            if call.path == "/v1/hold":
                return self._hold(call.body, life)
            if call.path == "/v1/pace":
                return self._answer(life, 200)
        return Reply(400)

    def _answer(self, life: _Life, status: int, **fields: object) -> Reply:
        return Reply(status, {"clockMs": life.clock_ms(), "born": life.born, **fields})

    def _extend(self, body: dict, life: _Life) -> None:
        most_ms = life.clock_ms() + self._bounds.max_hold_ms
        life.until_ms = max(life.until_ms, min(int(body["untilMs"]), most_ms))

    def _start(self, body: dict, life: _Life) -> Reply:
        task, number = body["task"], int(body["run"])
        if int(body["untilMs"]) <= life.clock_ms():
            return self._answer(life, 409, reason="late")
        self._extend(body, life)
        if (task, number) in life.running:
            return self._answer(life, 200)
        if number <= life.highest.get(task, 0):
            return self._answer(life, 409, reason="old")
        ticket = str(body.get("ticket", ""))
        if self._adviser and not self._adviser.accepts(task, self.id, ticket):
            self._record.note(
                f"worker {self.id} refuses task {task}, run {number}: no valid ticket"
            )
            return self._answer(life, 409, reason="ticket")
        spec = json.loads(body["spec"])
        if "ms_of_step" in spec:
            spec["ms"] = spec["ms_of_step"][int(task.split(".")[2])]
        used = sum(each.spec.get("cpu", 500) for each in life.running.values())
        if used + spec.get("cpu", 500) > self.cores * 1_000:
            return self._answer(life, 409, reason="room")
        run = _Run(task, number, spec, time.monotonic())
        life.running[task, number] = run
        if "gang" in spec:
            self._gangs.enter(run)
        self._record.started(self.id, self.service, task, number)
        return self._answer(life, 200)

    def _stop(self, body: dict, life: _Life) -> Reply:
        task, number = body["task"], int(body["run"])
        run = life.running.get((task, number))
        if run is None:
            life.highest[task] = max(life.highest.get(task, 0), number)
        elif run.stops_s is None:
            run.stops_s = time.monotonic() + self._bounds.stop_ms / 2_000
        return self._answer(life, 200)

    def _hold(self, body: dict, life: _Life) -> Reply:
        acknowledged = int(body.get("acknowledged", 0))
        life.ends = [end for end in life.ends if end[0] > acknowledged]
        if "untilMs" in body:
            self._extend(body, life)
        end_s = time.monotonic() + int(body.get("waitMs", 0)) / 1_000
        seen = life.count
        while life.count == seen and not life.ends and not life.is_over:
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                break
            self._changed.wait(left_s)
        if life.is_over:
            return SILENCE
        now_s = time.monotonic()
        running = [
            [run.task, run.number, "", self._percent(run, now_s), 0]
            for run in life.running.values()
        ]
        return self._answer(
            life, 200, running=running, finished=life.ends[:MAX_ENDS]
        )

    def _percent(self, run: _Run, now_s: float) -> int:
        if run.spec.get("lasts"):
            return 100
        begun_s: float | None = run.started_s
        if "gang" in run.spec:
            begun_s = self._gangs.begun_s(run)
        if begun_s is None:
            return 0
        return min(int((now_s - begun_s) * 100_000 / run.spec["ms"]), 99)
