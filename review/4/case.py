"""The conductor of a pool is killed while the tasks of a large job end."""

import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import Deployment, NotRun, run_case
from rules import started_twice

JOB, TASKS, WORK_MS = "00000000000000b1", 640, 5_000
KILL_AFTER_S = 4.7
"""Time after the first start: shortly before the tasks begin to end."""

BACK_AFTER_S = 3.0


def play(site: Deployment, with_trouble: bool) -> bool:
    site.configure()
    site.start()
    step = {"count": TASKS, "cpu": 100, "requestedMemoryMb": 64, "estimatedMs": WORK_MS}
    assert site.submit(JOB, [step], {"ms": WORK_MS, "cpu": 100})
    site.wait_for(lambda: len(site.runs()) >= TASKS, 20, "start of all tasks")
    begun = sorted(run.begun for run in site.runs())
    site.record.say(f"{TASKS} tasks started within {begun[-1] - begun[0]:.1f} s")
    if with_trouble:
        time.sleep(max(0.0, begun[0] + KILL_AFTER_S - time.monotonic()))
        _kill_conductor(site)
    for second in range(40):
        time.sleep(1)
        status, answer = site.ask("GET", JOB, site.entries[second % 3])
        if status == 200 and answer.get("state") == "completed":
            break
    else:
        raise NotRun("the job isn't completed")
    found = started_twice(site)
    for line in found[:10]:
        site.record.say(line)
    site.record.say(f"{len(found)} of {TASKS} tasks ran twice")
    return bool(found)


def _kill_conductor(site: Deployment) -> None:
    conductor = site.conductor("alpha")
    if conductor is None:
        raise NotRun("no conductor")
    site.record.say(f"SIGKILL to {conductor.name}, which conducts the pool")
    conductor.kill()
    time.sleep(BACK_AFTER_S)
    conductor.start()


run_case(FOLDER, play)
