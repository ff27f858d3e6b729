"""A worker leaves a start unanswered, refuses its repetition, and carries it out late."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import Deployment, NotRun, run_case
from rules import started_twice
from worker import Fault

JOB, WORK_MS, CPU = "00000000000000c1", 8_000, 4_000
LATE_S, UNHEALTHY_S = 4.2, 3.5


class Disruption:
    """The first start of the job is carried out late; the worker is then unhealthy."""

    def __init__(self) -> None:
        self.worker = ""
        self.until = 0.0

    def fault(self, name: str, call: object) -> Fault | None:
        if call.path != "/v1/run-start":
            return None
        if not self.worker:
            self.worker, self.until = name, time.monotonic() + UNHEALTHY_S
            return Fault(late_s=LATE_S)
        if name == self.worker and time.monotonic() < self.until:
            return Fault(status=503)
        return None


def play(site: Deployment, with_trouble: bool) -> bool:
    site.configure()
    site.start()
    if with_trouble:
        disruption = Disruption()
        for worker in site.workers:
            worker.fault = lambda call, name=worker.name: disruption.fault(name, call)
    step = {"count": 1, "cpu": CPU, "requestedMemoryMb": 512, "estimatedMs": WORK_MS}
    assert site.submit(JOB, [step], {"ms": WORK_MS, "cpu": CPU})
    for second in range(40):
        time.sleep(1)
        status, answer = site.ask("GET", JOB, site.entries[second % 3])
        if status == 200 and answer.get("state") == "completed":
            break
    else:
        raise NotRun("the job isn't completed")
    found = started_twice(site)
    for line in found:
        site.record.say(line)
    return bool(found)


run_case(FOLDER, play)
