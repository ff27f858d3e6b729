"""A short burst on a queue with placement advice: the requester never recovers.

A pool of 8 workers and a queue with `advice`. Clients hand in 4 small jobs a second for
45 s; the adviser's calls take 136 ms, so they use it for 54 % of the time. For 4 s in
between 2.6 times as many jobs come. Afterwards the usual load goes on for 31 s.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand-ins-2"))

from site2 import Site, run_case

JOBS_PER_S = 4.0
TRAFFIC_S, BURST_AT_S, BURST_S, BURST_X = 45.0, 10.0, 4.0, 2.6
DECIDE_MS, PER_ITEM_MS, WORKERS = 80, 7, 8
FINISH_S, IDLE_S = 14.0, 3.0


async def play(folder: Path, with_trouble: bool) -> list[str]:
    site = Site(folder, pools={"pool": WORKERS}, advice=(DECIDE_MS, PER_ITEM_MS))
    try:
        await site.open()
        jobs = []

        async def hand_in() -> None:
            step = {
                "count": 2, "cpu": 1_000, "requestedMemoryMb": 100, "estimatedMs": 800,
            }
            jobs.append(await site.submit("pool", [step], work_ms=800))

        begun, sent = time.monotonic(), 0
        while (at_s := time.monotonic() - begun) < TRAFFIC_S:
            due = at_s * JOBS_PER_S
            if with_trouble:
                in_burst = min(max(at_s - BURST_AT_S, 0), BURST_S)
                due += in_burst * (BURST_X - 1) * JOBS_PER_S
            if sent < due:
                sent += 1
                site.spawn(hand_in())
            await asyncio.sleep(0.005)
        site.record.add("end of the traffic")
        await asyncio.sleep(FINISH_S)
        # Each of these could run for the whole of the next 3 s, and doesn't.
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
            f"{len(jobs)} jobs, {len(lost)} never started; at most "
            f"{max(room):.0%} of the pool was in use; {site.adviser.calls} calls for "
            f"advice in all"
        )
        if lost and max(room) < 0.5:
            return [
                f"LOST: {FINISH_S:.0f} s after the end of the traffic {len(lost)} of "
                f"{len(jobs)} accepted jobs had nothing running for {IDLE_S:.0f} s, "
                f"with at most {max(room):.0%} of the pool's capacity in use"
            ]
        return []
    finally:
        await site.close()


run_case(play)
