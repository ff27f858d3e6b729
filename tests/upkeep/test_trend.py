"""A growing need is extrapolated over the time that a move takes."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from amaranthtray.domain.jobs.model import NO_RESOURCES, Resources
from amaranthtray.domain.upkeep.moves import record_order
from amaranthtray.domain.upkeep.trend import MAX_GROWTH_FACTOR, NeedTrend
from amaranthtray.domain.upkeep.waves import Fleet
from upkeep.test_moves import BUSY, IDLE, SPARE, a_fleet, machines, plan, some_moves

AMOUNTS = st.builds(Resources, *[st.integers(0, 10**7)] * 3)
SAMPLES = st.lists(st.tuples(st.integers(1, 500), AMOUNTS), min_size=1)


@given(SAMPLES, st.integers(0, 5_000))
def test_forecast_is_between_the_need_and_a_multiple_of_it(
    samples: list[tuple[int, Resources]], ahead_ms: int
) -> None:
    trend, now_ms = NeedTrend(), 0
    for pause_ms, need in samples:
        now_ms += pause_ms
        trend.record(need, now_ms)
    need = samples[-1][1]
    forecast = trend.forecast(ahead_ms)
    assert need.fits(forecast)
    assert forecast.fits(need.times(MAX_GROWTH_FACTOR))


def test_forecast_follows_the_growth_of_the_last_second() -> None:
    trend = NeedTrend()
    trend.record(Resources(1_000), 0)
    for at_ms in (5_000, 5_400, 5_800):
        trend.record(Resources(at_ms), at_ms)
    assert trend.forecast(1_000) == Resources(6_800)


def test_forecast_without_reports_is_nothing() -> None:
    assert NeedTrend().forecast(1_000) == NO_RESOURCES


def ordered_to_busy(cores_by_round: list[int]) -> int:
    """Returns how many machines rounds 200 ms apart order to a busy pool of six."""
    moves, fleet, count = some_moves(), a_fleet(), 0
    for number, cores in enumerate(cores_by_round):
        planned = plan(moves, fleet, {BUSY: cores, IDLE: 0}, 200 * number)
        for order in planned.orders:
            record_order(moves, order, 200 * number)
            count += order.pool == BUSY
    return count


def test_pool_that_runs_short_gets_machines_for_the_growth_during_a_move() -> None:
    """Its need of 50 cores wants one machine more; in 2.3 s it is 107 cores."""
    assert ordered_to_busy([40, 45, 50]) >= 3
    assert ordered_to_busy([50, 50, 50]) == 1


def test_growth_goes_on_to_count_while_machines_are_on_their_way() -> None:
    """Guards against a burst that waits until ordered machines don't suffice for it.

    The need grows by 50 cores a second to 100; a move takes 1.5 s, and a machine has
    10 cores.
    """
    moves, ordered = some_moves(), 0
    every = [*machines(BUSY, 6), *machines(SPARE, 30)]
    fleet = Fleet({machine.name: machine for machine in every}, set())
    for number, cores in enumerate(range(40, 101, 10)):
        orders = plan(moves, fleet, {BUSY: cores}, 200 * number).orders
        for order in orders:
            record_order(moves, order, 200 * number)
        ordered += len(orders)
    assert 6 + ordered >= (100 + 50 * 1.5) / 10


def test_growth_within_a_pool_moves_no_machine() -> None:
    assert ordered_to_busy([20, 30, 40]) == 0
