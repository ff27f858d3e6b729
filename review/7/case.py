"""A short outage of the store in a wave: the hosts to be emptied stay out of use.

Two pools of two workers. A job runs a task on each worker of pool `a`; then the
operator asks for upkeep of both machines, and the store is down for 2 s. Afterwards a
client hands in a small job to pool `a`, whose workers have nothing left to run.
"""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand-ins-2"))

from site2 import Site, run_case

OUTAGE_S = 2.0
WATCHED_S = 45.0


async def play(folder: Path, with_trouble: bool) -> list[str]:
    site = Site(folder, pools={"a": 2, "b": 2})
    try:
        await site.open()
        first = await site.submit(
            "a",
            [{"count": 2, "cpu": 1_000, "estimatedMs": 6_000, "antiAffinity": 1}],
            work_ms=6_000,
        )
        await asyncio.sleep(1)
        wave = {
            "wave": 1, "machines": ["m-a-0", "m-a-1"], "durationS": 26, "cap": 2,
        }
        site.store.put("op/wave/1", json.dumps(wave).encode())
        site.record.add(f"operator writes op/wave/1: {wave}")
        await asyncio.sleep(1)
        if with_trouble:
            site.store.set_busy(True)
            await asyncio.sleep(OUTAGE_S)
            site.store.set_busy(False)
        await asyncio.sleep(9)
        second = await site.submit(
            "a", [{"count": 1, "cpu": 1_000, "estimatedMs": 500}], work_ms=500
        )
        await asyncio.sleep(WATCHED_S)
        state = await site.state("a", second)
        await site.state("a", first)
        status = site.store.get("status/wave/1")
        site.record.add(f"status/wave/1: {status!r}; upkeeps {site.cloud.upkeeps}")
        site.record.add(f"holders: {site.holders()}")
        broken = []
        if second.accepted_s is not None and not second.starts:
            broken.append(
                f"LOST: job {second.id} was accepted at {second.accepted_s:.1f} s; "
                f"{WATCHED_S:.0f} s later nothing of it has started and it is shown "
                f"as {state!r}, though both workers of its pool run nothing; of the "
                f"wave's 2 machines {len(site.cloud.upkeeps)} had their upkeep"
            )
        return broken
    finally:
        await site.close()


run_case(play)
