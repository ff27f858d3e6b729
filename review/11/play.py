"""A configuration removes a route and adds one for another service in its place."""

from __future__ import annotations

import json
import time
from pathlib import Path

from deployment import Deployment, main, new_id, route

PREFIX = "/puxa400/"
TASK_MS = 12_000
JOBS = 3
AFTER_S = 4.0
"""Later than ``visible_ms`` and ``configApplyMs`` after the acknowledgements."""


def play() -> str | None:
    here = Path(__file__).parent
    old, new = route("r-1", PREFIX, "alpha"), route("r-2", PREFIX, "beta")
    with Deployment(here, {"alpha": 4, "beta": 4}, [old]) as site:
        body = {
            "spec": json.dumps({"ms": TASK_MS, "cpu": 500}),
            "steps": [
                {
                    "count": 2,
                    "cpu": 500,
                    "requestedMemoryMb": 256,
                    "estimatedMs": TASK_MS,
                }
            ],
        }
        jobs = [new_id() for _ in range(JOBS)]
        for job in jobs:
            site.submit(PREFIX, job, body)
        time.sleep(AFTER_S)
        if site.trouble:
            # One version removes the route and adds another one in its place.
            site.configure([new])
        time.sleep(AFTER_S)
        broken = []
        for job in jobs:
            status, state = site.state(PREFIX + job)
            if status == 410:
                broken.append(f"LOST: GET of {job}, accepted and not cancelled: 410")
        # Such a request occasionally arrives again, seconds after its 2xx answer.
        site.submit(PREFIX, jobs[0], body)
        time.sleep(2.0)
        running = {
            (task, worker.id, run)
            for worker in site.workers
            for task, run in worker.tasks()
        }
        for task in sorted({each[0] for each in running}):
            at = sorted(each[1:] for each in running if each[0] == task)
            if len(at) > 1:
                broken.append(f"TWICE: {task} runs at the same time as {at}")
        for text in broken:
            site.record.note(text)
        return "; ".join(broken) or None


main(play)
