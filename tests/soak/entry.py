"""One entry as a real process, started as on the platform."""

from __future__ import annotations

import http.client
import json
import os
import signal
import subprocess
import sys
import threading
from pathlib import Path
from typing import TYPE_CHECKING, Any

from soak.wire import JSON_HEADERS, LOOPBACK, free_port

if TYPE_CHECKING:
    from soak.store import StoreStandIn

ROOT = Path(__file__).parents[2]
HOST_HEADER, KEY = "jobs.example", "key-of-the-team"
PASSED_ON = ("PATH", "HOME", "LANG")

SETTINGS = """
[entry]
name = "{name}"
zone = "{zone}"
callers_address = "{callers}"
readiness_address = "{readiness}"
metrics_address = "{metrics}"
[store]
address = "{store}"
[hosts]
max_lease_ms = 10000
leaving_start_limit_ms = 2000
[jobs]
kept_after_end_s = 120
key_withdrawal_ms = 5000
cancellation_limit_ms = 3000
"""


class EntryProcess:
    """An entry's process; only it is ever signalled, by its own handle."""

    def __init__(self, name: str, zone: str, folder: Path, store: StoreStandIn) -> None:
        self.name = name
        self.port, self.readiness_port = free_port(), free_port()
        self.metrics_port = free_port()
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                callers=f"{LOOPBACK}:{self.port}",
                readiness=f"{LOOPBACK}:{self.readiness_port}",
                metrics=f"{LOOPBACK}:{self.metrics_port}",
                store=store.server.address,
            )
        )
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        self._lock = threading.Lock()
        self._is_closed = False
        self._restarts = 0

    def start(self) -> None:
        """Starts the process, unless the run is over."""
        with self._lock:
            if not self._is_closed:
                self._process = self._new_process()

    def _new_process(self) -> subprocess.Popen[bytes]:
        env = {name: os.environ[name] for name in PASSED_ON if name in os.environ}
        env["AMARANTHTRAY_NODE_FILE"] = str(self._settings)
        with self._log.open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "deploy/entry.py"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def restart(self, number: signal.Signals) -> None:
        """Ends the process with a signal and starts it again."""
        self._restarts += 1
        try:
            self.signal(number)
            self.wait()
            self.start()
        finally:
            self._restarts -= 1

    def wait(self) -> None:
        """Waits for the end of the process, and ends it if that takes too long."""
        if self._process is not None:
            try:
                self._process.wait(10)
            except subprocess.TimeoutExpired:
                self.kill()

    def kill(self) -> None:
        """Ends the process at once, also if it is stopped."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def close(self) -> None:
        """Ends the process for good, also if a fault is about to start it again."""
        with self._lock:
            self._is_closed = True
            self.kill()

    @property
    def pid(self) -> int:
        """Returns the id of the process; 0 before its start."""
        return self._process.pid if self._process is not None else 0

    @property
    def has_ended(self) -> bool:
        """Returns whether the process has ended and no restart is under way."""
        if self._restarts:
            return False
        return self._process is None or self._process.poll() is not None

    @property
    def is_ready(self) -> bool:
        port = self.readiness_port
        connection = http.client.HTTPConnection(LOOPBACK, port, timeout=1)
        try:
            connection.request("GET", "/v1/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def events(self, name: str) -> list[dict[str, Any]]:
        """Returns the log lines of one event."""
        rows = []
        for line in self._log.read_text(errors="replace").splitlines():
            if f'"event":"{name}"' in line:
                rows.append(json.loads(line))
        return rows


class Caller:
    """A caller with one connection to an entry, kept open until the entry is gone."""

    def __init__(self, entry: EntryProcess) -> None:
        self._entry = entry
        self._connection = http.client.HTTPConnection(LOOPBACK, entry.port, timeout=3)

    def call(self, method: str, path: str, body: object = None) -> tuple[int, Any]:
        """Returns the status and body of a reply; status 0 without a whole reply."""
        headers = JSON_HEADERS | {
            "Host": HOST_HEADER,
            "Authorization": f"Bearer {KEY}",
            "Deadline-Ms": "3000",
        }
        data = None if body is None else json.dumps(body)
        try:
            self._connection.request(method, path, data, headers)
            response = self._connection.getresponse()
            text = response.read()
            return response.status, json.loads(text) if text else {}
        except (OSError, http.client.HTTPException, ValueError):
            self._connection.close()
            return 0, {}
