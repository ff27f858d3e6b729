"""Another writer leaves an entry with missing fields in the list of workers."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import BOUNDS, Deployment, NotRun, run_case
from wire import LOOPBACK, free_port

BEFORE, AFTER = "00000000000000d1", "00000000000000d2"
TASKS, CPU, WORK_MS = 4, 2_000, 500
STILL_S = 3.0


def play(site: Deployment, with_trouble: bool) -> bool:
    site.configure()
    site.start()
    step = {"count": TASKS, "cpu": CPU, "requestedMemoryMb": 512, "estimatedMs": WORK_MS}
    assert site.submit(BEFORE, [step], {"ms": WORK_MS, "cpu": CPU})
    site.wait_for(lambda: sum(bool(run.how) for run in site.runs()) == TASKS, 10, "first job")
    if with_trouble:
        entry = {"service": "alpha", "address": f"{LOOPBACK} :{free_port()}", "state": "ready"}
        site.store.put("servers/of-another-writer", entry)
        site.record.say(f"another writer leaves the entry {entry}")
    time.sleep(2)
    assert site.submit(AFTER, [step], {"ms": WORK_MS, "cpu": CPU})
    time.sleep(BOUNDS["finish_s"] + STILL_S)
    for entry in site.entries:
        status, answer = site.ask("GET", AFTER, entry)
    starts = sum(run.task.startswith(AFTER) for run in site.runs())
    if status != 200:
        raise NotRun(f"the second job: {status} {answer}")
    if starts:
        if answer["state"] != "completed":
            raise NotRun(f"the second job has started, but isn't completed: {answer}")
        return False
    dead = sum(entry.process.poll() is not None for entry in site.entries)
    site.record.say(f"the second job has {starts} starts {BOUNDS['finish_s']} s and {STILL_S} s"
                    f" after its acceptance and is shown as {answer}; all workers are idle,"
                    f" {dead} entries have ended")
    return True


run_case(FOLDER, play)
