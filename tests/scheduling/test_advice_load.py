"""More steps need advice than the service can answer for some seconds."""

from __future__ import annotations

from scheduling.advice_load import TICK_MS, AdvisedPool

JOBS_PER_S = 4
BURST = range(10_000, 14_000)
BURST_JOBS_PER_S = 10
RECOVERY_MS = 6_000
TRAFFIC_MS = 30_000


def play(pool: AdvisedPool, *, burst: range = BURST) -> None:
    """Submits the usual load with a burst, then waits two seconds."""
    due = 0.0
    while pool.harness.now_ms < TRAFFIC_MS:
        in_burst = pool.harness.now_ms in burst
        due += (BURST_JOBS_PER_S if in_burst else JOBS_PER_S) * TICK_MS / 1_000
        while len(pool.submitted_ms) < int(due):
            pool.submit(f"j{len(pool.submitted_ms):03}")
        pool.tick()
    for _ in range(2_000 // TICK_MS):
        pool.tick()


def test_a_burst_on_a_queue_with_advice_is_made_up_for() -> None:
    """Guards against requests that are repeated since they wait, for ever longer."""
    pool = AdvisedPool()
    play(pool)
    assert len(pool.started_ms) == len(pool.submitted_ms)
    assert max(pool.waits_ms(since_ms=BURST.stop + RECOVERY_MS)) <= 1_000


def test_each_step_is_asked_for_once_in_a_burst() -> None:
    pool = AdvisedPool()
    play(pool)
    assert sorted(pool.asked) == sorted(pool.submitted_ms)


def test_the_service_is_called_rarely_while_it_does_not_answer() -> None:
    """Guards against a storm of calls on a service that is already too slow."""
    pool = AdvisedPool(silent=range(10_000, 14_000))
    play(pool, burst=range(0))
    at_most = 4_000 // (pool.call_ms + 200)
    assert len(pool.asked) - len(pool.submitted_ms) <= at_most
    assert len(pool.started_ms) == len(pool.submitted_ms)
    assert max(pool.waits_ms(since_ms=14_000 + RECOVERY_MS)) <= 1_000
