"""A cancelled job starts after its cancelling was acknowledged, and runs on."""

from __future__ import annotations

import http.client
import json
import random
import threading
import time
from pathlib import Path

from deployment import HOST, KEY, Deployment, main, new_id, route
from wire import LOOPBACK, Call

PREFIX = "/puxa400/"
TASK_MS = 60_000
JOBS = 16
SPACING_S = 0.25
PATIENCE_S = 0.3
"""Half of the queue's objective, ``targetLatencyMs``."""

LOST_SHARE, LOST_S = 0.35, 4.5
LATE_S = (1.0, 6.0)
CALM_S = 3.0 + 3.0 + 0.2 + 2.0
"""``contactMs``, ``cancel_ms`` and ``stopMs``, and a margin."""


class Client:
    """Hands a job in; without an answer in time it leaves, and cancels the job."""

    def __init__(self, site: Deployment, number: int) -> None:
        self.site, self.job = site, new_id()
        self.first = site.entries[number % len(site.entries)]
        self.others = [each for each in site.entries if each is not self.first]
        self.cancelled_s: float | None = None
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        answer = self._submit()
        note = self.site.record.note
        note(f"client: POST {self.job} at {self.first.name} -> {answer}")
        for attempt in range(20):
            entry = self.others[attempt % len(self.others)]
            status, _ = self.site.call(entry, "DELETE", PREFIX + self.job)
            if status == 410 or 200 <= status < 300:
                self.cancelled_s = self.site.record.now_s()
                return
            time.sleep(0.2)

    def _submit(self) -> str:
        body = {
            "spec": json.dumps({"ms": TASK_MS, "cpu": 500}),
            "steps": [
                {
                    "count": 1,
                    "cpu": 500,
                    "requestedMemoryMb": 256,
                    "estimatedMs": TASK_MS,
                }
            ],
        }
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            "Authorization": f"Bearer {KEY}",
            "Deadline-Ms": "3000",
        }
        connection = http.client.HTTPConnection(
            LOOPBACK, self.first.port, timeout=PATIENCE_S
        )
        try:
            connection.request("POST", PREFIX + self.job, json.dumps(body), headers)
            return str(connection.getresponse().status)
        except OSError:
            return f"no answer in {PATIENCE_S} s, the client leaves"
        finally:
            connection.close()


def play() -> str | None:
    here = Path(__file__).parent
    queue = route("r-1", PREFIX, "alpha")
    with Deployment(here, {"alpha": 6}, [queue]) as site:
        if site.trouble:
            lose_writes(site)
        clients = [Client(site, number) for number in range(JOBS)]
        for client in clients:
            client.thread.start()
            time.sleep(SPACING_S)
        for client in clients:
            client.thread.join(10)
        site.record.note("all is calm from here on")
        time.sleep(CALM_S)
        broken = []
        for client in clients:
            running = site.worker_of(f"{client.job}.0.0.0")
            if running is None or client.cancelled_s is None:
                continue
            status, state = site.state(PREFIX + client.job)
            after_s = site.record.now_s() - client.cancelled_s
            broken.append(
                f"UNASKED: {client.job}.0.0.0 runs on at {running.id} {after_s:.1f} s "
                f"after its cancelling was acknowledged; GET: {status} {state}"
            )
        for text in broken:
            site.record.note(text)
        return "; ".join(broken) or None


def lose_writes(site: Deployment) -> None:
    """Leaves a share of the writes unanswered for a time, and does them late."""
    end_s = time.monotonic() + LOST_S
    rng = random.Random()

    def carry_out(call: Call) -> None:
        with site.store._changed:
            reply = site.store._carry_out(call)
        site.record.note(f"store: a write is carried out late: {reply.status}")

    def fault(call: Call) -> str | None:
        is_write = call.path == "/v1/kv-txn"
        if not is_write or time.monotonic() > end_s or rng.random() >= LOST_SHARE:
            return None
        keys = [put["key"] for put in call.body["setKeys"]]
        site.record.note(f"store: a write gets no answer: {keys}")
        threading.Timer(rng.uniform(*LATE_S), carry_out, (call,)).start()
        return "silent"

    site.store.fault = fault


main(play)
