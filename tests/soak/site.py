"""A small deployment: entries as processes, stand-ins around them, and callers."""

from __future__ import annotations

import json
import random
import threading
import time
from dataclasses import dataclass, replace
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

TEAM, CPU, MEMORY_MB = TeamName("team"), 880, 64
START_S, FINISH_S, LISTED_S = 30, 40, 2
MAX_TRIES = 40
RETRY_S = 0.3


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakSettings:
    """Size and length of one run.

    Attributes:
        seed: Seed of the faults and of the load.
        entries: Number of entries, each a process.
        pools: Names of the pools; each has a queue of the same name.
        hosts: Number of hosts of each pool.
        callers: Number of callers, each with a connection to an entry.
        jobs_per_s: Jobs handed in a second.
        faults: Number of faults.
        lasts_s: Time in which the faults come.
    """

    seed: int
    entries: int = 3
    pools: tuple[str, ...] = ("pool",)
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
        self._host_count, self._version = 0, 0
        self.hosts: list[HostStandIn] = []
        for pool in settings.pools * settings.hosts:
            self.add_host(pool)
        self.entries = [
            EntryProcess(f"entry-{n}", f"z{n % 3}", folder, self.store)
            for n in range(settings.entries)
        ]
        self._load_is_over = threading.Event()

    def __enter__(self) -> Site:
        self.configure()
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def _start(self) -> None:
        for entry in self.entries:
            entry.start()
        self.wait(START_S, lambda: all(entry.is_ready for entry in self.entries))
        self.wait(START_S, lambda: all(map(self._conductor, self.settings.pools)))
        time.sleep(LISTED_S)

    def __exit__(self, *_: object) -> None:
        for entry in self.entries:
            entry.close()

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
        return self.finish()

    def hand_in(self, spec: JobSpec) -> None:
        """Hands a job in.

        Raises:
            TimeoutError: No entry has accepted it.
        """
        callers = [Caller(entry) for entry in self.entries]
        self.observer.record_sent(spec)
        if not self._hand_in(spec, callers, random.Random(spec.id)):
            raise TimeoutError(f"no entry accepts {spec.id}")

    def choose_hosts(self, count: int, rng: random.Random) -> list[HostStandIn]:
        """Chooses hosts that are up and stay; two are left untouched."""
        with self._hosts_lock:
            staying = [
                host for host in self.hosts if host.is_up and not host.is_leaving
            ]
            return rng.sample(staying, max(min(count, len(staying) - 2), 0))

    def choose_entry(self, rng: random.Random, *, is_conductor: bool) -> EntryProcess:
        """Chooses the entry that conducts the pool, or any."""
        name = self._conductor(rng.choice(self.settings.pools))
        found = [entry for entry in self.entries if entry.name == name]
        return found[0] if found and is_conductor else rng.choice(self.entries)

    def add_host(self, pool: str) -> None:
        """Adds an empty host to a pool."""
        with self._hosts_lock:
            self._host_count += 1
            name = f"h{self._host_count}"
            host = HostStandIn(
                name, pool, self.store, self.observer, self.settings.seed
            )
            self.hosts.append(host)

    def _conductor(self, pool: str) -> str:
        holder = self.store.read(f"duties/conductor/{pool}/holder")
        return holder.decode().partition("/")[0]

    def configure(self, *, cap_cpu: int = 0) -> None:
        """Writes a configuration with a cap of the team's CPU; 0 is no cap."""
        self._version += 3
        routes = [
            {
                "name": pool,
                "host": HOST_HEADER,
                "prefix": f"/{pool}/",
                "service": pool,
                "timeoutMs": 3_000,
                "targetLatencyMs": 600,
                "maxAttempts": 4,
                "slowdownFactor": 2.0,
            }
            for pool in self.settings.pools
        ]
        team = {"name": TEAM, "apiKeys": [KEY], "weight": 20, "cap": {"cpu": cap_cpu}}
        document = {
            "version": self._version,
            "routes": routes,
            "services": [{"name": pool} for pool in self.settings.pools],
            "tenants": [team],
        }
        self.store.write("op/config", document)

    def _load(self, number: int) -> None:
        """Hands jobs in over one connection an entry, and cancels some of them."""
        rng = random.Random(f"{self.settings.seed}/{number}")
        callers = [Caller(entry) for entry in self.entries]
        pause_s = self.settings.callers / self.settings.jobs_per_s
        while not self._load_is_over.wait(rng.uniform(0.5, 1.5) * pause_s):
            spec = random_job(rng, rng.choice(self.settings.pools))
            self.observer.record_sent(spec)
            if self._hand_in(spec, callers, rng) and rng.random() < 0.1:
                time.sleep(rng.uniform(0, 0.5))
                self._cancel(spec, callers, rng)

    def _hand_in(
        self, spec: JobSpec, callers: list[Caller], rng: random.Random
    ) -> bool:
        steps = [_step_body(step) for step in spec.steps]
        body = {"spec": spec.payload, "steps": steps}
        is_accepted = self._repeat("POST", _path(spec), callers, rng, body)
        if is_accepted:
            self.observer.record_accepted(spec.id, _path(spec))
        return is_accepted

    def _cancel(self, spec: JobSpec, callers: list[Caller], rng: random.Random) -> None:
        if self._repeat("DELETE", _path(spec), callers, rng):
            self.observer.record_cancelled(spec.id)

    def _repeat(
        self,
        method: str,
        path: str,
        callers: list[Caller],
        rng: random.Random,
        body: object = None,
    ) -> bool:
        """Repeats a call at one entry after the other until it succeeds."""
        first = rng.randrange(len(callers))
        for attempt in range(MAX_TRIES):
            caller = callers[(first + attempt) % len(callers)]
            status, _ = caller.call(method, path, body)
            if 200 <= status < 300:
                return True
            time.sleep(RETRY_S)
        return False

    def finish(self) -> list[str]:
        """Waits until all accepted jobs have ended; returns the broken promises."""
        callers = [Caller(entry) for entry in self.entries]
        rng = random.Random(self.settings.seed)
        end_s = time.monotonic() + FINISH_S
        is_open = self.observer.open_jobs()
        while is_open and time.monotonic() < end_s:
            for job, path in sorted(is_open.items()):
                status, body = rng.choice(callers).call("GET", path)
                if status == 200 and body.get("state") == "completed":
                    self.observer.record_completed(job)
                    del is_open[job]
                elif status == 410 or body.get("state") in ("failed", "cancelled"):
                    self.observer.report(f"{job}: {status} {body} though accepted")
                    del is_open[job]
            time.sleep(RETRY_S)
        for job in sorted(is_open):
            self.observer.report(f"{job}: accepted, not completed after {FINISH_S} s")
        for entry in self.entries:
            if entry.has_ended:
                self.observer.report(f"{entry.name} ended by itself")
        return self.observer.broken

    def wait(self, seconds: float, holds: Callable[[], bool]) -> None:
        """Waits until something holds.

        Raises:
            TimeoutError: It doesn't hold after that time.
        """
        end_s = time.monotonic() + seconds
        while not holds():
            if time.monotonic() > end_s:
                raise TimeoutError(f"what is waited for does not hold in {seconds} s")
            time.sleep(0.05)


def random_faults(settings: SoakSettings) -> list[tuple[float, Fault]]:
    """Returns the faults of a run with their times in seconds."""
    rng = random.Random(f"{settings.seed}/faults")
    times = sorted(rng.uniform(0, settings.lasts_s) for _ in range(settings.faults))
    return [(at_s, draw_fault(rng)) for at_s in times]


def random_job(rng: random.Random, pool: str) -> JobSpec:
    """Returns a small job of one or two steps."""
    run_ms = rng.choice((150, 400, 640, 1_200))
    first = a_step(rng.randint(1, 8), run_ms)
    second = replace(a_step(2, run_ms), after=(0,))
    steps = (first, second)[: rng.randint(1, 2)]
    return a_job(f"{rng.getrandbits(64):016x}", pool, *steps)


def a_step(
    count: int, run_ms: int, *, cpu: int = CPU, is_gang: bool = False
) -> StepSpec:
    """Returns a step of tasks that run for ``run_ms``."""
    need = Resources(cpu, MEMORY_MB, 0)
    return StepSpec(count=count, need=need, estimated_ms=run_ms, is_gang=is_gang)


def a_job(name: str, pool: str, *steps: StepSpec) -> JobSpec:
    """Returns a job; its hosts run each task as the first step says."""
    first = steps[0]
    work = {"ms": first.estimated_ms, "cpu": first.need.cpu}
    if first.is_gang:
        work["gang"] = first.count
    return JobSpec(
        id=JobId(name),
        queue=QueueName(pool),
        team=TEAM,
        payload=json.dumps(work),
        steps=steps,
        max_attempts=4,
    )


def _path(spec: JobSpec) -> str:
    return f"/{spec.queue}/{spec.id}"


def _step_body(step: StepSpec) -> dict[str, object]:
    return {
        "count": step.count,
        "cpu": step.need.cpu,
        "requestedMemoryMb": step.need.memory_mb,
        "estimatedMs": step.estimated_ms,
        "after": list(step.after),
        "gang": step.is_gang,
    }
