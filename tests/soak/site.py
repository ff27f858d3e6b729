"""A small deployment: entries as processes, stand-ins around them, and callers."""

from __future__ import annotations

import json
import random
import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from amaranthtray.domain.ids import QueueName, TeamName
from amaranthtray.domain.jobs.model import JobId, JobSpec, Resources, StepSpec
from soak.entry import HOST_HEADER, KEY, Caller, EntryProcess
from soak.faults import Fault, draw_fault, inject
from soak.host import HostStandIn
from soak.observer import Observer
from soak.store import StoreStandIn

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from pathlib import Path

POOL, CPU, MEMORY_MB = "pool", 880, 64
START_S, FINISH_S, LISTED_S = 30, 40, 2
MAX_TRIES = 40
RETRY_S = 0.3


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakSettings:
    """Size and length of one run.

    Attributes:
        seed: Seed of the faults and of the load.
        entries: Number of entries, each a process.
        hosts: Number of hosts.
        callers: Number of callers, each with a connection to an entry.
        jobs_per_s: Jobs handed in a second.
        faults: Number of faults.
        lasts_s: Time in which the faults come.
    """

    seed: int
    entries: int = 3
    hosts: int = 6
    callers: int = 6
    jobs_per_s: float = 12.0
    faults: int = 7
    lasts_s: float = 12.0


class Site:
    """The processes and stand-ins of one run; use it in a ``with`` block."""

    def __init__(self, settings: SoakSettings, folder: Path) -> None:
        self.settings = settings
        self.observer = Observer()
        self.store = StoreStandIn(settings.seed)
        self._hosts_lock = threading.Lock()
        self._host_count = 0
        self.hosts: list[HostStandIn] = []
        for _ in range(settings.hosts):
            self.add_host()
        self.entries = [
            EntryProcess(f"entry-{n}", f"z{n % 3}", folder, self.store)
            for n in range(settings.entries)
        ]
        self._load_is_over = threading.Event()

    def __enter__(self) -> Site:
        self._configure()
        for entry in self.entries:
            entry.start()
        self._wait(START_S, lambda: all(entry.is_ready for entry in self.entries))
        self._wait(START_S, lambda: bool(self._conductor()))
        time.sleep(LISTED_S)
        return self

    def __exit__(self, *_: object) -> None:
        for entry in self.entries:
            entry.kill()

    def play(self, faults: Sequence[tuple[float, Fault]]) -> list[str]:
        """Hands jobs in while faults come; returns the broken promises."""
        rng = random.Random(self.settings.seed)
        callers = [
            threading.Thread(target=self._load, args=(number,), daemon=True)
            for number in range(self.settings.callers)
        ]
        for caller in callers:
            caller.start()
        begun_s = time.monotonic()
        for at_s, fault in faults:
            time.sleep(max(begun_s + at_s - time.monotonic(), 0))
            inject(fault, self, rng)
        time.sleep(max(begun_s + self.settings.lasts_s - time.monotonic(), 0))
        self._load_is_over.set()
        for caller in callers:
            caller.join(FINISH_S)
        self._check_ends()
        return self.observer.broken

    def choose_hosts(self, count: int, rng: random.Random) -> list[HostStandIn]:
        """Chooses hosts that are up and stay; two are left untouched."""
        with self._hosts_lock:
            staying = [
                host for host in self.hosts if host.is_up and not host.is_leaving
            ]
            return rng.sample(staying, max(min(count, len(staying) - 2), 0))

    def choose_entry(self, rng: random.Random, *, is_conductor: bool) -> EntryProcess:
        """Chooses the entry that conducts the pool, or any."""
        name = self._conductor()
        found = [entry for entry in self.entries if entry.name == name]
        return found[0] if found and is_conductor else rng.choice(self.entries)

    def add_host(self) -> None:
        """Adds an empty host."""
        with self._hosts_lock:
            self._host_count += 1
            name = f"h{self._host_count}"
            host = HostStandIn(
                name, POOL, self.store, self.observer, self.settings.seed
            )
            self.hosts.append(host)

    def _conductor(self) -> str:
        holder = self.store.read(f"duties/conductor/{POOL}/holder")
        return holder.decode().partition("/")[0]

    def _configure(self) -> None:
        route = {
            "name": "jobs",
            "host": HOST_HEADER,
            "prefix": "/jobs/",
            "service": POOL,
            "timeoutMs": 3_000,
            "targetLatencyMs": 600,
            "maxAttempts": 4,
            "slowdownFactor": 2.0,
        }
        document = {
            "version": 3,
            "routes": [route],
            "services": [{"name": POOL, "enforceCapacity": True}],
            "tenants": [{"name": "team", "apiKeys": [KEY], "weight": 20}],
        }
        self.store.write("op/config", document)

    def _load(self, number: int) -> None:
        """Hands jobs in over one connection an entry, and cancels some of them."""
        rng = random.Random(f"{self.settings.seed}/{number}")
        callers = [Caller(entry) for entry in self.entries]
        pause_s = self.settings.callers / self.settings.jobs_per_s
        while not self._load_is_over.wait(rng.uniform(0.5, 1.5) * pause_s):
            spec = _random_job(rng)
            self.observer.record_sent(spec)
            if self._hand_in(spec, callers, rng) and rng.random() < 0.1:
                time.sleep(rng.uniform(0, 0.5))
                self._cancel(spec.id, callers, rng)

    def _hand_in(
        self, spec: JobSpec, callers: list[Caller], rng: random.Random
    ) -> bool:
        steps = [_step_body(step) for step in spec.steps]
        body = {"spec": spec.payload, "steps": steps}
        is_accepted = self._repeat("POST", spec.id, callers, rng, body)
        if is_accepted:
            self.observer.record_accepted(spec.id)
        return is_accepted

    def _cancel(self, job: JobId, callers: list[Caller], rng: random.Random) -> None:
        if self._repeat("DELETE", job, callers, rng):
            self.observer.record_cancelled(job)

    def _repeat(
        self,
        method: str,
        job: JobId,
        callers: list[Caller],
        rng: random.Random,
        body: object = None,
    ) -> bool:
        """Repeats a call at one entry after the other until it succeeds."""
        first = rng.randrange(len(callers))
        for attempt in range(MAX_TRIES):
            caller = callers[(first + attempt) % len(callers)]
            status, _ = caller.call(method, job, body)
            if 200 <= status < 300:
                return True
            time.sleep(RETRY_S)
        return False

    def _check_ends(self) -> None:
        """Waits until all accepted jobs have ended, and checks their states."""
        callers = [Caller(entry) for entry in self.entries]
        rng = random.Random(self.settings.seed)
        end_s = time.monotonic() + FINISH_S
        is_open = self.observer.accepted - self.observer.cancelled
        while is_open and time.monotonic() < end_s:
            for job in sorted(is_open):
                status, body = rng.choice(callers).call("GET", job)
                if status == 200 and body.get("state") == "completed":
                    self.observer.record_completed(job)
                    is_open.discard(job)
                elif status == 410 or body.get("state") in ("failed", "cancelled"):
                    self.observer.report(f"{job}: {status} {body} though accepted")
                    is_open.discard(job)
            time.sleep(RETRY_S)
        for job in sorted(is_open):
            self.observer.report(f"{job}: accepted, not completed after {FINISH_S} s")
        for entry in self.entries:
            if entry.has_ended:
                self.observer.report(f"{entry.name} ended by itself")

    def _wait(self, seconds: float, holds: Callable[[], bool]) -> None:
        end_s = time.monotonic() + seconds
        while not holds():
            if time.monotonic() > end_s:
                raise TimeoutError(f"the deployment is not up after {seconds} s")
            time.sleep(0.05)


def random_faults(settings: SoakSettings) -> list[tuple[float, Fault]]:
    """Returns the faults of a run with their times in seconds."""
    rng = random.Random(f"{settings.seed}/faults")
    times = sorted(rng.uniform(0, settings.lasts_s) for _ in range(settings.faults))
    return [(at_s, draw_fault(rng)) for at_s in times]


def _random_job(rng: random.Random) -> JobSpec:
    milliseconds = rng.choice((150, 400, 640, 1_200))
    first = StepSpec(
        count=rng.randint(1, 8),
        need=Resources(CPU, MEMORY_MB, 0),
        estimated_ms=milliseconds,
    )
    second = StepSpec(
        count=2,
        need=Resources(CPU, MEMORY_MB, 0),
        estimated_ms=milliseconds,
        after=(0,),
    )
    return JobSpec(
        id=JobId(f"{rng.getrandbits(64):016x}"),
        queue=QueueName("jobs"),
        team=TeamName("team"),
        payload=json.dumps({"ms": milliseconds, "cpu": CPU}),
        steps=(first, second)[: rng.randint(1, 2)],
        max_attempts=4,
    )


def _step_body(step: StepSpec) -> dict[str, object]:
    return {
        "count": step.count,
        "cpu": step.need.cpu,
        "requestedMemoryMb": step.need.memory_mb,
        "estimatedMs": step.estimated_ms,
        "after": list(step.after),
    }
