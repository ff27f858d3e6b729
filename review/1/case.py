"""Workers crash under one healthy task, one after the other."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import Deployment, run_case

JOB, WORK_MS = "00000000000000a1", 15_000
CRASHES, DOWN_S = 3, 1.5


def play(site: Deployment, with_trouble: bool) -> bool:
    site.configure()
    site.start()
    step = {"count": 1, "cpu": 4_000, "requestedMemoryMb": 512, "estimatedMs": WORK_MS}
    assert site.submit(JOB, [step], {"ms": WORK_MS, "cpu": 4_000})
    if with_trouble:
        for _ in range(CRASHES):
            _crash_worker_of_task(site)
    for second in range(45):
        time.sleep(1)
        status, answer = site.ask("GET", JOB, site.entries[second % 3])
        state = answer.get("state") if status == 200 else None
        if state == "failed":
            ends = sum(run.how == "failed" for run in site.runs())
            site.record.say(f"the job is shown as failed; {ends} of its runs ended failed")
            return ends < 4
        if state == "completed":
            return False
    site.record.say("the job isn't completed")
    return True


def _crash_worker_of_task(site: Deployment) -> None:
    """Crashes the worker on which the task has run for a second; it is back soon."""
    def busy() -> list:
        return [worker for worker in site.workers if worker.is_up and worker.running_names()]

    try:
        site.wait_for(busy, 15, "run of the task")
    except Exception:
        return
    time.sleep(1)
    worker = (busy() or [None])[0]
    if worker is not None:
        worker.crash()
        time.sleep(DOWN_S)
        worker.restart()


run_case(FOLDER, play)
