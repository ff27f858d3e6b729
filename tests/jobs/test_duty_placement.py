"""Duties go to entries whose machines can carry them."""

from __future__ import annotations

from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from amaranthtray.domain.duties.names import DutyName
from amaranthtray.domain.ids import EntryId, Incarnation
from amaranthtray.jobs.duty_claims import DutyClaims
from amaranthtray.jobs.duty_task import JITTER_MS, DutyTask
from amaranthtray.jobs.metrics_registry import MetricsRegistry
from amaranthtray.settings.job_entry import MachineSection
from jobs.store_site import DutyWork, StoreSite

if TYPE_CHECKING:
    import pytest
    from returns.result import Result

    from amaranthtray.store.contract import LeaseId, StoreFailure

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
    site: StoreSite,
    duty: FreeDuty,
    name: str,
    machine: MachineSection,
    *,
    duty_name: DutyName = DUTY,
    claims: DutyClaims | None = None,
) -> DutyTask:
    context: Any = SimpleNamespace(
        store=site.store,
        log=site.log,
        catalog=lambda: object(),
        settings=SimpleNamespace(machine=machine),
        metrics=MetricsRegistry(),
    )
    view: Any = duty
    task = DutyTask(
        duty_name,
        EntryId(name),
        Incarnation(name),
        context=context,
        view=view,
        claims=claims or DutyClaims(),
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


def test_an_entry_does_not_take_all_duties_that_are_free_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each of its tasks looks while another one's calls are under way."""
    names = [DutyName(f"conductor/p{number}") for number in range(4)]
    site, claims = StoreSite(), DutyClaims()
    duties = [FreeDuty(free_ms=JITTER_MS) for _ in names]
    tasks = [
        new_task(site, duty, "e", LARGE, duty_name=name, claims=claims)
        for name, duty in zip(names, duties, strict=True)
    ]
    grant_lease = site.store.grant_lease

    def grant_while_others_look(ttl_ms: int) -> Result[LeaseId, StoreFailure]:
        for task in tasks[1:]:
            task.step()
        return grant_lease(ttl_ms)

    monkeypatch.setattr(site.store, "grant_lease", grant_while_others_look)
    tasks[0].step()
    assert [task.is_held for task in tasks] == [True, False, False, False]


def test_a_duty_that_another_entry_took_does_not_count() -> None:
    claims = DutyClaims()
    assert claims.claim(DUTY, lambda others: others == 0)
    claims.release(DUTY)
    assert claims.claim(DutyName("fleet"), lambda others: others == 0)
