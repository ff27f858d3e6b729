"""Checks a scenario's stated outcomes against the recorded history."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .model import (
    InForce,
    KeyRefused,
    LimitUsed,
    Placed,
    Promises,
    Requests,
    Runs,
    Sends,
    Share,
    StartWait,
    WaveDone,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .history import Call, TaskRun
    from .loader import Located, Scenario
    from .model import Bounds, Expectation
    from .world import World

P99 = 0.99


@dataclass(frozen=True, slots=True)
class CheckResult:
    """Whether one outcome holds.

    Attributes:
        where: File, line and key of the outcome.
        text: What is expected and what was found.
    """

    where: str
    text: str
    holds: bool

    def __str__(self) -> str:
        return f"{'holds' if self.holds else 'FAILS'}  {self.where}: {self.text}"


def check_outcomes(scenario: Scenario, world: World) -> Iterator[CheckResult]:
    """Yields a result for each stated outcome, and always for the promises.

    Also checks that each caller received an outcome and each commit its result.
    """
    is_stated = any(isinstance(item.value, Promises) for item in scenario.outcomes)
    if not is_stated:
        yield _check_promises(scenario.name, Promises(), world)
    open_calls = [call for call in world.history.calls if not call.outcome]
    text = f"every caller receives an outcome; {len(open_calls)} did not"
    yield CheckResult(scenario.name, text, not open_calls)
    for where, expected, found in world.history.expectations:
        text = f"expected commit result {expected}; found {found}"
        yield CheckResult(where, text, expected == found)
    for item in scenario.outcomes:
        yield _check_outcome(item, world)


def _check_outcome(item: Located[Expectation], world: World) -> CheckResult:
    match item.value:
        case Promises() as stated:
            return _check_promises(item.where, stated, world)
        case Requests() as stated:
            count = sum(_matches(stated, call) for call in world.history.calls)
            return _check_count(
                item, stated, count, f"{stated.outcome} {stated.reason}"
            )
        case Runs() as stated:
            count = _count_runs(stated, world)
            return _check_count(item, stated, count, "tasks started")
        case Sends() as stated:
            count = sum(
                arrival.host == stated.host
                and stated.from_ms <= arrival.at_ms < stated.to_ms
                for arrival in world.history.arrivals
            )
            return _check_count(item, stated, count, f"attempts sent to {stated.host}")
        case LimitUsed() as stated:
            count = _peak_concurrency(stated, list(world.history.task_runs.values()))
            return _check_count(
                item, stated, count, f"concurrent tasks of {stated.team}"
            )
        case WaveDone() as stated:
            count = world.wave_done(stated.wave, stated.by_ms)
            return _check_count(item, stated, count, f"hosts done by {stated.wave}")
        case KeyRefused() as stated:
            return _check_key_refused(item, stated, world)
        case InForce() as stated:
            return _check_in_force(item, stated, world)
        case StartWait() as stated:
            return _check_start_wait(item, stated, world)
        case Share() as stated:
            return _check_share(item, stated, world)
        case Placed() as stated:
            return _check_placed(item, stated, world)
    raise TypeError(type(item.value).__name__)


def _check_promises(where: str, stated: Promises, world: World) -> CheckResult:
    broken = [
        (promise, detail)
        for promise, detail in world.history.broken_promises()
        if not stated.names or promise in stated.names
    ]
    counts = Counter(promise for promise, _ in broken)
    text = f"promises {', '.join(stated.names) or 'all'}"
    if broken:
        text += f"; broken {dict(counts)}, first {broken[0][1]}"
    return CheckResult(where, text, not broken)


def _check_count(
    item: Located[Expectation], stated: Bounds, count: int, what: str
) -> CheckResult:
    text = f"{what.strip()} {stated}; found {count}"
    return CheckResult(item.where, text, stated.allows(count))


def _matches(stated: Requests, call: Call) -> bool:
    return (
        call.outcome == stated.outcome
        and stated.reason in ("", call.reason)
        and stated.queue in ("", call.queue)
        and stated.team in ("", call.team)
        and stated.id in ("", call.name)
        and stated.from_ms <= call.sent_ms < stated.to_ms
    )


def _count_runs(stated: Runs, world: World) -> int:
    ids = {call.request_id for call in world.history.calls if call.name == stated.id}
    return sum(
        (not stated.id or task_run.request_id in ids)
        and stated.host in ("", task_run.host)
        and stated.team in ("", task_run.team)
        and stated.from_ms <= task_run.at_ms < stated.to_ms
        for task_run in world.history.task_runs.values()
    )


def _peak_concurrency(stated: LimitUsed, task_runs: list[TaskRun]) -> int:
    """Returns the most tasks of the team that ran at once within the period."""
    changes: list[tuple[int, int]] = []
    for task_run in task_runs:
        ended_ms = task_run.ended_ms if task_run.ended_ms is not None else stated.to_ms
        begin_ms, end_ms = (
            max(task_run.at_ms, stated.from_ms),
            min(ended_ms, stated.to_ms),
        )
        if task_run.team == stated.team and begin_ms < end_ms:
            changes += [(begin_ms, 1), (end_ms, -1)]
    peak = running = 0
    for _, change in sorted(changes):
        running += change
        peak = max(peak, running)
    return peak


def _check_key_refused(
    item: Located[Expectation], stated: KeyRefused, world: World
) -> CheckResult:
    calls = [
        call
        for call in world.history.calls
        if call.key == stated.key and call.sent_ms >= stated.after_ms
    ]
    accepted = [call for call in calls if call.reason != "bad_key"]
    text = (
        f"key {stated.key} is refused after {stated.after_ms} ms;"
        f" {len(calls)} sent, {len(accepted)} accepted"
    )
    return CheckResult(item.where, text, bool(calls) and not accepted)


def _check_in_force(
    item: Located[Expectation], stated: InForce, world: World
) -> CheckResult:
    late = [
        name
        for name, entry in world.entries.items()
        if entry.zone == stated.zone
        and entry.is_alive
        and not _is_in_force(stated, name, world)
    ]
    text = (
        f"revision {stated.revision} in {stated.zone}"
        f" by {stated.by_ms} ms; late: {late}"
    )
    return CheckResult(item.where, text, not late)


def _is_in_force(stated: InForce, name: str, world: World) -> bool:
    revisions = world.history.in_force.get(name, [])
    by_then = [revision for at_ms, revision in revisions if at_ms <= stated.by_ms]
    return bool(by_then) and by_then[-1] >= stated.revision


def _check_start_wait(
    item: Located[Expectation], stated: StartWait, world: World
) -> CheckResult:
    waits = sorted(
        call.started_ms - call.accepted_ms
        for call in world.history.calls
        if call.work_class is stated.work_class
        and stated.queue in ("", call.queue)
        and call.started_ms is not None
        and call.accepted_ms is not None
    )
    p99_ms = waits[math.ceil(P99 * len(waits)) - 1] if waits else None
    text = f"p99 start wait of {stated.work_class} at most {stated.at_most_ms} ms"
    text += f"; found {p99_ms} over {len(waits)}"
    return CheckResult(
        item.where, text, p99_ms is not None and p99_ms <= stated.at_most_ms
    )


def _check_share(
    item: Located[Expectation], stated: Share, world: World
) -> CheckResult:
    used: Counter[str] = Counter()
    for task_run in world.history.task_runs.values():
        ended_ms = task_run.ended_ms if task_run.ended_ms is not None else stated.to_ms
        slot_ms = min(ended_ms, stated.to_ms) - max(task_run.at_ms, stated.from_ms)
        used[task_run.team] += max(0, slot_ms)
    part = used[stated.team] / max(1, used.total())
    text = (
        f"share of {stated.team} {stated.part} within {stated.within}; found {part:.3f}"
    )
    return CheckResult(item.where, text, abs(part - stated.part) <= stated.within)


def _check_placed(
    item: Located[Expectation], stated: Placed, world: World
) -> CheckResult:
    found = world.pool_at_end(stated.host)
    text = f"host {stated.host} is in {stated.pool}; found {found}"
    return CheckResult(item.where, text, found == stated.pool)
