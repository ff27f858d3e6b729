"""Figures of the request aggregate: start waits, faults, host choice and cost."""

from __future__ import annotations

import random
import time
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from ..domain.ids import Millis, PoolName, QueueName, RequestId, TeamName, ZoneId
from ..domain.requests.dispatcher import RequestDispatcher
from ..domain.requests.messages import (
    AttemptEnded,
    Cancel,
    StartAttempt,
    Submit,
    WholeAnswer,
)
from ..domain.requests.model import Request, WorkClass
from ..domain.requests.ports import FirstComeShares, Unlimited
from ..domain.requests.settings import DispatcherSettings
from ..domain.workers.registry import WorkerRegistry
from ..domain.workers.selection import PowerOfTwoChoices, StripedSlots
from ._requests_burst import CRANNOG, KOMINAR, BurstRun, Load, Measured, Site
from ._requests_faults import FaultSchedule, sim_host
from .figure import Figure

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..domain.requests.messages import DispatcherEffect
    from ..domain.workers.selection import HostSelectionPolicy

SCHEDULES = 7_000
SCHEDULE_STEPS = 20
SEEDS = (1, 2, 3)
P99 = 0.99
POOL = PoolName("web")
TEAMS = tuple(TeamName(f"team{number}") for number in range(6))
HOSTS = 48
REQUESTS = 10_000
FAR_MS = Millis(10**9)

RESERVE = DispatcherSettings(checkpoints_patient=False, reserve_share=0.5)
URGENT_ONLY = Load(patient=0)
NO_BOUND = ">= 0"
"""Target of figures that the issue asks to report and sets no bound for."""


def figures() -> Iterator[Figure]:
    """Measures the whole group."""
    for site in (KOMINAR, CRANNOG):
        yield from _bursts(site)
    for entries in (3, 9):
        yield from _choices(entries)
    yield from _lopsided()
    yield from _faults()
    yield from _costs()


def _bursts(site: Site) -> Iterator[Figure]:
    """Checkpointing patient work, against a reserve of half the slots as baseline."""
    moved = _merge([BurstRun(site, Load(), seed).run() for seed in SEEDS])
    kept = _merge([BurstRun(site, Load(), seed, cfg=RESERVE).run() for seed in SEEDS])
    name = f"requests.burst.{site.name}"
    yield Figure(
        f"{name}.start_wait_p99", moved.wait_s(P99), "s", "<= 1.2", kept.wait_s(P99)
    )
    yield Figure(
        f"{name}.start_wait_max", moved.wait_s(1), "s", NO_BOUND, kept.wait_s(1)
    )
    yield Figure(
        f"{name}.refused", _refused(moved), "of urgent", NO_BOUND, _refused(kept)
    )
    yield Figure(
        f"{name}.buffer", _buffer(moved), "of slot time", NO_BOUND, _buffer(kept)
    )


def _choices(entries: int) -> Iterator[Figure]:
    """The host choice in use, against power of two choices as baseline."""
    site = replace(KOMINAR, entries=entries)
    ours = _choice(site, None)
    other = _choice(site, PowerOfTwoChoices())
    name = f"requests.choice.{entries}_entries"
    yield Figure(
        f"{name}.collisions", _collisions(ours), "a start", NO_BOUND, _collisions(other)
    )
    yield Figure(
        f"{name}.start_wait_p99", ours.wait_s(P99), "s", "<= 1.2", other.wait_s(P99)
    )
    yield Figure(f"{name}.moves", ours.collisions, "moves", NO_BOUND, other.collisions)
    striped = _choice(site, StripedSlots())
    yield Figure(
        f"{name}.striped_start_wait_p99",
        striped.wait_s(P99),
        "s",
        NO_BOUND,
        ours.wait_s(P99),
    )


def _lopsided() -> Iterator[Figure]:
    """All demand at one of nine entries; striped slots alone as baseline."""
    load = Load(patient=0, peak=0.8)
    runs = []
    for choice in (None, StripedSlots()):
        run = BurstRun(KOMINAR, load, 1, choice=choice)
        run.send_all_to(0)
        runs.append(run.run())
    ours, striped = runs
    name = "requests.choice.lopsided.refused"
    yield Figure(name, _refused(ours), "of urgent", NO_BOUND, _refused(striped))


def _faults() -> Iterator[Figure]:
    violation_counts: Counter[str] = Counter()
    odd = leaked = 0
    for seed in range(SCHEDULES):
        result = FaultSchedule(seed).run(SCHEDULE_STEPS)
        violation_counts += result.violation_counts
        odd += result.without_outcome
        leaked += result.leaked
    yield Figure("requests.faults.schedules", SCHEDULES, "schedules", ">= 7000")
    yield _none_of("unrepeatable_ran_twice", violation_counts["AtMostOnce"])
    yield _none_of("false_not_run", violation_counts["NotRunIsTrue"])
    yield _none_of("mixed_or_cut_answers", violation_counts["AnswersMatch"])
    yield _none_of("without_one_outcome", odd)
    yield _none_of("limit_overruns", violation_counts["LimitsHold"])
    yield _none_of("slots_leaked", leaked)


def _costs() -> Iterator[Figure]:
    desk, effects = _filled_desk()
    running = [item.attempt_id for item in effects if isinstance(item, StartAttempt)]
    requests = [_request(number) for number in range(REQUESTS)]
    begin = time.perf_counter()
    for req in requests:
        desk.handle(Submit(req), Millis(0))
        done = AttemptEnded(running.pop(), WholeAnswer())
        for item in desk.handle(done, Millis(0)):
            if isinstance(item, StartAttempt):
                running.append(item.attempt_id)
    spent_us = (time.perf_counter() - begin) / REQUESTS * 1e6
    yield Figure("requests.cost.submit_and_end", spent_us, "us", "<= 50")
    many, few = _cancel_us(10_000), _cancel_us(1_000)
    yield Figure("requests.cost.cancel_10000", many, "us", "<= 2", few, on_ratio=True)


def _cancel_us(count: int) -> float:
    desk, _ = _filled_desk()
    requests = [_request(number) for number in range(count)]
    for req in requests:
        desk.handle(Submit(req), Millis(0))
    begin = time.perf_counter()
    for req in requests:
        desk.handle(Cancel(req.team, req.request_id), Millis(0))
    return (time.perf_counter() - begin) / count * 1e6


def _filled_desk() -> tuple[RequestDispatcher, list[DispatcherEffect]]:
    """Returns a desk whose slots are all taken, and how they were taken."""
    rng = random.Random(1)
    cfg = DispatcherSettings(urgent_max_wait_ms=FAR_MS, max_waiting=10**6)
    desk = RequestDispatcher(
        limits=Unlimited(),
        shares=FirstComeShares(),
        rng=rng,
        workers=WorkerRegistry(ZoneId("z1"), rng),
        cfg=cfg,
    )
    hosts = [sim_host(number, f"z{number % 3}", slots=8) for number in range(HOSTS)]
    desk.update_hosts({POOL: hosts}, Millis(0))
    effects: list[DispatcherEffect] = []
    for number in range(HOSTS * 8):
        effects += desk.handle(Submit(_request(-1 - number)), Millis(0))
    return desk, effects


def _request(number: int) -> Request:
    return Request(
        RequestId(f"q{number}"),
        TEAMS[number % len(TEAMS)],
        QueueName("bookings"),
        POOL,
        WorkClass.URGENT,
        True,
        Millis(0),
        FAR_MS,
    )


def _choice(site: Site, choice: HostSelectionPolicy | None) -> Measured:
    return _merge(
        [BurstRun(site, URGENT_ONLY, seed, choice=choice).run() for seed in SEEDS]
    )


def _merge(runs: list[Measured]) -> Measured:
    merged = Measured()
    for run in runs:
        merged.waits_ms += run.waits_ms
        merged.urgent += run.urgent
        merged.refused += run.refused
        merged.starts += run.starts
        merged.collisions += run.collisions
        merged.idle_slot_s += run.idle_slot_s
        merged.lost_slot_s += run.lost_slot_s
        merged.slot_s += run.slot_s
    return merged


def _refused(measured: Measured) -> float:
    return measured.refused / measured.urgent


def _buffer(measured: Measured) -> float:
    return (measured.idle_slot_s + measured.lost_slot_s) / measured.slot_s


def _collisions(measured: Measured) -> float:
    return measured.collisions / measured.starts


def _none_of(name: str, count: int) -> Figure:
    return Figure(f"requests.faults.{name}", count, "cases", "== 0")
