"""A route is renamed and the entries restart: a job of its queue never goes on."""

from __future__ import annotations

import json
import signal
import subprocess
import time
from pathlib import Path

from deployment import Deployment, Entry, NotRunError, main, new_id, route

PREFIX = "/puxa400/"
ADVICE = {"decideMs": 20, "perItemMs": 2, "validMs": 3000}
FIRST_MS, SECOND_MS = 26_000, 1_000
GRACE_S = 6.0
GAP_S = 1.3
FINISH_S = 14.0
IDLE_S = 3.0


def play() -> str | None:
    here = Path(__file__).parent
    old = route("r-1", PREFIX, "alpha", advice=ADVICE)
    new = route("r-2", PREFIX, "alpha", advice=ADVICE)
    with Deployment(here, {"alpha": 6}, [old]) as site:
        job, other = new_id(), new_id()
        site.adviser.jobs |= {job, other}
        site.submit(PREFIX, job, body(FIRST_MS, SECOND_MS))
        site.wait("its first step runs", 20, lambda: bool(site.record.starts_of(job)))
        if site.trouble:
            # One version removes the route and adds one of another name in its place.
            site.configure([new])
            time.sleep(3.0)
            for entry in site.entries:
                restart(site, entry)
                time.sleep(GAP_S)
        if site.trouble and site.record.ends_of(job, "done"):
            raise NotRunError("the restarts took longer than the first step")
        site.wait(
            "its first step is done",
            40,
            lambda: bool(site.record.ends_of(job, "done")),
        )
        # A job that is handed in now shows that the queue is served.
        site.submit(PREFIX, other, body(500, 500))
        time.sleep(FINISH_S)
        before = len(site.record.starts_of(job))
        time.sleep(IDLE_S)
        status, state = site.state(PREFIX + job)
        is_idle = not any(worker.tasks() for worker in site.workers)
        _, other_state = site.state(PREFIX + other)
        site.record.note(
            f"job {job}: {status} {state}; job {other}: {other_state}; idle: {is_idle}"
        )
        if other_state != "completed":
            raise NotRunError("the queue is not served")
        if state == "completed":
            return None
        if is_idle and len(site.record.starts_of(job)) == before:
            return (
                f"LOST: {job} is {status} {state} {FINISH_S} s after the end of the "
                f"traffic, and has had nothing running for {IDLE_S} s, with all "
                "workers idle"
            )
        raise NotRunError(f"job {job} is {status} {state}")


def body(first_ms: int, second_ms: int) -> dict[str, object]:
    """Returns a job of two steps; a task's time is that of its step."""
    step = {"count": 1, "cpu": 500, "requestedMemoryMb": 256}
    return {
        "spec": json.dumps({"ms": first_ms, "ms_of_step": [first_ms, second_ms]}),
        "steps": [
            step | {"estimatedMs": first_ms},
            step | {"estimatedMs": second_ms, "after": [0]},
        ],
    }


def restart(site: Deployment, entry: Entry) -> None:
    """Stops an entry gracefully and starts it again."""
    site.record.note(f"{entry.name} gets SIGTERM")
    entry.signal(signal.SIGTERM)
    try:
        entry.wait_for_end(GRACE_S)
    except subprocess.TimeoutExpired:
        entry.end()
    entry.start()
    site.wait(f"{entry.name} is ready", 20, lambda: entry.is_ready)


main(play)
