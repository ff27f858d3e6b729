"""A small site on loopback addresses: the platform and workers as stand-ins.

The entries are the project's own program, started as deploy/system.toml says. The
store, the machines service, the adviser, the workers and the clients are stand-ins
after the users' pages (PROTOCOL.md), in one process. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import uuid
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
MAX_HOLD_MS = 10_000
STOP_MS = 200
GANG_TIMEOUT_MS = 3_000
STATUS_S = 120
LEASE_MS = 3_000
VALUE_BYTES = 1_048_576
KEY = "key-of-the-tenant"
HOST = "site.example"


def now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


_given: set[int] = set()


def free_port() -> int:
    """Returns a free port below those that the system gives to outgoing calls."""
    while True:
        port = random.randint(10_000, 30_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            if port not in _given:
                sock.bind(("127.0.0.1", port))
                _given.add(port)
                return port


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._begun = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._begun

    def add(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")

    def close(self) -> None:
        self._file.close()


class Server:
    """An HTTP/1.1 server with keep-alive; a subclass answers the calls."""

    def __init__(self) -> None:
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, backlog=256
        )

    def shut(self) -> None:
        """Stops listening and resets all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode("latin-1").split(" ", 2)
                heads: dict[str, str] = {}
                while (row := (await reader.readline()).strip()):
                    name, _, value = row.decode("latin-1").partition(":")
                    heads[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(heads.get("content-length", 0)))
                heads["x-port"] = str(writer.get_extra_info("sockname")[1])
                status, data = await self.answer(method, target, heads, body)
                payload = json.dumps(data).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n"
                )
                writer.write(head.encode() + payload)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, method, target, heads, body):  # type: ignore[no-untyped-def]
        raise NotImplementedError


class Store(Server):
    """The platform's store; while it is busy, it answers 503 and its leases pause."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.rev = 1
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.leases: dict[int, tuple[float, int]] = {}
        self.last_lease = 0
        self.is_busy = False
        self.too_large = 0
        self.busy_since = 0.0
        self.changed = asyncio.Event()

    def set_busy(self, is_busy: bool) -> None:
        if is_busy:
            self.busy_since = time.monotonic()
        elif self.is_busy:
            paused = time.monotonic() - self.busy_since
            self.leases = {k: (t + paused, l) for k, (t, l) in self.leases.items()}
        self.is_busy = is_busy
        self.record.add(f"store {'down (answers 503)' if is_busy else 'up'}")

    async def tick(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self.is_busy:
                continue
            at = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if at >= until:
                    self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        gone = [key for key, item in self.items.items() if item["lease"] == lease]
        if gone:
            self.rev += 1
            for key in gone:
                self._drop(key)
            self._wake()

    def _drop(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.events.append({"key": key, "revision": self.rev, "deleted": True})

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0, *, one: bool = True) -> int:
        if one:
            self.rev += 1
        old = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.rev,
            "created": old["created"] if old else self.rev,
            "lease": lease,
        }
        self.items[key] = item
        self.events.append(item)
        if one:
            self._wake()
        return self.rev

    def remove(self, key: str) -> None:
        self.rev += 1
        self._drop(key)
        self._wake()

    def get(self, key: str) -> bytes | None:
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    async def answer(self, method, target, heads, body):  # type: ignore[no-untyped-def]
        if self.is_busy:
            return 503, {}
        await asyncio.sleep(0.002)
        if self.is_busy:
            return 503, {}
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        path = parts.path
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"currentRev": self.rev}
            return 200, item | {"currentRev": self.rev}
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]))
            keys = [k for k in keys if k > query.get("after", "")]
            page = [self.items[k] for k in keys[:500]]
            return 200, {
                "items": page,
                "hasMore": len(keys) > 500,
                "currentRev": self.rev,
            }
        if path == "/v1/kv-watch":
            return await self._watch(query)
        data = json.loads(body or b"{}")
        if path == "/v1/kv-txn":
            return self._txn(data)
        if path == "/v1/kv-lease":
            self.last_lease += 1
            ttl = max(data["ttlMs"], 1_000)
            self.leases[self.last_lease] = (time.monotonic() + ttl / 1_000, ttl)
            return 200, {"lease": self.last_lease, "ttlMs": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1_000, ttl)
            return 200, {"ttlMs": ttl}
        if path.startswith("/v1/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.end_lease(lease)
            return 200, {}
        return 404, {}

    async def _watch(self, query):  # type: ignore[no-untyped-def]
        until = time.monotonic() + int(query["waitMs"]) / 1_000
        after, prefix = int(query["after"]), query["prefix"]
        while True:
            found = []
            for event in reversed(self.events):
                if event["revision"] <= after:
                    break
                if event["key"].startswith(prefix):
                    found.append(event)
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found[::-1], "currentRev": self.rev}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)
            if self.is_busy:
                return 503, {}

    def _txn(self, data):  # type: ignore[no-untyped-def]
        rows = data.get("precondition", [])
        puts, removes = data.get("setKeys", []), data.get("remove", [])
        for row in rows:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                current = [self.items.get(r["key"]) for r in rows]
                return 412, {"items": [item for item in current if item]}
        for put in puts:
            if len(put["value"]) * 3 // 4 > VALUE_BYTES:
                self.too_large += 1
                size = len(put["value"]) * 3 // 4
                self.record.add(f"write of {put['key']} refused: {size} bytes")
                return 400, {}
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return 404, {}
        self.rev += 1
        for put in puts:
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, put.get("lease", 0), one=False)
        for key in removes:
            self._drop(key)
        self._wake()
        return 200, {"revision": self.rev}


class Adviser(Server):
    """The service that knows which workers a policy allows.

    Attributes:
        denied: Ids of workers that it never allows.
    """

    def __init__(self, record: Record, decide_ms: int, per_item_ms: int) -> None:
        super().__init__()
        self.record = record
        self.decide_ms, self.per_item_ms = decide_ms, per_item_ms
        self.valid_ms = 3_000
        self.turn = asyncio.Lock()
        self.calls = 0
        self.denied: set[str] = set()

    async def answer(self, method, target, heads, body):  # type: ignore[no-untyped-def]
        data = json.loads(body)
        async with self.turn:
            self.calls += 1
            await asyncio.sleep(
                (self.decide_ms + self.per_item_ms * len(data["workers"])) / 1_000
            )
        allowed = [each for each in data["workers"] if each not in self.denied]
        rows = [[worker, uuid.uuid4().hex[:16]] for worker in allowed]
        self.record.add(f"advise {data['step']}: {len(rows)} of {len(data['workers'])}")
        return 200, {"allowed": rows, "validMs": self.valid_ms}


class Job:
    """A job of a client, and what became of its tasks on workers."""

    def __init__(self, number: str, steps: list[dict], work_ms: int) -> None:
        self.id = number
        self.steps = steps
        self.work_ms = work_ms
        self.accepted_s: float | None = None
        self.starts: list[tuple[float, str, int, str]] = []
        self.ends: list[tuple[float, str, int, str, str]] = []

    def cpu(self, task: str) -> int:
        return self.steps[int(task.split(".")[2])].get("cpu", 0)


class Worker(Server):
    """One worker; its lease, its runs and its ends are as on the users' pages."""

    def __init__(
        self, site: Site, pool: str, number: int, cpu: int, machine: str, zone: str
    ) -> None:
        super().__init__()
        self.site, self.pool, self.cpu = site, pool, cpu
        self.id = f"i-{uuid.uuid4().hex[:10]}"
        self.machine, self.zone, self.rack = machine, zone, f"r{number // 4}"
        self.sequence = 0
        self.is_up = self.is_dark = False
        self.called_s = self.wrote_s = 0.0
        self.dark_servers: list = []
        self._reset()

    def _reset(self) -> None:
        self.born = time.time_ns() // 1_000_000
        self.begun = now_ms()
        self.token = 0
        self.until = 0
        self.runs: dict[tuple[str, int], dict] = {}
        self.finished: list[list] = []
        self.count = 0
        self.highest: dict[str, int] = {}
        self.ended = asyncio.Event()

    def clock(self) -> int:
        return 1_000 + now_ms() - self.begun

    async def start(self) -> None:
        self._reset()
        await self.open()
        self.is_up = True
        self.write_entry()

    def crash(self) -> list[str]:
        """Ends at once with all that runs here; says nothing."""
        lost = self.crash_runs("crashes")
        self.shut()
        return lost

    def crash_runs(self, how: str) -> list[str]:
        """Ends all runs without a word."""
        lost = [f"{task}/{run}" for task, run in self.runs]
        self.site.record.add(f"worker {self.id} ({self.machine}) {how} with {lost}")
        self.is_up = False
        while self.runs:
            (task, run), each = self.runs.popitem()
            self.site.note_end(task, run, "crashed", self.id)
            self._leave_gang(task, run, each, "crashed")
        return lost

    def go_dark(self) -> None:
        """Ends with all that runs here; its address stays silent, without a reset."""
        self.is_dark = True
        self.crash_runs("falls silent")

    async def start_elsewhere(self) -> None:
        """Starts again under the same id, at another address."""
        self.dark_servers.append((self._server, set(self._writers)))
        self._server, self._writers = None, set()
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        await self.start()
        self.is_dark = False
        self.site.record.add(f"worker {self.id} starts again at {self.address}")

    def write_entry(self) -> None:
        self.sequence += 1
        entry = {
            "service": self.pool,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "capacity": {"cpu": self.cpu, "requestedMemoryMb": 32_768, "gpu": 0},
            "labels": ["a", self.rack],
            "machine": self.machine,
            "born": self.born,
        }
        if not self.site.store.is_busy:
            self.site.store.put(f"servers/{self.id}", json.dumps(entry).encode())
            self.wrote_s = time.monotonic()

    async def live(self) -> None:
        """Ends runs, lets leases lapse and writes the heartbeat."""
        beat = time.monotonic()
        self.wrote_s = beat
        while True:
            await asyncio.sleep(0.01)
            key = f"servers/{self.id}"
            if not self.is_up:
                silent_s = time.monotonic() - self.wrote_s
                if silent_s > 4.5 and key in self.site.store.items:
                    self.site.store.remove(key)
                continue
            if time.monotonic() - beat >= 1.5:
                beat = time.monotonic()
                self.write_entry()
            clock = self.clock()
            if self.runs and clock >= self.until:
                for task, run in list(self.runs):
                    self._end(task, run, "lapsed")
                continue
            for (task, run), each in list(self.runs.items()):
                if (task, run) not in self.runs:
                    continue
                if each["stop"] is not None and clock >= each["stop"]:
                    self._end(task, run, "stopped")
                elif each["ends"] is not None and clock >= each["ends"]:
                    self._end(task, run, "done")
                elif each["gang"] is not None and each["ends"] is None:
                    if clock - each["begun"] >= GANG_TIMEOUT_MS:
                        self._end(task, run, "alone")

    def _end(self, task: str, run: int, how: str) -> None:
        each = self.runs.pop((task, run))
        self._leave_gang(task, run, each, how)
        self.count += 1
        self.finished.append([self.count, task, run, how, ""])
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.site.note_end(task, run, how, self.id)
        self.ended.set()
        self.ended = asyncio.Event()

    def _join_gang(self, task: str, run: int, each: dict, count: int) -> None:
        """Lets a gang work once all members of one run are present."""
        members = self.site.gangs.setdefault(each["gang"], {})
        members[task] = (self, each)
        if len(members) == count:
            for worker, other in members.values():
                other["ends"] = worker.clock() + other["work"]

    def _leave_gang(self, task: str, run: int, each: dict, how: str) -> None:
        members = self.site.gangs.get(each["gang"], {})
        members.pop(task, None)
        others = dict(members)
        members.clear()
        for other, (worker, _) in others.items():
            if (other, run) in worker.runs:
                worker._end(other, run, "done" if how == "done" else "broken")

    def _extend(self, until: int | None) -> None:
        if until is not None:
            self.until = max(self.until, min(until, self.clock() + MAX_HOLD_MS))

    async def answer(self, method, target, heads, body):  # type: ignore[no-untyped-def]
        if self.is_dark or int(heads["x-port"]) != self.port:
            await asyncio.sleep(3_600)
        self.called_s = time.monotonic()
        if heads.get("expected-instance", self.id) != self.id:
            return 421, {"clockMs": self.clock()}
        data = json.loads(body or b"{}")
        token = data.get("fencingToken", 0)
        if token < self.token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.token = token
        if target == "/v1/run-start":
            return self._start(data)
        if target == "/v1/run-stop":
            return self._stop(data)
        if target == "/v1/hold":
            return await self._hold(data, heads)
        if target == "/v1/pace":
            return 200, {"clockMs": self.clock()}
        return 400, {}

    def _start(self, data):  # type: ignore[no-untyped-def]
        task, run, clock = data["task"], data["run"], self.clock()
        if (task, run) in self.runs:
            self._extend(data["untilMs"])
            return 200, {"clockMs": clock}
        if data["untilMs"] <= clock:
            return 409, {"clockMs": clock, "reason": "late"}
        self._extend(data["untilMs"])
        if run <= self.highest.get(task, 0):
            return 409, {"clockMs": clock, "reason": "old"}
        job = self.site.jobs.get(task.split(".")[0])
        need = job.cpu(task) if job else 0
        used = sum(each["cpu"] for each in self.runs.values())
        if used + need > self.cpu:
            return 409, {"clockMs": clock, "reason": "room"}
        step = job.steps[int(task.split(".")[2])] if job else {}
        lasts = step.get("longRunning", False)
        work_ms = job.work_ms if job else 0
        ends = None if lasts else clock + work_ms
        gang = (*task.split(".")[:3], run) if step.get("gang") else None
        each = self.runs[task, run] = {
            "cpu": need, "begun": clock, "ends": None if gang else ends, "stop": None,
            "lasts": lasts, "gang": gang, "work": work_ms,
        }
        if gang is not None:
            self._join_gang(task, run, each, step.get("count", 1))
        self.site.note_start(task, run, self.id, data["fencingToken"])
        return 200, {"clockMs": clock}

    def _stop(self, data):  # type: ignore[no-untyped-def]
        task, run, clock = data["task"], data["run"], self.clock()
        self.highest[task] = max(run, self.highest.get(task, 0))
        each = self.runs.get((task, run))
        if each is not None and each["stop"] is None:
            each["stop"] = clock + STOP_MS // 2
            self.site.record.add(f"stop {task} run {run} at {self.id}")
        return 200, {"clockMs": clock}

    async def _hold(self, data, heads):  # type: ignore[no-untyped-def]
        self._extend(data.get("untilMs"))
        upto = data.get("acknowledged", 0)
        self.finished = [row for row in self.finished if row[0] > upto]
        wait = data.get("waitMs", 0) / 1_000
        if wait and not self.finished:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.ended.wait(), wait)
        if self.is_dark or int(heads["x-port"]) != self.port:
            await asyncio.sleep(3_600)
        clock = self.clock()
        running = []
        for (task, run), each in self.runs.items():
            share = 100
            if each["ends"] is None and not each["lasts"]:
                share = 0
            elif not each["lasts"]:
                whole = max(each["ends"] - each["begun"], 1)
                share = min(99, 100 * (clock - each["begun"]) // whole)
            elif clock - each["begun"] < 300:
                share = 0
            running.append([task, run, "", share, each["cpu"]])
        return 200, {
            "clockMs": clock,
            "born": self.born,
            "running": running,
            "finished": self.finished[:500],
        }


class Cloud(Server):
    """The machines service: lists, moves and maintains machines."""

    def __init__(self, site: Site) -> None:
        super().__init__()
        self.site = site
        self.upkeeps: list[tuple[float, str, int]] = []
        self.orders: list[tuple[float, str, str, int]] = []
        self.state: dict[str, str] = {}

    async def answer(self, method, target, heads, body):  # type: ignore[no-untyped-def]
        await asyncio.sleep(0.005)
        if target.startswith("/v1/machines"):
            rows = [
                {
                    "machine": worker.machine,
                    "pool": worker.pool,
                    "state": self.state.get(
                        worker.machine, "up" if worker.is_up else "down"
                    ),
                    "zone": worker.zone,
                    "labels": ["a", worker.rack],
                    "capacity": {"cpu": worker.cpu, "requestedMemoryMb": 32_768},
                    "id": worker.id,
                }
                for worker in self.site.workers
            ]
            return 200, {"machines": rows, "nextPageToken": None}
        data = json.loads(body)
        worker = next(
            (w for w in self.site.workers if w.machine == data["machine"]), None
        )
        if worker is None:
            return 400, {}
        if not worker.is_up or self.state.get(worker.machine):
            return 409, {"reason": "busy"}
        token = int(heads.get("fencing-token", 0))
        holder = heads.get("lease-holder", "")
        self.orders.append((self.site.record.now(), data["machine"], holder, token))
        self.site.record.add(f"cloud {target} {data} by {holder} token {token}")
        if target == "/v1/machine-upkeep":
            self.upkeeps.append((self.site.record.now(), worker.machine, data["wave"]))
            self.site.spawn(self._renew(worker, "upkeep", worker.pool, 2.0))
        else:
            self.site.spawn(self._renew(worker, "moving", data["pool"], 1.5))
        return 200, {}

    async def _renew(self, worker: Worker, state: str, pool: str, for_s: float) -> None:
        """Ends the worker; a new life of the machine joins the pool later."""
        self.state[worker.machine] = state
        worker.crash()
        self.site.store.remove(f"servers/{worker.id}")
        worker.id, worker.pool = f"i-{uuid.uuid4().hex[:10]}", pool
        await asyncio.sleep(for_s)
        self.state.pop(worker.machine)
        worker.port = free_port()
        worker.address = f"127.0.0.1:{worker.port}"
        await worker.start()


class Entry:
    """One entry: a process started with the command of the deploy file."""

    def __init__(self, site: Site, number: int) -> None:
        self.site, self.name = site, f"frontend-z-{number}"
        self.choose_ports()
        self.process: asyncio.subprocess.Process | None = None
        self.log = site.folder / f"{self.name}.log"

    def choose_ports(self) -> None:
        ports = [free_port() for _ in range(3)]
        self.callers, self.readiness, self.metrics = ports

    def _settings(self) -> str:
        site = self.site
        text = (
            f'[entry]\nname = "{self.name}"\nzone = "z"\n'
            f'callers_address = "127.0.0.1:{self.callers}"\n'
            f'readiness_address = "127.0.0.1:{self.readiness}"\n'
            f'metrics_address = "127.0.0.1:{self.metrics}"\n\n'
            "[machine]\ncpu_share = 0.537\ncores = 2\nlink_mbps = 1000.0\n\n"
            f'[store]\naddress = "{site.store.address}"\n\n'
            f"[hosts]\nmax_lease_ms = {MAX_HOLD_MS}\nleaving_start_limit_ms = 2000\n\n"
            f'[machines]\naddress = "{site.cloud.address}"\n'
            f"holder_change_ms = {LEASE_MS}\n\n"
            f"[jobs]\nkept_after_end_s = {STATUS_S}\nkey_withdrawal_ms = 5000\n"
            "cancellation_limit_ms = 3000\n"
        )
        if site.adviser is not None:
            text += f'\n[advice]\naddress = "{site.adviser.address}"\n'
        return text

    async def start(self) -> None:
        path = self.site.folder / f"{self.name}.toml"
        path.write_text(self._settings())
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": "target/deps",
            "AMARANTHTRAY_NODE_FILE": str(path),
        }
        with self.log.open("ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "deploy/entry.py", cwd=ROOT, env=env, stdout=out,
                stderr=out,
            )
        self.site.record.add(f"entry {self.name} starts")

    async def kill(self, number: int = signal.SIGKILL) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            self.site.record.add(f"entry {self.name} gets signal {int(number)}")
            self.process.send_signal(number)

    def events(self, *names: str) -> list[dict]:
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                row = json.loads(line)
                if row.get("event") in names:
                    found.append(row)
        return found

    async def is_ready(self) -> bool:
        try:
            status, _ = await call("GET", self.readiness, "/v1/readyz", timeout_s=1)
        except (OSError, asyncio.TimeoutError, ValueError):
            return False
        return status == 200


async def call(  # type: ignore[no-untyped-def]
    method, port, path, data=None, *, key=KEY, host=HOST, timeout_s=3.0
):
    """Makes one HTTP call on a new connection; returns status and body."""
    return await asyncio.wait_for(
        _call(method, port, path, data, key, host, timeout_s), timeout_s
    )


async def _call(method, port, path, data, key, host, timeout_s):  # type: ignore[no-untyped-def]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        body = b"" if data is None else json.dumps(data).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
            f"Authorization: Bearer {key}\r\nContent-Type: application/json\r\n"
            f"Deadline-Ms: {int(timeout_s * 1_000)}\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await writer.drain()
        raw = await reader.read()
        top, _, rest = raw.partition(b"\r\n\r\n")
        if not top:
            raise ConnectionError("no answer")
        return int(top.split()[1]), rest
    finally:
        writer.close()


class Site:
    """Entries, workers and the platform of one case.

    Args:
        folder: Folder of the case, which gets record.txt.
        entries: Number of entries.
        pools: Number of workers of each pool.
        advice: Milliseconds for a decision and for each worker; None without advice.
        cap: Cap of the tenant, in thousandths of a core; 0 for none.
        standby: Pool whose machines are off.
        max_attempts: Failed runs of a task after which its job has failed.
        more_routes: Fields of further routes, beside those of the first one; they
            have no advice.
    """

    def __init__(  # type: ignore[no-untyped-def]
        self, folder, *, entries=3, pools=None, cpu=16_000, advice=None, cap=0,
        standby=None, max_attempts=3, more_routes=(),
    ) -> None:
        self.record = Record(Path(folder) / "record.txt")
        self._temp = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temp.name)
        self.store = Store(self.record)
        self.cloud = Cloud(self)
        self.adviser = Adviser(self.record, *advice) if advice else None
        self.pools = pools or {"pool": 6}
        self.cap, self.version, self.standby = cap, 0, standby
        self.max_attempts, self.more_routes = max_attempts, more_routes
        self.workers: list[Worker] = []
        for pool, count in self.pools.items():
            for number in range(count):
                name = f"m-{pool}-{number}"
                zone = f"z{number % 3}"
                self.workers.append(Worker(self, pool, number, cpu, name, zone))
        self.entries = [Entry(self, number) for number in range(1, entries + 1)]
        self.jobs: dict[str, Job] = {}
        self.gangs: dict[tuple, dict] = {}
        self.tasks: set[asyncio.Task] = set()
        self._turn = 0

    def spawn(self, coroutine) -> asyncio.Task:  # type: ignore[no-untyped-def]
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def write_config(self) -> None:
        self.version += 1
        routes = []
        for pool in self.pools:
            if pool == self.standby:
                continue
            route = {
                "name": f"queue-{pool}", "host": HOST, "prefix": f"/{pool}/",
                "service": pool, "timeoutMs": 3_000, "targetLatencyMs": 600,
                "priority": 0, "maxAttempts": self.max_attempts,
                "slowdownFactor": 2.0,
            }
            if self.adviser is not None:
                route["advice"] = {
                    "decideMs": self.adviser.decide_ms,
                    "perItemMs": self.adviser.per_item_ms,
                    "validMs": self.adviser.valid_ms,
                }
            routes.append(route)
        for more in self.more_routes:
            plain = {k: v for k, v in routes[0].items() if k != "advice"}
            routes.append(plain | more)
        config = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": pool, "enforceCapacity": True, "standby": pool == self.standby}
                for pool in self.pools
            ],
            "tenants": [
                {
                    "name": "tenant", "apiKeys": [KEY], "weight": 20,
                    "cap": {"cpu": self.cap},
                }
            ],
            "limits": {"maxBodyBytes": 262_144},
        }
        self.store.put("op/config", json.dumps(config).encode())
        self.record.add(f"configuration {self.version}, cap {self.cap}")

    async def open(self) -> None:
        """Starts all stand-ins and entries, and waits until the entries are ready."""
        for server in (self.store, self.cloud, self.adviser):
            if server is not None:
                await server.open()
        self.spawn(self.store.tick())
        self.write_config()
        for worker in self.workers:
            await worker.start()
            self.spawn(worker.live())
        for entry in self.entries:
            await entry.start()
        until = time.monotonic() + 20
        while not all([await entry.is_ready() for entry in self.entries]):
            if time.monotonic() > until:
                raise CaseError("the entries are not ready")
            for entry in self.entries:
                if entry.process.returncode is not None:
                    # Another process took one of its ports before it was bound.
                    self.record.add(f"entry {entry.name} ended; it gets other ports")
                    entry.choose_ports()
                    await entry.start()
            await asyncio.sleep(0.2)
        duties = len(self.pools) + 1 - (self.standby is not None)
        while len(self.holders()) < duties:
            if time.monotonic() > until:
                raise CaseError("the duties have no holders")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2)
        self.record.add(f"ready; holders {self.holders()}")

    def holders(self) -> dict[str, str]:
        """Returns the entry that holds each duty, by what the store has."""
        found = {}
        for key in list(self.store.items):
            if key.startswith("duties/") and key.endswith("/holder"):
                value = self.store.get(key) or b""
                found[key[7:-7]] = value.decode().split("/")[0]
        return found

    def holder(self, duty: str) -> Entry:
        name = self.holders()[duty]
        return next(entry for entry in self.entries if entry.name == name)

    def note_start(self, task: str, run: int, worker: str, token: int) -> None:
        self.record.add(f"start {task} run {run} at {worker} token {token}")
        job = self.jobs.get(task.split(".")[0])
        if job is not None:
            job.starts.append((self.record.now(), task, run, worker))

    def note_end(self, task: str, run: int, how: str, worker: str) -> None:
        self.record.add(f"end {task} run {run} at {worker}: {how}")
        job = self.jobs.get(task.split(".")[0])
        if job is not None:
            job.ends.append((self.record.now(), task, run, how, worker))

    def next_entry(self) -> Entry:
        self._turn += 1
        up = [e for e in self.entries if e.process and e.process.returncode is None]
        return up[self._turn % len(up)]

    async def submit(self, pool, steps, *, work_ms, spec="work", more=None) -> Job:  # type: ignore[no-untyped-def]
        """Hands a job in, again at another entry after no answer, 429, 503 or 504."""
        job = Job(uuid.uuid4().hex[:16], steps, work_ms)
        self.jobs[job.id] = job
        body = {"spec": spec, "steps": steps} | (more or {})
        for _ in range(20):
            entry = self.next_entry()
            try:
                status, _ = await call("POST", entry.callers, f"/{pool}/{job.id}", body)
            except (OSError, asyncio.TimeoutError, ValueError) as exc:
                status = type(exc).__name__
            self.record.add(f"POST {job.id} at {entry.name}: {status}")
            if status == 200:
                job.accepted_s = self.record.now()
                break
            if status in (400, 401, 404, 413):
                break
            await asyncio.sleep(0.5)
        return job

    async def state(self, pool: str, job: Job) -> str | int | None:
        """Asks for a job's state; None without an answer."""
        for _ in range(6):
            entry = self.next_entry()
            try:
                status, raw = await call("GET", entry.callers, f"/{pool}/{job.id}")
            except (OSError, asyncio.TimeoutError, ValueError):
                continue
            if status == 200:
                state = json.loads(raw)["state"]
                self.record.add(f"GET {job.id} at {entry.name}: {state}")
                return state
            self.record.add(f"GET {job.id} at {entry.name}: {status}")
            if status == 410:
                return status
            await asyncio.sleep(0.3)
        return None

    async def close(self) -> None:
        for entry in self.entries:
            if entry.process is not None and entry.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    entry.process.send_signal(signal.SIGCONT)
                    entry.process.kill()
                await entry.process.wait()
        for task in list(self.tasks):
            task.cancel()
        for worker in self.workers:
            for server, writers in worker.dark_servers:
                server.close()
                for writer in writers:
                    writer.transport.abort()
        for server in (self.store, self.cloud, self.adviser, *self.workers):
            if server is not None:
                server.shut()
        if keep := os.environ.get("KEEP_LOGS"):
            for entry in self.entries:
                Path(keep, entry.log.name).write_bytes(entry.log.read_bytes())
        self.record.close()
        self._temp.cleanup()


class CaseError(Exception):
    """The case could not run."""


def run_case(play) -> None:  # type: ignore[no-untyped-def]
    """Plays a case; exits with 1 if it returns the broken rule's text, 0 if it held.

    ``play`` gets the folder of the case and whether the disruption is to be made.
    """
    folder = Path(sys.argv[0]).resolve().parent
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(play(folder, with_trouble), 118))
    except Exception as exc:  # noqa: BLE001
        print(f"could not run: {exc!r}")
        sys.exit(2)
    for text in broken:
        print(text)
    with (folder / "record.txt").open("a") as file:
        file.writelines(f"RESULT {text}\n" for text in broken or ["the rule held"])
    sys.exit(1 if broken else 0)


__all__ = ["CaseError", "Job", "Site", "Worker", "call", "run_case"]
