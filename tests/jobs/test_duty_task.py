"""A duty is held only while what it is for goes on."""

from __future__ import annotations

from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from amaranthtray.domain.duties.names import DutyName
from amaranthtray.domain.ids import EntryId, Incarnation
from amaranthtray.jobs.duty_task import DutyTask
from jobs.store_site import StoreSite

DUTY = DutyName("conductor/p")


@dataclass
class Work:
    """What the duty is held for."""

    is_over: bool = False
    stops: int = 0

    def stop(self) -> None:
        self.stops += 1


@dataclass
class Taker:
    """A duty task whose duty always seems free."""

    site: StoreSite = field(default_factory=StoreSite)
    works: list[Work] = field(default_factory=list)
    is_free: bool = True

    def __post_init__(self) -> None:
        context: Any = SimpleNamespace(
            store=self.site.store, log=self.site.log, catalog=lambda: object()
        )
        view: Any = SimpleNamespace(free_for_ms=lambda name: 10_000 * self.is_free)
        self.task = DutyTask(
            DUTY,
            EntryId("e"),
            Incarnation("i"),
            context=context,
            view=view,
            load=lambda: 0,
            begin=lambda term, held: self.begin(),
        )

    def begin(self) -> Work:
        self.works.append(Work())
        return self.works[-1]


def test_a_free_duty_is_taken_and_its_work_begins() -> None:
    taker = Taker()
    taker.task.step()
    assert taker.task.is_held
    assert len(taker.works) == 1


def test_a_duty_whose_work_has_ended_is_given_up() -> None:
    taker = Taker()
    taker.task.step()
    taker.is_free = False
    taker.works[0].is_over = True
    taker.task.step()
    assert not taker.task.is_held
    assert taker.works[0].stops == 1
    assert taker.site.platform.read(f"duties/{DUTY}/holder") is None
