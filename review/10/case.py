"""One job of many tasks keeps a whole pool from starting anything.

A pool of 8 workers of 64 cores each. Clients hand in a small job each second. One job has
two steps of 10,000 tasks of 0.02 cores; its whole need fits into the pool at once, and it
is answered 200.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand-ins-2"))

from site2 import Site, run_case

TRAFFIC_S, EVERY_S, LARGE_AT_S = 30.0, 1.0, 5.0
TASKS, STEPS = 10_000, 2
FINISH_S, IDLE_S = 14.0, 3.0


async def play(folder: Path, with_trouble: bool) -> list[str]:
    site = Site(folder, pools={"pool": 8}, cpu=64_000)
    try:
        await site.open()
        step = {"count": TASKS, "cpu": 20, "estimatedMs": 1_000}
        small = {"count": 1, "cpu": 100, "estimatedMs": 300}
        jobs, large, begun = [], None, time.monotonic()
        while (at_s := time.monotonic() - begun) < TRAFFIC_S:
            if with_trouble and at_s > LARGE_AT_S and large is None:
                large = await site.submit("pool", [step] * STEPS, work_ms=1_000)
            jobs.append(await site.submit("pool", [small], work_ms=300))
            await asyncio.sleep(EVERY_S)
        site.record.add("end of the traffic")
        await asyncio.sleep(FINISH_S)
        waiting = [job for job in jobs if job.accepted_s is not None and not job.starts]
        room = []
        until = time.monotonic() + IDLE_S
        while time.monotonic() < until:
            used = sum(r["cpu"] for w in site.workers for r in w.runs.values())
            room.append(used / sum(w.cpu for w in site.workers))
            await asyncio.sleep(0.05)
        lost = [job for job in waiting if not job.starts]
        for job in lost:
            await site.state("pool", job)
        site.record.add(
            f"{len(jobs)} small jobs, {len(lost)} never started; at most "
            f"{max(room):.0%} of the pool was in use; writes refused as too large: "
            f"{site.store.too_large}"
        )
        if lost and max(room) < 0.5:
            return [
                f"LOST: {FINISH_S:.0f} s after the end of the traffic {len(lost)} of "
                f"{len(jobs)} accepted small jobs had nothing running for "
                f"{IDLE_S:.0f} s, with at most {max(room):.0%} of the pool's capacity "
                f"in use; of the large job {len(large.starts)} tasks had started"
            ]
        return []
    finally:
        await site.close()


run_case(play)
