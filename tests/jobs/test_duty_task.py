"""A duty is held only while its work continues."""

from __future__ import annotations

from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from amaranthtray.domain.duties.names import DutyName
from amaranthtray.domain.ids import EntryId, Incarnation
from amaranthtray.jobs.duty_claims import DutyClaims
from amaranthtray.jobs.duty_task import DutyTask
from amaranthtray.settings.job_entry import MachineSection
from jobs.store_site import DutyWork, StoreSite

DUTY = DutyName("conductor/p")


@dataclass
class DutyTaskHarness:
    """A duty task whose duty seems free until ``is_free`` is cleared."""

    site: StoreSite = field(default_factory=StoreSite)
    started_work: list[DutyWork] = field(default_factory=list)
    is_free: bool = True

    def __post_init__(self) -> None:
        context: Any = SimpleNamespace(
            store=self.site.store,
            log=self.site.log,
            catalog=lambda: object(),
            settings=SimpleNamespace(machine=MachineSection()),
        )
        view: Any = SimpleNamespace(free_for_ms=lambda name: 10_000 * self.is_free)
        self.task = DutyTask(
            DUTY,
            EntryId("e"),
            Incarnation("i"),
            context=context,
            view=view,
            claims=DutyClaims(),
            start_work=lambda term, held_term: self.start_work(),
        )

    def start_work(self) -> DutyWork:
        self.started_work.append(DutyWork())
        return self.started_work[-1]


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
