"""A worker refuses all starts while the others are full; clients ask for ``pending``."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import PREFIX, Deployment, NotRun, call, run_case
from worker import Fault

FULL_CPU, LONG_MS = 60_000, 12_000
SMALL_CPU, SMALL_MS, SMALL_JOBS = 5_000, 1_000, 10
GREY_S, VISIBLE_S = 6.5, 3.0 + 2.0


def play(site: Deployment, with_trouble: bool) -> bool:
    site.configure()
    site.start()
    grey, begin = site.workers[0], time.monotonic()
    if with_trouble:
        site.record.say(f"{grey.name} answers starts with 503 for {GREY_S} s")

        def fault(request: object) -> Fault | None:
            is_start = request.path == "/v1/run-start"
            is_grey = time.monotonic() < begin + GREY_S
            return Fault(status=503) if is_start and is_grey else None

        grey.fault = fault
    for number in range(7):
        step = {"count": 1, "cpu": FULL_CPU, "requestedMemoryMb": 512, "estimatedMs": LONG_MS}
        assert site.submit(f"{number:016x}", [step], {"ms": LONG_MS, "cpu": FULL_CPU})
    site.wait_for(lambda: len(site.runs()) >= 7, 3, "start of the large tasks")
    small = [f"{number:016x}" for number in range(100, 100 + SMALL_JOBS)]
    for job in small:
        step = {"count": 1, "cpu": SMALL_CPU, "requestedMemoryMb": 512, "estimatedMs": SMALL_MS}
        assert site.submit(job, [step], {"ms": SMALL_MS, "cpu": SMALL_CPU})
    accepted = time.monotonic()
    found = False
    while time.monotonic() < accepted + VISIBLE_S + 1.5:
        time.sleep(0.2)
        if time.monotonic() < accepted + VISIBLE_S:
            continue
        waiting = _not_begun(site, small)
        entry = site.entries[int(time.monotonic() * 10) % 3]
        status, answer = call(entry.port, "GET", PREFIX)
        after = _not_begun(site, small)
        site.record.add(f"GET pending at {entry.name}: {status} {answer}; not begun {after}")
        if status == 200 and waiting == after and answer["pending"] < len(after) / 2:
            site.record.say(f"pending is given as {answer['pending']}, but {len(after)} jobs"
                            f" haven't begun, accepted over {VISIBLE_S} s before")
            found = True
            break
    for job in small[:3]:
        site.ask("GET", job, site.entries[0])
    return found


def _not_begun(site: Deployment, jobs: list[str]) -> list[str]:
    begun = {run.task.split(".")[0] for run in site.runs()}
    return [job for job in jobs if job not in begun]


run_case(FOLDER, play)
