"""A small deployment: entries as separate processes, a platform and workers as stand-ins."""

from __future__ import annotations

import http.client
import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from record import Record
from store import Store
from wire import LOOPBACK, Call, Server, free_port
from worker import Worker

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
HELD, BROKEN, NOT_RUN = 0, 1, 2
BOUNDS = {
    "contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "configApplyMs": 2000,
    "strictRevocation": True, "revokeMs": 5000, "quotaOverage": 0.1, "maxHoldMs": 6000,
    "stopMs": 900, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "finish_s": 14, "status_s": 120, "leaseMs": 3000, "migrationS": 1.5, "maintenanceS": 2,
    "fencingEnforced": False,
}
KEY = "key-of-the-tenant"
PREFIX, HOST = "/jobs/", "jobs.example"
TAG = re.compile(r"\{\{([#^/])?([^{}|]*)(?:\|(json))?\}\}")


class NotRun(Exception):
    """The case could not be run to its end."""


def render(template: str, fields: dict[str, Any]) -> str:
    """Fills in a settings template by the rules of the users' deployment page."""
    def look(name: str, current: Any) -> Any:
        if name == ".":
            return current
        for base in (current, fields):
            value = base
            for part in name.split("."):
                if isinstance(value, dict):
                    value = value.get(part)
                elif isinstance(value, list) and part.isdecimal() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
            if value is not None:
                return value
        return None

    def fill(text: str, current: Any) -> str:
        out, position = "", 0
        while (tag := TAG.search(text, position)) is not None:
            out += text[position:tag.start()]
            kind, name, as_json = tag.groups()
            position = tag.end()
            value = look(name, current)
            if kind is None:
                out += json.dumps(value) if as_json else str("" if value is None else value)
                continue
            close = text.index("{{/" + name + "}}", position)
            inner, position = text[position:close], close + len(name) + 5
            if (kind == "#") == (value is not None and value is not False):
                out += fill(inner, value)
        return out + text[position:]

    return fill(template, fields)


class Entry:
    """One process of the system, started as the deploy file says."""

    def __init__(self, name: str, zone: str, folder: Path, store: str, cloud: str) -> None:
        self.name = name
        self.port, self.ready_port = free_port(), free_port()
        fields = {
            "nodeName": name, "zone": zone, "ip": LOOPBACK,
            "bindAddresses": {"frontend": f"{LOOPBACK}:{self.port}",
                              "readiness": f"{LOOPBACK}:{self.ready_port}"},
            "internalPorts": [free_port()],
            "limits": {"cpuShare": 0.537, "cores": 2, "linkMbps": 1000.0},
            "platform": {"address": store}, "cloud": {"address": cloud}, "bounds": BOUNDS,
        }
        template = (ROOT / "deploy/settings.toml.template").read_text()
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(render(template, fields))
        self._log = (folder / f"{name}.log").open("ab")
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"PYTHONPATH": "target/deps", "AMARANTHTRAY_NODE_FILE": str(self._settings),
                "PYTHONDONTWRITEBYTECODE": "1"}
        self.process = subprocess.Popen(
            ["python3", "deploy/entry.py"], cwd=ROOT, env=env,
            stdout=self._log, stderr=subprocess.STDOUT,
        )

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Ends the process at once."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def is_ready(self) -> bool:
        status, _ = call(self.ready_port, "GET", "/v1/readyz", timeout_s=1)
        return status == 200


def call(
    port: int, method: str, path: str, body: Any = None, *, key: str = KEY, timeout_s: float = 3
) -> tuple[int | None, Any]:
    """Sends one call of a client; status None means that no complete answer came."""
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=timeout_s)
    headers = {"Host": HOST, "Authorization": f"Bearer {key}", "Content-Type": "application/json",
               "Deadline-Ms": str(int(timeout_s * 1_000))}
    try:
        connection.request(method, path, None if body is None else json.dumps(body), headers)
        response = connection.getresponse()
        data = response.read()
        return response.status, json.loads(data) if data else {}
    except (OSError, http.client.HTTPException, ValueError) as exc:
        return None, type(exc).__name__
    finally:
        connection.close()


class Deployment:
    """The processes and stand-ins of one case; use it in a ``with`` block."""

    def __init__(
        self, folder: Path, *, workers: int = 8, cpu: int = 64_000, entries: int = 3,
        services: tuple[str, ...] = ("alpha",),
    ) -> None:
        self.record = Record(folder / "record.txt")
        self._temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self._cloud = Server(self._machines)
        self.workers: list[Worker] = []
        for service in services:
            for number in range(workers):
                self.workers.append(Worker(
                    f"w-{service}-{number}", f"m-{service}-{number}", service, self.store,
                    self.record, zone=ZONES[number % 3], rack=f"r{number // 4}", cpu=cpu,
                    max_hold_ms=BOUNDS["maxHoldMs"], stop_ms=BOUNDS["stopMs"],
                ))
        self.services = services
        self.entries = [
            Entry(f"entry-{n}", ZONES[n % 3], self._temporary, self.store.address,
                  self._cloud.address)
            for n in range(entries)
        ]
        self._version = 0

    def __enter__(self) -> Deployment:
        return self

    def __exit__(self, *_: object) -> None:
        for entry in self.entries:
            entry.kill()
        self.record.write()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self._temporary, kept, dirs_exist_ok=True)
        shutil.rmtree(self._temporary, ignore_errors=True)

    def configure(self, routes: list[dict[str, Any]] | None = None, **tenant: Any) -> float:
        """Writes a configuration, as the operator does; returns when it was acknowledged."""
        self._version += 3
        document = {
            "version": self._version,
            "routes": routes or [self.route(self.services[0])],
            "services": [{"name": name, "enforceCapacity": True} for name in self.services],
            "tenants": [{"name": "tenant", "apiKeys": [KEY], "weight": 20, **tenant}],
            "limits": {"maxBodyBytes": 262_144},
        }
        self.store.put("op/config", document)
        self.record.add(f"operator writes version {self._version}")
        return time.monotonic()

    @staticmethod
    def route(service: str, **more: Any) -> dict[str, Any]:
        return {"name": "jobs", "host": HOST, "prefix": PREFIX, "service": service,
                "timeoutMs": 3000, "targetLatencyMs": 600, "priority": 0, "maxAttempts": 4,
                "slowdownFactor": 2.0, **more}

    def start(self) -> None:
        """Starts the entries and waits until the pools have conductors that know their hosts."""
        for entry in self.entries:
            entry.start()
        self.wait_for(lambda: all(entry.is_ready() for entry in self.entries), 20, "ready")
        self.wait_for(lambda: all(self.conductor(s) for s in self.services), 20, "conductors")
        time.sleep(2)

    def conductor(self, service: str) -> Entry | None:
        """Returns the entry that conducts a service's pool, by its key in the store."""
        name = self.store.holder(f"conductor/{service}")
        return next((entry for entry in self.entries if entry.name == name), None)

    def wait_for(self, holds: Any, seconds: float, what: str) -> None:
        end = time.monotonic() + seconds
        while not holds():
            if time.monotonic() > end:
                raise NotRun(f"no {what} after {seconds} s")
            time.sleep(0.05)

    def submit(
        self, job: str, steps: list[dict[str, Any]], spec: dict[str, Any], prefix: str = PREFIX
    ) -> bool:
        """Hands a job in, again at other entries while no answer decides; True: accepted."""
        body = {"spec": json.dumps(spec), "steps": steps}
        for attempt in range(5):
            entry = self.entries[(int(job, 16) + attempt) % len(self.entries)]
            status, answer = call(entry.port, "POST", prefix + job, body)
            self.record.add(f"POST {job} at {entry.name}: {status} {answer}")
            if status == 200:
                return True
            time.sleep(0.3)
        return False

    def ask(
        self, method: str, job: str, entry: Entry, prefix: str = PREFIX
    ) -> tuple[int | None, Any]:
        """Asks about a job; like a client, it asks again after a 503."""
        for _ in range(5):
            status, answer = call(entry.port, method, prefix + job)
            self.record.add(f"{method} {job} at {entry.name}: {status} {answer}")
            if status != 503:
                break
            time.sleep(0.2)
        return status, answer

    def runs(self) -> list[Any]:
        return [run for worker in self.workers for run in worker.runs]

    def _machines(self, request: Call) -> tuple[int, Any]:
        if request.path == "/v1/machines":
            return 200, {"machines": [
                {"machine": w.machine, "pool": w.service, "state": "up" if w.is_up else "down",
                 "zone": "", "labels": ["a", "r"], "capacity": {},
                 "id": w.name if w.is_up else None}
                for w in self.workers
            ], "nextPageToken": None}
        self.record.add(f"machine order {request.path} {request.body}: 409 busy")
        return 409, {"reason": "busy"}


def run_case(folder: Path, play: Any, **options: Any) -> None:
    """Plays a case and ends the process with its verdict."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    code = NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    with Deployment(folder, **options) as site:
        watchdog = threading.Timer(int(os.environ.get("MOST_S", "112")), _give_up, (site,))
        watchdog.daemon = True
        watchdog.start()
        try:
            code = BROKEN if play(site, with_trouble) else HELD
        except Exception as exc:
            # A fault of the script or of a stand-in is no broken rule.
            site.record.say(f"the case could not run: {exc!r}")
        site.record.say(f"verdict: {['held', 'broken', 'not run'][code]}")
    sys.stdout.flush()
    os._exit(code)


def _give_up(site: Deployment) -> None:
    """Ends a case that takes too long, and all processes that it started."""
    site.record.say("verdict: not run, it took too long")
    site.__exit__()
    os._exit(NOT_RUN)
