"""In a full pool each team gets the share that its weight grants."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from amaranthtray.domain.ids import TeamName
from amaranthtray.domain.jobs.task import RunOutcome
from amaranthtray.domain.scheduling.messages import StartOutcome
from amaranthtray.domain.scheduling.shares import ShareMeter
from scheduling.parts import SchedulerHarness, a_catalog, a_host, a_job, an_end

if TYPE_CHECKING:
    from amaranthtray.domain.scheduling.orders import StartRun

RED, BLUE = TeamName("red"), TeamName("blue")


def test_submissions_beyond_the_weight_are_excess() -> None:
    catalog, meter = a_catalog(weights={RED: 2}), ShareMeter()
    for number in range(12):
        meter.record_submission(a_job(name=f"j{number}", team=RED), catalog, 0)
    assert meter.excess == {"j10", "j11"}
    meter.record_submission(a_job(name="later", team=RED), catalog, 500)
    assert "later" not in meter.excess


def test_a_flood_of_one_team_leaves_the_other_its_share() -> None:
    """Red submits ten times as many jobs, and before blue."""
    harness = SchedulerHarness(
        a_host(cores=8), catalog=a_catalog(weights={RED: 1, BLUE: 4})
    )
    for number in range(200):
        harness.submit(a_job(name=f"a{number:03}", team=RED))
    for number in range(20):
        harness.submit(a_job(name=f"b{number:03}", team=BLUE))
    begun: Counter[str] = Counter()
    running: list[StartRun] = []
    for sequence in range(1, 60):
        orders = harness.starts()
        for order in orders:
            harness.reply_to_start(order, StartOutcome.STARTED)
            begun[str(order.name.job)[0]] += 1
        running += orders
        harness.now_ms += 10
        ended = running.pop(0)
        listed = tuple((each.name, each.number) for each in running)
        ends = (an_end(ended, RunOutcome.DONE, sequence),)
        harness.report(running=listed, ends=ends)
    assert begun["b"] == 20
