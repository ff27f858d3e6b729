"""The operator lowers a tenant's cap while its tasks run in one of two services."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import BOUNDS, Deployment, NotRun, run_case

OTHER = "/other/"
FIRST, SECOND = "00000000000000e1", "00000000000000e2"
CAP_BEFORE, CAP_AFTER = 100_000, 50_000
TASKS, CPU, FIRST_MS = 15, 4_000, 6_000
SECOND_CPU, SECOND_MS = 8_000, 1_000
SETTLED_S, STILL_S = 5.0, 3.0


def play(site: Deployment, with_trouble: bool) -> bool:
    routes = [site.route("alpha"), site.route("beta", name="other", prefix=OTHER)]
    site.configure(routes, cap={"cpu": CAP_BEFORE})
    site.start()
    step = {"count": TASKS, "cpu": CPU, "requestedMemoryMb": 512, "estimatedMs": FIRST_MS}
    assert site.submit(FIRST, [step], {"ms": FIRST_MS, "cpu": CPU})
    site.wait_for(lambda: len(site.runs()) == TASKS, 10, "start of all tasks")
    site.configure(routes, cap={"cpu": CAP_AFTER if with_trouble else CAP_BEFORE})
    site.wait_for(lambda: all(run.how for run in site.runs()), 20, "end of the first job")
    time.sleep(SETTLED_S)
    status, answer = site.ask("GET", FIRST, site.entries[0])
    if answer != {"state": "completed"}:
        raise NotRun(f"the first job: {status} {answer}")
    step = {"count": 1, "cpu": SECOND_CPU, "requestedMemoryMb": 512, "estimatedMs": SECOND_MS}
    assert site.submit(SECOND, [step], {"ms": SECOND_MS, "cpu": SECOND_CPU}, OTHER)
    time.sleep(BOUNDS["finish_s"] + STILL_S)
    for entry in site.entries:
        status, answer = site.ask("GET", SECOND, entry, OTHER)
    starts = sum(run.task.startswith(SECOND) for run in site.runs())
    if starts:
        if answer.get("state") != "completed":
            raise NotRun(f"the second job has started, but isn't completed: {answer}")
        return False
    rows = site.store.read("caps/tenant")
    site.record.say(f"the second job has no start {BOUNDS['finish_s']} s and {STILL_S} s after"
                    f" its acceptance, though its tenant has nothing running; it is shown as"
                    f" {answer}; stored portions of the cap: {rows}")
    return True


run_case(FOLDER, play, services=("alpha", "beta"))
