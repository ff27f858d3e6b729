"""A duty is held only while its work continues."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import pytest

from amaranthtray.domain.duties.names import DutyName
from amaranthtray.domain.ids import EntryId, Incarnation, Term
from amaranthtray.jobs import duty_task
from amaranthtray.jobs.duty_claims import DutyClaims
from amaranthtray.jobs.duty_task import DUTY_SETTINGS, DutyTask
from amaranthtray.jobs.metrics_registry import MetricsRegistry
from amaranthtray.settings.job_entry import MachineSection
from jobs.store_site import DutyWork, StoreSite

DUTY = DutyName("conductor/p")
TERM_ENDS_MS = DUTY_SETTINGS.ttl_ms - DUTY_SETTINGS.margin_ms


@dataclass
class DutyTaskHarness:
    """A duty task whose duty seems free until ``is_free`` is cleared."""

    site: StoreSite = field(default_factory=StoreSite)
    started_work: list[DutyWork] = field(default_factory=list)
    is_free: bool = True
    held_term: Callable[[], Term | None] = lambda: None
    metrics: MetricsRegistry = field(default_factory=MetricsRegistry)

    def __post_init__(self) -> None:
        context: Any = SimpleNamespace(
            store=self.site.store,
            log=self.site.log,
            catalog=lambda: object(),
            settings=SimpleNamespace(machine=MachineSection()),
            metrics=self.metrics,
        )
        view: Any = SimpleNamespace(free_for_ms=lambda name: 10_000 * self.is_free)
        self.task = DutyTask(
            DUTY,
            EntryId("e"),
            Incarnation("i"),
            context=context,
            view=view,
            claims=DutyClaims(),
            start_work=self.start_work,
        )

    def start_work(self, term: Term, held_term: Callable[[], Term | None]) -> Any:
        self.held_term = held_term
        self.started_work.append(DutyWork())
        return self.started_work[-1]


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> DutyTaskHarness:
    """A duty task on the manual clock of its store."""
    site = StoreSite()
    monkeypatch.setattr(duty_task, "steady_ms", lambda: site.now_ms)
    return DutyTaskHarness(site)


def test_a_free_duty_is_acquired_and_its_work_starts() -> None:
    harness = DutyTaskHarness()
    harness.task.step()
    assert harness.task.is_held
    assert len(harness.started_work) == 1


def test_a_duty_whose_work_has_ended_is_released() -> None:
    harness = DutyTaskHarness()
    harness.task.step()
    harness.is_free = False
    harness.started_work[0].is_over = True
    harness.task.step()
    assert not harness.task.is_held
    assert harness.started_work[0].stops == 1
    assert harness.site.platform.read(f"duties/{DUTY}/holder") is None


def test_a_duty_whose_work_has_ended_is_released_although_it_seems_free() -> None:
    """Guards against a held duty without work, while the view of duties is old."""
    harness = DutyTaskHarness()
    harness.task.step()
    harness.started_work[0].is_over = True
    harness.task.step()
    assert not harness.task.is_held
    assert harness.metrics.totals("duty_changes") == {
        "taken": 1,
        "work_ended": 1,
        "lost": 1,
    }


def test_a_duty_whose_work_could_not_start_is_acquired_again(
    harness: DutyTaskHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a duty that is held for good without work."""

    def fail(*_: object) -> None:
        raise RuntimeError("can't start new thread")

    start_work = harness.task._start_work
    monkeypatch.setattr(harness.task, "_start_work", fail)
    with pytest.raises(RuntimeError):
        harness.task.step()
    assert harness.task.lacks_work
    monkeypatch.setattr(harness.task, "_start_work", start_work)
    for _ in range(3):
        harness.site.now_ms += DUTY_SETTINGS.retry_ms
        harness.task.step()
    assert len(harness.started_work) == 1
    assert harness.held_term() == 2


def test_work_is_told_of_a_gap_in_its_term_before_it_may_act_again(
    harness: DutyTaskHarness,
) -> None:
    harness.task.step()
    (work,) = harness.started_work
    harness.site.platform.is_down = True
    harness.site.now_ms = TERM_ENDS_MS
    harness.task.step()
    assert harness.held_term() is None
    assert harness.task.is_held
    harness.site.platform.is_down = False
    harness.site.now_ms += DUTY_SETTINGS.renew_retry_ms
    harness.task._runner.run()
    assert harness.held_term() is None
    harness.task.step()
    assert (harness.held_term(), work.gaps) == (1, 1)
    assert harness.metrics.totals("duty_changes") == {"taken": 1, "resumed": 1}


def test_a_renewal_in_time_is_no_gap(harness: DutyTaskHarness) -> None:
    harness.task.step()
    harness.site.now_ms = TERM_ENDS_MS - 1
    harness.task.step()
    assert (harness.held_term(), harness.started_work[0].gaps) == (1, 0)
