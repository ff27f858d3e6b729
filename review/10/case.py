"""Workers crash one after the other: a job is shown as failed without a failed run.

A pool of 6 workers and one job of 18 tasks that take 25 s each. Every 6 s one worker,
drawn at random, crashes and is back after 4.5 s. No run of the job ends as `failed`.
"""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand-ins-2"))

from site2 import Site, run_case

WORKERS, TASKS, TASK_MS = 6, 18, 25_000
CRASH_EVERY_S, DOWN_S, CRASHES = 6.0, 4.5, 13
LONGEST_S = 100.0


async def play(folder: Path, with_trouble: bool) -> list[str]:
    rng = random.Random(int(os.environ.get("SEED", "1")))
    site = Site(folder, pools={"pool": WORKERS}, max_attempts=3)
    try:
        await site.open()
        step = {
            "count": TASKS, "cpu": 4_000, "requestedMemoryMb": 64,
            "estimatedMs": TASK_MS,
        }
        job = await site.submit("pool", [step], work_ms=TASK_MS)

        async def crash_workers() -> None:
            for _ in range(CRASHES):
                await asyncio.sleep(CRASH_EVERY_S - DOWN_S)
                worker = rng.choice(site.workers)
                worker.crash()
                await asyncio.sleep(DOWN_S)
                await worker.start()
                site.record.add(f"worker {worker.id} is back")

        if with_trouble:
            site.spawn(crash_workers())
        state, begun = None, site.record.now()
        while state not in ("failed", "completed"):
            if site.record.now() - begun > LONGEST_S:
                break
            await asyncio.sleep(1)
            state = await site.state("pool", job)
        ends: dict[str, int] = {}
        for _, _, _, how, _ in job.ends:
            ends[how] = ends.get(how, 0) + 1
        site.record.add(f"state {state!r}, ends {ends}")
        if state == "failed" and not ends.get("failed"):
            return [
                f"LOST: job {job.id} is shown as 'failed' without cause, "
                f"{site.record.now() - job.accepted_s:.0f} s after it was accepted: "
                f"none of its runs ended as failed (ends: {ends}), and nobody "
                "cancelled it"
            ]
        return []
    finally:
        await site.close()


run_case(play)
