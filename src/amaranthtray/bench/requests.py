"""Measures request dispatching: start waits, faults, host selection and cost."""

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
from ._requests_burst import CRANNOG, KOMINAR, BurstLoad, BurstResult, BurstRun, Site
from ._requests_faults import FaultSchedule, simulated_host
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
FAR_DEADLINE_MS = Millis(10**9)

RESERVED_SLOTS = DispatcherSettings(checkpoints_patient=False, reserve_share=0.5)
URGENT_ONLY = BurstLoad(patient_ratio=0)
NO_BOUND = ">= 0"
"""Target of figures that are reported without a bound."""


def figures() -> Iterator[Figure]:
    """Yields the figures of this group."""
    for site in (KOMINAR, CRANNOG):
        yield from _burst_figures(site)
    for entries in (3, 9):
        yield from _policy_figures(entries)
    yield from _one_entry_figure()
    yield from _fault_figures()
    yield from _cost_figures()


def _burst_figures(site: Site) -> Iterator[Figure]:
    """Yields figures with checkpoints; the baseline reserves half of the slots."""
    checkpointing = _merge([BurstRun(site, BurstLoad(), seed).run() for seed in SEEDS])
    reserving = _merge(
        [BurstRun(site, BurstLoad(), seed, cfg=RESERVED_SLOTS).run() for seed in SEEDS]
    )
    name = f"requests.burst.{site.name}"
    yield Figure(
        f"{name}.start_wait_p99",
        checkpointing.start_wait_s(P99),
        "s",
        "<= 1.2",
        reserving.start_wait_s(P99),
    )
    yield Figure(
        f"{name}.start_wait_max",
        checkpointing.start_wait_s(1),
        "s",
        NO_BOUND,
        reserving.start_wait_s(1),
    )
    yield Figure(
        f"{name}.refused",
        _refused_share(checkpointing),
        "of urgent",
        NO_BOUND,
        _refused_share(reserving),
    )
    yield Figure(
        f"{name}.buffer",
        _buffer_share(checkpointing),
        "of slot time",
        NO_BOUND,
        _buffer_share(reserving),
    )


def _policy_figures(entries: int) -> Iterator[Figure]:
    """Yields figures of the default policy; the baseline is power of two choices."""
    site = replace(KOMINAR, entries=entries)
    used = _run_with_policy(site, None)
    other = _run_with_policy(site, PowerOfTwoChoices())
    name = f"requests.choice.{entries}_entries"
    yield Figure(
        f"{name}.collisions",
        _collisions_per_start(used),
        "a start",
        NO_BOUND,
        _collisions_per_start(other),
    )
    yield Figure(
        f"{name}.start_wait_p99",
        used.start_wait_s(P99),
        "s",
        "<= 1.2",
        other.start_wait_s(P99),
    )
    yield Figure(f"{name}.moves", used.collisions, "moves", NO_BOUND, other.collisions)
    striped = _run_with_policy(site, StripedSlots())
    yield Figure(
        f"{name}.striped_start_wait_p99",
        striped.start_wait_s(P99),
        "s",
        NO_BOUND,
        used.start_wait_s(P99),
    )


def _one_entry_figure() -> Iterator[Figure]:
    """Yields a figure with all demand at one of nine entries.

    The baseline is striped slots alone.
    """
    load = BurstLoad(patient_ratio=0, peak_ratio=0.8)
    runs = []
    for policy in (None, StripedSlots()):
        run = BurstRun(KOMINAR, load, 1, policy=policy)
        run.submit_only_to(0)
        runs.append(run.run())
    used, striped = runs
    name = "requests.choice.lopsided.refused"
    yield Figure(
        name, _refused_share(used), "of urgent", NO_BOUND, _refused_share(striped)
    )


def _fault_figures() -> Iterator[Figure]:
    violation_counts: Counter[str] = Counter()
    without_one_outcome = leaked = 0
    for seed in range(SCHEDULES):
        result = FaultSchedule(seed).run(SCHEDULE_STEPS)
        violation_counts += result.violation_counts
        without_one_outcome += result.without_outcome
        leaked += result.leaked
    yield Figure("requests.faults.schedules", SCHEDULES, "schedules", ">= 7000")
    yield _zero_cases("unrepeatable_ran_twice", violation_counts["AtMostOnce"])
    yield _zero_cases("false_not_run", violation_counts["NotRunIsTrue"])
    yield _zero_cases("mixed_or_cut_answers", violation_counts["AnswersMatch"])
    yield _zero_cases("without_one_outcome", without_one_outcome)
    yield _zero_cases("limit_overruns", violation_counts["LimitsHold"])
    yield _zero_cases("slots_leaked", leaked)


def _cost_figures() -> Iterator[Figure]:
    dispatcher, effects = _saturated_dispatcher()
    running = [item.attempt_id for item in effects if isinstance(item, StartAttempt)]
    requests = [_request(number) for number in range(REQUESTS)]
    start_s = time.perf_counter()
    for req in requests:
        dispatcher.handle(Submit(req), Millis(0))
        done = AttemptEnded(running.pop(), WholeAnswer())
        for item in dispatcher.handle(done, Millis(0)):
            if isinstance(item, StartAttempt):
                running.append(item.attempt_id)
    spent_us = (time.perf_counter() - start_s) / REQUESTS * 1e6
    yield Figure("requests.cost.submit_and_end", spent_us, "us", "<= 50")
    large_us, small_us = _cancel_us(10_000), _cancel_us(1_000)
    yield Figure(
        "requests.cost.cancel_10000", large_us, "us", "<= 2", small_us, on_ratio=True
    )


def _cancel_us(count: int) -> float:
    dispatcher, _ = _saturated_dispatcher()
    requests = [_request(number) for number in range(count)]
    for req in requests:
        dispatcher.handle(Submit(req), Millis(0))
    start_s = time.perf_counter()
    for req in requests:
        dispatcher.handle(Cancel(req.team, req.request_id), Millis(0))
    return (time.perf_counter() - start_s) / count * 1e6


def _saturated_dispatcher() -> tuple[RequestDispatcher, list[DispatcherEffect]]:
    """Returns a dispatcher without free slots, and the effects that took them."""
    rng = random.Random(1)
    cfg = DispatcherSettings(urgent_max_wait_ms=FAR_DEADLINE_MS, max_waiting=10**6)
    dispatcher = RequestDispatcher(
        limits=Unlimited(),
        shares=FirstComeShares(),
        rng=rng,
        workers=WorkerRegistry(ZoneId("z1"), rng),
        cfg=cfg,
    )
    hosts = [
        simulated_host(number, f"z{number % 3}", slots=8) for number in range(HOSTS)
    ]
    dispatcher.update_hosts({POOL: hosts}, Millis(0))
    effects: list[DispatcherEffect] = []
    for number in range(HOSTS * 8):
        effects += dispatcher.handle(Submit(_request(-1 - number)), Millis(0))
    return dispatcher, effects


def _request(number: int) -> Request:
    return Request(
        RequestId(f"q{number}"),
        TEAMS[number % len(TEAMS)],
        QueueName("bookings"),
        POOL,
        WorkClass.URGENT,
        True,
        Millis(0),
        FAR_DEADLINE_MS,
    )


def _run_with_policy(site: Site, policy: HostSelectionPolicy | None) -> BurstResult:
    return _merge(
        [BurstRun(site, URGENT_ONLY, seed, policy=policy).run() for seed in SEEDS]
    )


def _merge(runs: list[BurstResult]) -> BurstResult:
    merged = BurstResult()
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


def _refused_share(result: BurstResult) -> float:
    return result.refused / result.urgent


def _buffer_share(result: BurstResult) -> float:
    return (result.idle_slot_s + result.lost_slot_s) / result.slot_s


def _collisions_per_start(result: BurstResult) -> float:
    return result.collisions / result.starts


def _zero_cases(name: str, count: int) -> Figure:
    return Figure(f"requests.faults.{name}", count, "cases", "== 0")
