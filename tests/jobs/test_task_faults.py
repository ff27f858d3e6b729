"""An unexpected error in one step doesn't end a task of the entry."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import pytest

from amaranthtray.domain.ids import PoolName, TeamName, Term
from amaranthtray.domain.scheduling.caps import ClaimFailed
from amaranthtray.domain.scheduling.messages import BatchNotStored, StoreJobs
from amaranthtray.domain.upkeep.moves import PoolLoad
from amaranthtray.jobs.call_turns import CallTurns
from amaranthtray.jobs.cap_portion_writer import CapPortionWriter
from amaranthtray.jobs.config_follower import ConfigFollower
from amaranthtray.jobs.duty_task import DutyView
from amaranthtray.jobs.evacuation_follower import EvacuationFollower
from amaranthtray.jobs.forecast_follower import ForecastFollower
from amaranthtray.jobs.job_feed import JobFeed
from amaranthtray.jobs.metrics_registry import MetricsRegistry
from amaranthtray.jobs.pool_conductor import PoolConductor
from amaranthtray.jobs.submission_writer import (
    Submission,
    SubmissionOutcome,
    SubmissionWriter,
)
from amaranthtray.jobs.term_guard import TermGuard
from amaranthtray.settings.job_entry import SchedulingSection, StoreSection
from jobs.store_site import StoreSite
from jobs.test_run_time_store import Log
from scheduling.parts import a_job

if TYPE_CHECKING:
    from collections.abc import Callable

POOL = PoolName("pool")


class EndOfTest(BaseException):
    """Ends a loop that otherwise never ends."""


class Entry:
    """The shared objects of an entry's tasks."""

    def __init__(self) -> None:
        site = StoreSite()
        self.lines: Any = Log()
        self.store = site.store
        self.platform: Any = SimpleNamespace(adviser=lambda: None)
        hosts = SimpleNamespace(max_lease_ms=9_000)
        self.context: Any = SimpleNamespace(
            store=self.store,
            log=self.lines,
            metrics=MetricsRegistry(),
            platform=self.platform,
            advice_turns=CallTurns(),
            settings=SimpleNamespace(
                hosts=hosts,
                store=StoreSection(address="127.0.0.1:1"),
                jobs=SimpleNamespace(cancellation_limit_ms=3_000),
                scheduling=SchedulingSection(),
            ),
        )
        self.guard = TermGuard(Term(1), lambda: Term(1))

    def faults(self) -> list[str]:
        return [
            fields["task"] for event, fields in self.lines.lines if "fault" in event
        ]


def a_config_follower(entry: Entry) -> tuple[Any, Callable[[], None]]:
    task = ConfigFollower(entry.store, entry.platform, entry.lines)
    return task, task._run


def an_evacuation_follower(entry: Entry) -> tuple[Any, Callable[[], None]]:
    task = EvacuationFollower(
        entry.store,
        entry.platform,
        entry.lines,
        start_limit_ms=5_000,
        known_zones=lambda: None,
    )
    task._has_subscribers.set()
    return task, task._run


def a_duty_view(entry: Entry) -> tuple[Any, Callable[[], None]]:
    task = DutyView(entry.context)
    return task, task._run


def a_job_feed(entry: Entry) -> tuple[Any, Callable[[], None]]:
    task = JobFeed(POOL, entry.context, lambda message: None, lambda: True)
    return task, task._follow


def a_forecast_follower(entry: Entry) -> tuple[Any, Callable[[], None]]:
    task = ForecastFollower(entry.store, entry.lines)
    wanted: Any = SimpleNamespace(wait=lambda: None, clear=lambda: None)
    task._is_wanted = wanted
    return task, task._run


@pytest.mark.parametrize(
    "build",
    [
        a_config_follower,
        an_evacuation_follower,
        a_duty_view,
        a_job_feed,
        a_forecast_follower,
    ],
)
def test_an_error_does_not_end_the_reading_of_what_changes(
    build: Callable[[Entry], tuple[Any, Callable[[], None]]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an entry that acts on what it knew minutes ago."""
    entry = Entry()
    task, loop = build(entry)
    errors = iter([RuntimeError(), EndOfTest()])

    def step() -> bool:
        raise next(errors)

    monkeypatch.setattr(task, "step", step)
    with pytest.raises(EndOfTest):
        loop()
    assert len(entry.faults()) == 1


def test_an_error_does_not_end_the_writing_of_records() -> None:
    """Guards against a pool that starts nothing any more, as a batch stays open."""
    entry = Entry()
    conductor = PoolConductor(POOL, Term(1), lambda: Term(1), entry.context)

    def fail(batch: StoreJobs) -> bool:
        raise RuntimeError

    conductor._writer.write = fail  # type: ignore[method-assign]
    conductor._batches.put(StoreJobs(4, (), {}, frozenset(), PoolLoad()))
    conductor._batches.put(None)
    conductor._write_loop()
    assert conductor._mailbox.get_nowait() == BatchNotStored(4)
    assert entry.faults() == ["records"]


def test_an_error_does_not_end_the_claiming_of_caps() -> None:
    """Guards against a claim that stays open, so that its team starts nothing more."""
    entry = Entry()
    posted: list[Any] = []
    writer = CapPortionWriter(POOL, entry.context, posted.append, entry.guard)

    def fail(claim: object) -> ClaimFailed:
        raise RuntimeError

    writer.carry_out = fail  # type: ignore[method-assign]
    claim: Any = SimpleNamespace(team=TeamName("t"), number=3)
    writer.claim(claim)
    writer.stop()
    writer._run()
    assert posted == [ClaimFailed(TeamName("t"), 3)]


def test_an_error_does_not_end_the_storing_of_jobs() -> None:
    """Guards against callers that wait until their deadline, each one from then on."""
    entry = Entry()
    writer = SubmissionWriter(entry.store, "configuration", entry.lines)
    first, second = (Submission(POOL, a_job(name=name), 1) for name in "ab")
    failures = iter([RuntimeError(), EndOfTest()])

    def fail(group: list[Submission]) -> None:
        writer._queue.put(second)
        raise next(failures)

    writer.store_group = fail  # type: ignore[method-assign]
    writer._queue.put(first)
    with pytest.raises(EndOfTest):
        writer._run()
    assert first.done.is_set()
    assert first.outcome is SubmissionOutcome.UNKNOWN


def test_an_unreadable_request_to_empty_hosts_changes_nothing() -> None:
    """Guards against a feed that repeats the same error for ever."""
    entry = Entry()
    posted: list[Any] = []
    feed = JobFeed(POOL, entry.context, posted.append, lambda: True)
    feed._post_vacating(b"{")
    assert posted == []
    assert [event for event, _ in entry.lines.lines] == ["vacating-unreadable"]
