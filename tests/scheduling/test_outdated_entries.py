"""A host's entry in the list holds for the incarnation that wrote it."""

from __future__ import annotations

import json

from amaranthtray.domain.jobs.model import Resources
from amaranthtray.domain.scheduling.messages import HostInfo, HostsListed
from amaranthtray.platform.documents import decode_host
from scheduling.parts import POOL, SchedulerHarness, a_job, a_step

FORMER, NEXT = 1_780_000_001_000, 1_780_000_002_000


def an_entry(born: int, cpu: int, *labels: str) -> HostInfo:
    """Returns a host as one incarnation of it describes itself."""
    entry = {
        "service": POOL,
        "address": "10.0.0.1:80",
        "state": "ready",
        "zone": "z",
        "version": "v1",
        "slots": 8,
        "coldRemainingMs": 0,
        "sequence": 1,
        "capacity": {"cpu": cpu, "requestedMemoryMb": 8_000, "gpu": 0},
        "labels": ["r1-1", *labels],
        "born": born,
    }
    decoded = decode_host("servers/h", json.dumps(entry).encode())
    assert decoded is not None
    return decoded[1]


def test_a_restarted_host_gets_no_runs_by_the_room_of_its_former_incarnation() -> None:
    """Guards against runs beyond the capacity of a host that is of another kind now."""
    harness = SchedulerHarness(an_entry(FORMER, 4_000))
    harness.report(born=FORMER)
    harness.report(born=NEXT)
    harness.submit(a_job(a_step(need=Resources(3_000, 1_000, 0))))
    assert harness.starts() == []
    harness.send(HostsListed((an_entry(NEXT, 4_000),)))
    assert len(harness.starts()) == 1


def test_a_restarted_host_gets_no_runs_by_the_labels_of_its_former_incarnation() -> (
    None
):
    """Guards against runs on a host that no longer has the label they require."""
    harness = SchedulerHarness(an_entry(FORMER, 4_000, "fast"))
    harness.report(born=FORMER)
    harness.report(born=NEXT)
    harness.submit(a_job(a_step(required_label="fast")))
    assert harness.starts() == []
    harness.send(HostsListed((an_entry(NEXT, 4_000, "fast"),)))
    assert len(harness.starts()) == 1
