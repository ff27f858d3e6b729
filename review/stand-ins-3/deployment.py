"""A small deployment: the project's entries as processes, and stand-ins around them."""

from __future__ import annotations

import http.client
import json
import os
import re
import secrets
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any, Callable

from adviser import Adviser
from machines import Machines
from record import Record
from store import Store
from wire import LOOPBACK, free_port
from worker import Bounds, Gangs, Worker

ROOT = Path(__file__).parents[2]
START_S = 30.0
HOST = "pule25.example"
KEY = "key-of-the-tenant"
PASSED_ON = ("PATH", "HOME", "LANG")

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

BOUNDS = {
    "contactMs": 3000,
    "ackMs": 4000,
    "drainMs": 2000,
    "graceS": 6,
    "configApplyMs": 2000,
    "revokeMs": 5000,
    "maxHoldMs": 10000,
    "stopMs": 200,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "status_s": 120,
    "leaseMs": 3000,
}


class NotRunError(Exception):
    """The case could not be played."""


def render(template: str, fields: dict[str, Any]) -> str:
    """Fills in a template as the platform does; for what the project's one uses."""

    def value(name: str, scope: list[Any]) -> Any:
        if name == ".":
            return scope[-1]
        for each in reversed(scope):
            found: Any = each
            for part in name.split("."):
                if isinstance(found, dict):
                    found = found.get(part)
                elif isinstance(found, list) and part.isdecimal():
                    found = found[int(part)]
                else:
                    found = None
            if found is not None:
                return found
        return None

    def fill(text: str, scope: list[Any]) -> str:
        def section(match: re.Match[str]) -> str:
            found = value(match[1], scope)
            return fill(match[2], [*scope, found]) if found else ""

        text = re.sub(
            r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, text, flags=re.DOTALL
        )

        def single(match: re.Match[str]) -> str:
            found = value(match[1], scope)
            if match[2]:
                return json.dumps(found)
            return "" if found is None else str(found)

        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", single, text)

    return fill(template, [fields])


class Entry:
    """One entry, started with the command of the deploy file."""

    def __init__(self, number: int, folder: Path, fields: dict[str, Any]) -> None:
        self.name = f"frontend-sk-north-a-{number}"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        self._template, self._fields = (ROOT / role["template"]).read_text(), fields
        self._settings = folder / f"{self.name}.toml"
        self._log = folder / f"{self.name}.log"
        self._command = role["run"].split()
        self._process: subprocess.Popen[bytes] | None = None
        self.choose_ports()

    def choose_ports(self) -> None:
        """Writes the settings with other ports, which hold from the next start on."""
        self.port, self.readiness_port = free_port(), free_port()
        own = self._fields | {
            "nodeName": self.name,
            "ip": LOOPBACK,
            "bindAddresses": {
                "frontend": f"{LOOPBACK}:{self.port}",
                "readiness": f"{LOOPBACK}:{self.readiness_port}",
            },
            "internalPorts": [free_port()],
        }
        self._settings.write_text(render(self._template, own))

    def start(self) -> None:
        env = {name: os.environ[name] for name in PASSED_ON if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["AMARANTHTRAY_NODE_FILE"] = str(self._settings)
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                self._command, cwd=ROOT, env=env, stdout=log, stderr=subprocess.STDOUT
            )

    def signal(self, number: int) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def end(self) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def wait_for_end(self, seconds: float) -> None:
        """Waits until the process has ended.

        Raises:
            subprocess.TimeoutExpired: It goes on after that time.
        """
        if self._process is not None:
            self._process.wait(seconds)

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    @property
    def is_ready(self) -> bool:
        connection = http.client.HTTPConnection(LOOPBACK, self.readiness_port, timeout=1)
        try:
            connection.request("GET", "/v1/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def log_lines(self, event: str) -> list[dict[str, Any]]:
        lines = self._log.read_text(errors="replace").splitlines()
        return [json.loads(line) for line in lines if f'"event":"{event}"' in line]


class Deployment:
    """Three entries, some workers, the store, the machines service and a client.

    Args:
        case: Folder of the case.
        services: Number of workers of each service.
        routes: Route rows of the first configuration.
        entries: Number of entries.
    """

    def __init__(
        self,
        case: Path,
        services: dict[str, int],
        routes: list[dict[str, Any]],
        *,
        entries: int = 3,
    ) -> None:
        self.record = Record(case / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.store, self.gangs = Store(), Gangs()
        self.adviser = Adviser(self.record)
        self.services, self.version = services, 0
        self.workers: list[Worker] = []
        for service, count in services.items():
            for number in range(count):
                self.add_worker(service, rack=f"r1-{number // 4 + 1}")
        self.machines = Machines(self)
        self.configure(routes)
        fields = {
            "zone": "sk-north-a",
            "limits": {"cpuShare": 0.537, "cores": 2, "linkMbps": 1000.0},
            "platform": {"address": self.store.server.address, "valueBytes": 1048576},
            "cloud": {"address": self.machines.server.address},
            "advice": self.adviser.server.address,
            "bounds": BOUNDS,
        }
        self.entries = [
            Entry(number + 1, self._folder, fields) for number in range(entries)
        ]

    def __enter__(self) -> Deployment:
        for entry in self.entries:
            entry.start()
        try:
            self.wait("all entries are ready", START_S, self._are_ready)
            self.wait("all pools are conducted", START_S, self._are_conducted)
            time.sleep(4.0)
        except BaseException:
            self.__exit__()
            raise
        self.record.note(f"all entries are ready; trouble: {self.trouble}")
        return self

    def __exit__(self, *_: object) -> None:
        for entry in self.entries:
            entry.end()
        for worker in self.workers:
            worker._life.is_over = True
        if os.environ.get("KEEP_LOGS"):
            self.record.note("logs are kept")
            sys.stderr.write(f"logs: {self._folder}\n")
        else:
            shutil.rmtree(self._folder, ignore_errors=True)

    def _are_ready(self) -> bool:
        for entry in self.entries:
            if not entry.is_running:
                # Another process has taken one of its ports.
                entry.choose_ports()
                entry.start()
        return all(entry.is_ready for entry in self.entries)

    def _are_conducted(self) -> bool:
        return all(
            any(f"/{service}/" in key and key.endswith("/holder") for key in keys)
            for keys in [self.store.keys("duties/")]
            for service in self.services
        )

    def add_worker(self, service: str, *, rack: str, machine: str = "") -> Worker:
        worker = Worker(
            service,
            store=self.store,
            record=self.record,
            gangs=self.gangs,
            rack=rack,
            machine=machine,
            bounds=Bounds(),
            adviser=self.adviser,
        )
        self.workers.append(worker)
        return worker

    def conductor(self, service: str) -> Entry | None:
        """Returns the entry that conducts a service's pool now."""
        holder = self.store.read(f"duties/conductor/{service}/holder").decode()
        name = holder.partition("/")[0]
        return next((each for each in self.entries if each.name == name), None)

    def worker_of(self, task: str) -> Worker | None:
        """Returns the worker that runs a task now."""
        for worker in self.workers:
            if any(name == task for name, _ in worker.tasks()):
                return worker
        return None

    def configure(self, routes: list[dict[str, Any]]) -> None:
        """Writes a configuration, as the operator does."""
        self.version += 2
        services = [
            {"name": name, "enforceCapacity": True, "standby": False}
            for name in self.services
        ]
        tenant = {"name": "tenant-1", "apiKeys": [KEY], "weight": 20, "cap": {"cpu": 0}}
        document = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "tenants": [tenant],
            "limits": {"maxBodyBytes": 262144},
        }
        self.store.put("op/config", document)
        self.record.note(f"configuration {self.version}: {json.dumps(routes)}")

    def call(
        self, entry: Entry, method: str, path: str, body: object = None
    ) -> tuple[int, dict[str, Any]]:
        """Sends a client's request; status 0 if there is no complete answer."""
        connection = http.client.HTTPConnection(LOOPBACK, entry.port, timeout=3)
        data = None if body is None else json.dumps(body)
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            "Authorization": f"Bearer {KEY}",
            "Deadline-Ms": "3000",
        }
        try:
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            text = response.read()
            status, reply = response.status, json.loads(text) if text else {}
        except (OSError, http.client.HTTPException, ValueError) as exc:
            status, reply = 0, {"error": type(exc).__name__}
        finally:
            connection.close()
        sent = "" if body is None else f" {data}"
        self.record.note(
            f"client: {method} {path}{sent} at {entry.name} -> {status} {reply}"
        )
        return status, reply

    def submit(self, prefix: str, job: str, body: object) -> None:
        """Hands a job in; repeats that at other entries until it is accepted."""
        for attempt in range(10):
            entry = self.entries[attempt % len(self.entries)]
            status, _ = self.call(entry, "POST", prefix + job, body)
            if 200 <= status < 300:
                return
            time.sleep(0.5)
        raise NotRunError(f"job {job} is not accepted")

    def state(self, path: str) -> tuple[int, str]:
        """Asks any entry that answers for a job's state."""
        for _ in range(6):
            for entry in self.entries:
                if not entry.is_running:
                    continue
                status, reply = self.call(entry, "GET", path)
                if status in (200, 404, 410):
                    return status, str(reply.get("state", ""))
            time.sleep(0.3)
        return 0, ""

    def wait(
        self, what: str, seconds: float, holds: Callable[[], bool], step_s: float = 0.02
    ) -> None:
        """Waits until something holds.

        Raises:
            NotRunError: It does not hold in that time.
        """
        end_s = time.monotonic() + seconds
        while not holds():
            if time.monotonic() > end_s:
                raise NotRunError(f"in {seconds} s it does not come that {what}")
            time.sleep(step_s)


def route(name: str, prefix: str, service: str, **fields: Any) -> dict[str, Any]:
    """Returns a route row."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "type": "unsafe",
        "timeoutMs": 3000,
        "targetLatencyMs": 600,
        "priority": 0,
        "service": service,
        "maxAttempts": 4,
        "slowdownFactor": 1.6,
        "public": False,
    } | fields


def new_id() -> str:
    """Returns a job id as a client chooses it."""
    return secrets.token_hex(8)


def main(play: Callable[[], str | None]) -> None:
    """Plays a case; ``play`` returns how the rule was broken, or None."""
    try:
        broken = play()
    except NotRunError as exc:
        sys.stdout.write(f"not run: {exc}\n")
        sys.exit(EXIT_NOT_RUN)
    sys.stdout.write(f"broken: {broken}\n" if broken else "held\n")
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)
