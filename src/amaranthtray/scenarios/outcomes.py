"""Judges what a scenario states against what was recorded."""

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

    from .history import Call, Started
    from .model import Bounds, Claim
    from .reading import Placed as Located
    from .reading import Scenario
    from .world import World

P99 = 0.99


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether one outcome holds, and what was found."""

    where: str
    text: str
    holds: bool

    def __str__(self) -> str:
        return f"{'holds' if self.holds else 'FAILS'}  {self.where}: {self.text}"


def judge(scenario: Scenario, world: World) -> Iterator[Verdict]:
    """Yields a verdict for each outcome; all promises are judged in any case."""
    is_stated = any(isinstance(item.value, Promises) for item in scenario.outcomes)
    if not is_stated:
        yield _promises(scenario.name, Promises(), world)
    open_calls = [call for call in world.history.calls if not call.outcome]
    text = f"every caller hears an outcome; {len(open_calls)} did not"
    yield Verdict(scenario.name, text, not open_calls)
    for where, expected, found in world.history.expectations:
        text = f"the commit is {expected}; it was {found}"
        yield Verdict(where, text, expected == found)
    for item in scenario.outcomes:
        yield _judge(item, world)


def _judge(item: Located[Claim], world: World) -> Verdict:
    match item.value:
        case Promises() as claim:
            return _promises(item.where, claim, world)
        case Requests() as claim:
            number = sum(_is_meant(claim, call) for call in world.history.calls)
            return _counted(item, claim, number, f"{claim.outcome} {claim.reason}")
        case Runs() as claim:
            number = _runs(claim, world)
            return _counted(item, claim, number, "tasks started")
        case Sends() as claim:
            number = sum(
                one.host == claim.host and claim.from_ms <= one.at_ms < claim.to_ms
                for one in world.history.sendings
            )
            return _counted(item, claim, number, f"attempts sent to {claim.host}")
        case LimitUsed() as claim:
            number = _peak(claim, list(world.history.started.values()))
            return _counted(item, claim, number, f"at once of {claim.team}")
        case WaveDone() as claim:
            number = world.wave_done(claim.wave, claim.by_ms)
            return _counted(item, claim, number, f"hosts done by {claim.wave}")
        case KeyRefused() as claim:
            return _key_refused(item, claim, world)
        case InForce() as claim:
            return _in_force(item, claim, world)
        case StartWait() as claim:
            return _start_wait(item, claim, world)
        case Share() as claim:
            return _share(item, claim, world)
        case Placed() as claim:
            return _placed(item, claim, world)
    raise TypeError(type(item.value).__name__)


def _promises(where: str, claim: Promises, world: World) -> Verdict:
    broken = [
        (promise, detail)
        for promise, detail in world.history.broken()
        if not claim.names or promise in claim.names
    ]
    counts = Counter(promise for promise, _ in broken)
    text = f"promises {', '.join(claim.names) or 'all'}"
    if broken:
        text += f"; broken {dict(counts)}, first {broken[0][1]}"
    return Verdict(where, text, not broken)


def _counted(item: Located[Claim], claim: Bounds, number: int, what: str) -> Verdict:
    text = f"{what.strip()} {claim}; found {number}"
    return Verdict(item.where, text, claim.hold(number))


def _is_meant(claim: Requests, call: Call) -> bool:
    return (
        call.outcome == claim.outcome
        and claim.reason in ("", call.reason)
        and claim.queue in ("", call.queue)
        and claim.team in ("", call.team)
        and claim.id in ("", call.name)
        and claim.from_ms <= call.sent_ms < claim.to_ms
    )


def _runs(claim: Runs, world: World) -> int:
    ids = {call.request_id for call in world.history.calls if call.name == claim.id}
    return sum(
        (not claim.id or one.request_id in ids)
        and claim.host in ("", one.host)
        and claim.team in ("", one.team)
        and claim.from_ms <= one.at_ms < claim.to_ms
        for one in world.history.started.values()
    )


def _peak(claim: LimitUsed, started: list[Started]) -> int:
    """Returns the most tasks of the team at once within the time."""
    changes: list[tuple[int, int]] = []
    for one in started:
        ended_ms = one.ended_ms if one.ended_ms is not None else claim.to_ms
        begin_ms, end_ms = max(one.at_ms, claim.from_ms), min(ended_ms, claim.to_ms)
        if one.team == claim.team and begin_ms < end_ms:
            changes += [(begin_ms, 1), (end_ms, -1)]
    peak = running = 0
    for _, change in sorted(changes):
        running += change
        peak = max(peak, running)
    return peak


def _key_refused(item: Located[Claim], claim: KeyRefused, world: World) -> Verdict:
    calls = [
        call
        for call in world.history.calls
        if call.key == claim.key and call.sent_ms >= claim.after_ms
    ]
    taken = [call for call in calls if call.reason != "bad_key"]
    text = (
        f"key {claim.key} is refused after {claim.after_ms} ms;"
        f" {len(calls)} tried, {len(taken)} taken"
    )
    return Verdict(item.where, text, bool(calls) and not taken)


def _in_force(item: Located[Claim], claim: InForce, world: World) -> Verdict:
    late = [
        name
        for name, entry in world.entries.items()
        if entry.zone == claim.zone and entry.is_alive and not _has(claim, name, world)
    ]
    text = (
        f"revision {claim.revision} in {claim.zone} by {claim.by_ms} ms; late: {late}"
    )
    return Verdict(item.where, text, not late)


def _has(claim: InForce, name: str, world: World) -> bool:
    seen = world.history.in_force.get(name, [])
    by_then = [revision for at_ms, revision in seen if at_ms <= claim.by_ms]
    return bool(by_then) and by_then[-1] >= claim.revision


def _start_wait(item: Located[Claim], claim: StartWait, world: World) -> Verdict:
    waits = sorted(
        call.started_ms - call.accepted_ms
        for call in world.history.calls
        if call.work_class is claim.work_class
        and claim.queue in ("", call.queue)
        and call.started_ms is not None
        and call.accepted_ms is not None
    )
    p99_ms = waits[math.ceil(P99 * len(waits)) - 1] if waits else None
    text = f"p99 start wait of {claim.work_class} at most {claim.at_most_ms} ms"
    text += f"; found {p99_ms} over {len(waits)}"
    return Verdict(item.where, text, p99_ms is not None and p99_ms <= claim.at_most_ms)


def _share(item: Located[Claim], claim: Share, world: World) -> Verdict:
    used: Counter[str] = Counter()
    for one in world.history.started.values():
        ended_ms = one.ended_ms if one.ended_ms is not None else claim.to_ms
        slot_ms = min(ended_ms, claim.to_ms) - max(one.at_ms, claim.from_ms)
        used[one.team] += max(0, slot_ms)
    part = used[claim.team] / max(1, used.total())
    text = f"share of {claim.team} {claim.part} within {claim.within}; found {part:.3f}"
    return Verdict(item.where, text, abs(part - claim.part) <= claim.within)


def _placed(item: Located[Claim], claim: Placed, world: World) -> Verdict:
    found = world.pool_at_end(claim.host)
    text = f"host {claim.host} is in {claim.pool}; found {found}"
    return Verdict(item.where, text, found == claim.pool)
