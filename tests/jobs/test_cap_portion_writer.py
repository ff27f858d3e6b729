"""A pool's claims on teams' caps, with a store that fails."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from amaranthtray.domain.duties.names import conductor_duty
from amaranthtray.domain.ids import PoolName, TeamName, Term
from amaranthtray.domain.jobs.model import Resources
from amaranthtray.domain.scheduling.caps import (
    ClaimFailed,
    ClaimPortion,
    PortionsRead,
)
from amaranthtray.jobs.cap_portion_writer import CAPS_PREFIX, CapPortionWriter
from amaranthtray.jobs.metrics_registry import MetricsRegistry
from amaranthtray.jobs.term_guard import TermGuard
from amaranthtray.store.duties import term_key
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
        self.writer = self.new_writer(1)

    def new_writer(self, term: int) -> CapPortionWriter:
        """Returns the writer of a conductor that has begun its term."""
        key = term_key(conductor_duty(A))
        stored = self.platform.read(key)
        version = stored.version if stored else 0
        value = msgspec.json.encode({"term": term, "claim": "e"})
        self.platform.write(key, value, version, None, "").unwrap()
        guard = TermGuard(Term(term), lambda: Term(term))
        writer = CapPortionWriter(A, self.context, self.posted.append, guard)
        assert writer.load()
        return writer

    def claim(self, cpu: int, used: int = 0) -> PortionsRead | ClaimFailed:
        """Claims a portion, as the writer's thread does."""
        used_now, want = Resources(used, 0, 0), Resources(cpu, 0, 0)
        return self.writer.carry_out(ClaimPortion(RED, used_now, want, CAP, number=7))

    def stored(self) -> int:
        """Returns the CPU of the pool's stored portion."""
        row = msgspec.json.decode(self.platform.read(KEY).value)
        return int(row[A][0])


def portion(cpu: int) -> PortionsRead:
    """Returns the result of a claim that gives pool A a portion."""
    return PortionsRead(RED, {A: Resources(cpu, 0, 0)}, 7)


def test_an_unreadable_row_does_not_end_the_conductor() -> None:
    """Guards against a row at which each conductor of the pool ends in turn."""
    site = Site()
    site.platform.write(KEY, b"{", 0, None, "").unwrap()
    assert site.writer.load()
    assert site.posted == [PortionsRead(RED, {})]
    assert site.claim(4_000) == portion(4_000)
    assert site.stored() == 4_000


@pytest.mark.parametrize(
    ("step", "fault", "kind"),
    [
        ("get", Fault.ERROR, "not_read"),
        ("commit", Fault.ERROR, "not_written"),
        ("commit", Fault.LOST_REPLY, "unknown"),
    ],
)
def test_a_claim_that_fails_is_counted_and_reported(
    step: str, fault: Fault, kind: str
) -> None:
    """Guards against a portion that counts as held although no reply came."""
    site = Site()
    site.plan_faults(step, fault)
    assert site.claim(4_000) == ClaimFailed(RED, 7)
    assert site.metrics.totals("cap_claims") == {kind: 1}
    assert [event for event, _ in site.lines.lines] == ["portion-not-changed"]
    assert site.claim(4_000) == portion(4_000)


def test_a_delayed_write_does_not_shrink_a_portion_that_is_used_again() -> None:
    """Guards against more running than the cap: the rest was given to another pool."""
    site = Site()
    site.claim(8_000)
    site.plan_faults("commit", Fault.LATE_EFFECT)
    assert site.claim(1_000) == ClaimFailed(RED, 7)
    assert site.claim(8_000) == portion(8_000)
    site.platform.apply_delayed_writes()
    assert site.stored() == 8_000


def test_a_delayed_write_of_an_earlier_conductor_does_not_shrink_a_portion() -> None:
    """Guards against the same after a takeover, before the first claim."""
    site = Site()
    site.claim(8_000)
    site.plan_faults("commit", Fault.LATE_EFFECT)
    site.claim(1_000)
    site.new_writer(2)
    site.platform.apply_delayed_writes()
    assert site.stored() == 8_000


def test_a_conductor_whose_term_is_over_reads_no_portions() -> None:
    site = Site()
    site.new_writer(2)
    assert not site.writer.load()


def test_a_claim_that_waits_is_replaced_by_the_next_one_of_its_team() -> None:
    """Guards against claims of many teams that wait ever longer for a slow store."""
    site = Site()
    posted = len(site.posted)
    blue = TeamName("blue")
    for number, team in enumerate((RED, blue, RED, RED), 1):
        want = Resources(1_000 * number, 0, 0)
        site.writer.claim(
            ClaimPortion(team, Resources(0, 0, 0), want, CAP, number=number)
        )
    site.writer.stop()
    site.writer._run()
    assert [reply.number for reply in site.posted[posted:]] == [4, 2]
    assert site.stored() == 4_000
