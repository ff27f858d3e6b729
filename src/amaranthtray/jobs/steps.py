"""Steps of the entry's tasks, which outlast an unexpected error in one of them."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

    from .event_log import EventLog

T = TypeVar("T")
F = TypeVar("F")


def run_step(log: EventLog, task: str, step: Callable[[], T], *, otherwise: F) -> T | F:
    """Runs one step of a task whose thread has to go on.

    A thread that ends leaves what the entry knows as it is, for as long as the process
    runs, and nothing else shows it.

    Args:
        log: Log of the entry.
        task: Name of the task, for the log.
        step: The step.
        otherwise: Result of a step that ends with an unexpected error.
    """
    try:
        return step()
    except Exception as exc:
        log.event("task-fault", task=task, why=repr(exc))
        return otherwise
