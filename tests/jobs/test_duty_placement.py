"""Duties go to entries whose machines can carry them."""

from __future__ import annotations

from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from amaranthtray.domain.duties.names import DutyName
from amaranthtray.domain.ids import EntryId, Incarnation
from amaranthtray.jobs.duty_task import DutyTask
from amaranthtray.settings.job_entry import MachineSection
from jobs.store_site import DutyWork, StoreSite

DUTY = DutyName("conductor/p")
SMALL = MachineSection(cpu_share=0.5, cores=1, link_mbps=5.0)
LARGE = MachineSection(cpu_share=0.7, cores=3, link_mbps=100.0)


@dataclass
class FreeDuty:
    """A view of a duty that became free at a time that all entries saw."""

    free_ms: int = 0
    tasks: list[DutyTask] = field(default_factory=list)

    def free_for_ms(self, name: DutyName) -> int | None:
        is_held = any(task.is_held for task in self.tasks)
        return None if is_held else self.free_ms


def new_task(
    site: StoreSite, duty: FreeDuty, name: str, machine: MachineSection
) -> DutyTask:
    context: Any = SimpleNamespace(
        store=site.store,
        log=site.log,
        catalog=lambda: object(),
        settings=SimpleNamespace(machine=machine),
    )
    view: Any = duty
    task = DutyTask(
        DUTY,
        EntryId(name),
        Incarnation(name),
        context=context,
        view=view,
        count_held=lambda: 0,
        start_work=lambda term, held_term: DutyWork(),
    )
    duty.tasks.append(task)
    return task


def test_a_small_entry_does_not_win_a_free_duty_from_a_large_one() -> None:
    for number in range(20):
        site, duty = StoreSite(), FreeDuty()
        small = new_task(site, duty, f"small-{number}", SMALL)
        large = new_task(site, duty, f"large-{number}", LARGE)
        while not small.is_held and not large.is_held:
            duty.free_ms += 10
            small.step()
            large.step()
        assert large.is_held
