"""Index of the tasks under which hosts crashed, by host incarnation."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from ..ids import HostId
from ..jobs.model import TaskName

if TYPE_CHECKING:
    from ..jobs.task import Task


class HostIncarnation(NamedTuple):
    """A host between two of its restarts.

    Attributes:
        host: The host.
        born: Wall-clock time at which the incarnation started.
    """

    host: HostId
    born: int


@dataclass(slots=True)
class CrashRegister:
    """Finds the tasks to clear when a host turns out not to have crashed.

    Attributes:
        reserved_hosts: Hosts that get no new runs until a task that must not share a
            host is placed on them.
    """

    reserved_hosts: frozenset[HostId] = frozenset()
    _tasks: dict[HostIncarnation, set[TaskName]] = field(default_factory=dict)

    def add_task(self, name: TaskName, task: Task) -> None:
        """Adds the crashes that are recorded for a task."""
        for crash in task.crashes:
            key = HostIncarnation(crash.host, crash.born)
            self._tasks.setdefault(key, set()).add(name)

    def remove_task(self, name: TaskName, task: Task) -> None:
        """Removes the crashes that are recorded for a task."""
        for crash in task.crashes:
            key = HostIncarnation(crash.host, crash.born)
            names = self._tasks.get(key, set())
            names.discard(name)
            if not names:
                self._tasks.pop(key, None)

    def take_tasks(self, incarnation: HostIncarnation) -> set[TaskName]:
        """Removes and returns the tasks that have a crash of an incarnation."""
        return self._tasks.pop(incarnation, set())

    def remove_job(self, job: str) -> None:
        """Removes the tasks of a job that is over."""
        for incarnation, names in list(self._tasks.items()):
            kept = {name for name in names if name.job != job}
            if kept:
                self._tasks[incarnation] = kept
            else:
                del self._tasks[incarnation]
