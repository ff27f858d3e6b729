"""What a conductor has learned reaches its successor through the store."""

from __future__ import annotations

import threading
from dataclasses import replace
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import pytest

from amaranthtray.domain.ids import HostId, Term
from amaranthtray.domain.jobs.model import JobId, TaskName
from amaranthtray.domain.scheduling.run_time_events import (
    HostSlow,
    RunMoved,
    RunTimeError,
    RunTimeErrors,
    RunTimesLearned,
    RunTimesRead,
    RunTimesUnreadable,
)
from amaranthtray.jobs import keys
from amaranthtray.jobs.conductor_log import ConductorLog
from amaranthtray.jobs.metrics_registry import MetricsRegistry
from amaranthtray.jobs.run_time_log import RunTimeLog
from amaranthtray.jobs.run_time_reader import load_run_times
from amaranthtray.settings.job_entry import SchedulingSection
from amaranthtray.store.faults import Fault
from jobs.store_site import StoreSite
from jobs.test_record_writer import POOL, a_batch, a_writer, stored

if TYPE_CHECKING:
    from amaranthtray.domain.scheduling.run_time_events import RunTimeReport


class Log:
    """Collects the lines of a log."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def event(self, event: str, **fields: Any) -> None:
        self.lines.append((event, fields))


def load(site: StoreSite, *, learn: bool = True) -> list[RunTimesRead]:
    section = SchedulingSection(learn_run_times=learn)
    settings = SimpleNamespace(scheduling=section)
    context: Any = SimpleNamespace(settings=settings, store=site.store, log=site.log)
    posted: list[Any] = []
    assert load_run_times(POOL, context, posted.append, lambda: True, threading.Event())
    return posted


def test_what_was_learned_is_written_with_a_full_batch_and_read_again() -> None:
    """Guards against a transaction with more keys than the store allows."""
    site = StoreSite()
    rows = [(f"j{number}", b"x") for number in range(70)]
    assert a_writer(site).write(replace(a_batch(*rows), run_times=b"learned"))
    assert all(stored(site, job) == b"x" for job, _ in rows)
    assert load(site) == [RunTimesRead(b"learned")]


def test_a_conductor_of_an_older_term_can_not_write_what_it_learned() -> None:
    site = StoreSite()
    old = a_writer(site)
    a_writer(site, term=2)
    assert not old.write(replace(a_batch(), run_times=b"old"))
    assert load(site) == [RunTimesRead(b"")]


def test_an_unavailable_store_is_read_again() -> None:
    site = StoreSite()
    a_writer(site).write(replace(a_batch(), run_times=b"learned"))
    site.plan_faults("get", Fault.ERROR)
    assert load(site) == [RunTimesRead(b"learned")]


def test_without_the_switch_nothing_is_read_or_written() -> None:
    site = StoreSite()
    assert a_writer(site).write(a_batch(("j", b"x")))
    assert site.platform.read(keys.run_times_key(POOL)) is None
    assert not load(site, learn=False)


@pytest.mark.parametrize(
    ("report", "event", "metric"),
    [
        (RunTimesLearned(()), "run-times", {}),
        (RunTimesUnreadable("why"), "run-times-unreadable", {}),
        (HostSlow(HostId("h"), 9.0, 3, 500, 1), "host-slow", {"slow": 1}),
        (HostSlow(HostId("h"), 1.0, 3, 0, 0), "host-slow", {"recovered": 1}),
        (
            RunMoved(TaskName(JobId("j"), 0, 0, 1), 2, HostId("h"), "moved", 9, 2, 1),
            "run-moved",
            {"moved": 1},
        ),
    ],
)
def test_each_decision_has_a_line_and_a_count(
    report: RunTimeReport, event: str, metric: dict[str, int]
) -> None:
    log, metrics = Log(), MetricsRegistry()
    RunTimeLog(ConductorLog(POOL, Term(1), log, metrics)).record(report, 100)  # type: ignore[arg-type]
    ((name, fields),) = log.lines
    assert (name, fields["pool"], fields["term"]) == (event, POOL, 1)
    counted = metrics.totals("hosts_slow") | metrics.totals("runs_moved_by_speed")
    assert counted == metric


def test_errors_of_run_times_are_counted_and_not_logged() -> None:
    """Guards against a log line for each run that ends."""
    log, metrics = Log(), MetricsRegistry()
    report = RunTimeErrors((RunTimeError(100, 10), RunTimeError(1, 2)))
    RunTimeLog(ConductorLog(POOL, Term(1), log, metrics)).record(report, 100)  # type: ignore[arg-type]
    assert metrics.totals("run_time_error") == {"declared": 2, "expected": 2}
    assert not log.lines
