"""A pool's claims on teams' caps, with a store that fails."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from amaranthtray.domain.ids import PoolName, TeamName
from amaranthtray.domain.jobs.model import NO_RESOURCES, Resources
from amaranthtray.domain.scheduling.caps import ClaimPortion, PortionsRead
from amaranthtray.jobs.cap_portion_writer import CAPS_PREFIX, CapPortionWriter
from amaranthtray.jobs.metrics_registry import MetricsRegistry
from amaranthtray.store.faults import Fault
from jobs.store_site import StoreSite
from jobs.test_run_time_store import Log

RED, A = TeamName("red"), PoolName("a")
KEY, CAP = f"{CAPS_PREFIX}red", Resources(10_000, 0, 0)


class Site(StoreSite):
    """A writer of pool A, and what it posts, counts and logs."""

    def __init__(self) -> None:
        super().__init__()
        self.posted: list[Any] = []
        self.metrics, self.lines = MetricsRegistry(), Log()
        self.context: Any = SimpleNamespace(
            store=self.store, log=self.lines, metrics=self.metrics
        )
        self.writer = CapPortionWriter(
            A, self.context, self.posted.append, lambda: True
        )

    def claim(self, cpu: int) -> bool:
        """Claims a portion, as the writer's thread does."""
        want = Resources(cpu, 0, 0)
        return self.writer._claim(ClaimPortion(RED, NO_RESOURCES, want, CAP))


def test_an_unreadable_row_does_not_end_the_conductor() -> None:
    """Guards against a row at which each conductor of the pool ends in turn."""
    site = Site()
    site.platform.write(KEY, b"{", 0, None, "").unwrap()
    assert site.writer.load()
    assert site.posted == [PortionsRead(RED, {})]
    assert site.claim(4_000)
    stored = msgspec.json.decode(site.platform.read(KEY).value)
    assert stored == {"a": [4_000, 0, 0]}


@pytest.mark.parametrize(
    ("step", "fault", "kind"),
    [
        ("get", Fault.ERROR, "not_read"),
        ("compare_and_swap", Fault.ERROR, "not_written"),
        ("compare_and_swap", Fault.LOST_REPLY, "unknown"),
    ],
)
def test_a_claim_that_fails_is_counted_and_changes_nothing_here(
    step: str, fault: Fault, kind: str
) -> None:
    """Guards against a portion that counts as held although no reply came."""
    site = Site()
    site.plan_faults(step, fault)
    assert site.claim(4_000)
    assert not site.posted
    assert site.metrics.totals("cap_claims") == {kind: 1}
    assert [event for event, _ in site.lines.lines] == ["portion-not-changed"]
    site.claim(4_000)
    assert site.posted == [PortionsRead(RED, {A: Resources(4_000, 0, 0)})]
