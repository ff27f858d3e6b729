"""An answer of a worker is lost: the failure of a gang's run is counted twice."""

from __future__ import annotations

import json
import time
from pathlib import Path

from deployment import Deployment, main, new_id, route
from wire import Call

PREFIX = "/puxa400/"
MAX_ATTEMPTS = 3
TASK_MS = 9_000
MEMBERS = 2
DONE_S = 30.0


def play() -> str | None:
    here = Path(__file__).parent
    queue = route("r-1", PREFIX, "alpha", maxAttempts=MAX_ATTEMPTS)
    with Deployment(here, {"alpha": 6}, [queue]) as site:
        job = new_id()
        # The second member fails in the first run, the first one in the second run.
        spec = {
            "ms": TASK_MS,
            "cpu": 500,
            "gang": MEMBERS,
            "fail": {"1.1": 1_000, "0.2": 800},
        }
        body = {
            "spec": json.dumps(spec),
            "steps": [
                {
                    "count": MEMBERS,
                    "cpu": 500,
                    "requestedMemoryMb": 256,
                    "estimatedMs": TASK_MS,
                    "gang": True,
                    "antiAffinity": 1,
                }
            ],
        }
        site.submit(PREFIX, job, body)
        second = f"{job}.0.0.1"
        site.wait("the gang runs", 20, lambda: site.worker_of(second) is not None)
        worker = site.worker_of(second)
        if worker is not None and site.trouble:
            is_over: list[bool] = []

            def lose_one(call: Call) -> str | None:
                """Leaves the call that acknowledges the end without an answer."""
                if call.path == "/v1/hold" and call.body["acknowledged"] and not is_over:
                    is_over.append(True)
                    return "lost"
                return None

            worker.late_s = 8.0
            worker.fault = lose_one
        end_s = time.monotonic() + DONE_S
        status, state = 0, ""
        while time.monotonic() < end_s and state not in ("completed", "failed"):
            time.sleep(0.5)
            status, state = site.state(PREFIX + job)
        ends = site.record.ends_of(job, "failed")
        site.record.note(f"job {job}: {status} {state}; {len(ends)} ends `failed`")
        if state == "failed" and len(ends) < MAX_ATTEMPTS:
            return f"LOST: {job} is shown as failed after {len(ends)} ends `failed`"
        if state != "completed":
            return f"LOST: {job} is {status} {state} after {DONE_S} s"
        return None


main(play)
