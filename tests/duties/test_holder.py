"""Taking, keeping, losing and giving up a duty."""

from __future__ import annotations

import pytest

from amaranthtray.domain.duties import DutySettings, Idle, conductor_of, steward_of
from amaranthtray.domain.ids import PoolName, Term, ZoneId
from amaranthtray.store.contract import Conflict
from amaranthtray.store.memory import Fault, PlannedFault
from duties.duty_site import DutySite

SETTINGS = DutySettings()


def held_by_first() -> DutySite:
    site = DutySite()
    site.settle(site.candidates["e0"])
    assert site.holders() == ["e0"]
    return site


def test_the_first_takes_it_and_the_others_wait() -> None:
    site = held_by_first()
    site.settle(site.candidates["e1"])

    assert site.holders() == ["e0"]
    assert site.candidates["e0"].runner.term() == 1


def test_it_is_kept_over_many_leases() -> None:
    site = held_by_first()
    for _ in range(100):
        site.now_ms += 1_000
        for one in site.candidates.values():
            site.settle(one)

    assert site.candidates["e0"].runner.term() == 1


@pytest.mark.parametrize("is_down", [False, True])
def test_a_paused_holder_stops_by_itself_before_its_lease_ends(is_down: bool) -> None:
    site = held_by_first()
    site.platform.is_down = is_down
    site.now_ms = SETTINGS.ttl_ms - SETTINGS.margin_ms - 1
    assert site.holders() == ["e0"]
    site.now_ms += 1
    assert site.holders() == []

    site.settle(site.candidates["e1"])
    assert site.holders() == []
    site.now_ms += SETTINGS.ttl_ms
    site.settle(site.candidates["e1"])
    assert site.holders() == ([] if is_down else ["e1"])


def test_a_released_duty_is_taken_at_once_with_a_higher_term() -> None:
    site = held_by_first()
    site.candidates["e0"].runner.release()
    site.settle(site.candidates["e1"])

    assert site.holders() == ["e1"]
    assert site.candidates["e1"].runner.term() == 2


@pytest.mark.parametrize(
    "fault", [Fault.LOST_REPLY, Fault.LOST_REQUEST, Fault.LATE_EFFECT]
)
@pytest.mark.parametrize("step", ["create", "compare_and_swap", "renew_lease"])
def test_lost_replies_are_settled(fault: Fault, step: str) -> None:
    site = DutySite()
    site.settle(site.candidates["e1"])
    site.candidates["e1"].runner.release()
    site.platform.plan("e0", PlannedFault(fault, step))

    site.settle(site.candidates["e0"])
    site.platform.apply_delayed_writes()

    assert site.candidates["e0"].runner.term() == 2


def test_a_failed_renewal_is_repeated_before_the_end() -> None:
    site = held_by_first()
    site.now_ms += SETTINGS.renew_every_ms
    site.platform.plan("e0", PlannedFault(Fault.ERROR, "renew_lease"))
    site.settle(site.candidates["e0"])
    site.now_ms += SETTINGS.renew_retry_ms
    site.settle(site.candidates["e0"])
    site.now_ms = SETTINGS.ttl_ms

    assert site.holders() == ["e0"]


def test_a_holder_paused_before_the_swap_loses_to_the_next() -> None:
    site = DutySite()
    paused = site.candidates["e0"]
    site.tick(paused)
    for _ in range(3):
        site.call(paused)
        site.reply(paused)
    site.now_ms += SETTINGS.ttl_ms
    site.settle(site.candidates["e1"])

    site.call(paused)
    site.reply(paused)
    site.settle(paused)

    assert site.holders() == ["e1"]
    assert isinstance(paused.runner.holder.stage, Idle)
    assert paused.runner.term() is None


@pytest.mark.parametrize("rate", [0.9, 1.1])
def test_the_margin_covers_a_clock_that_runs_a_tenth_fast_or_slow(rate: float) -> None:
    site = DutySite()
    site.clock_rates["e0"] = rate
    site.settle(site.candidates["e0"])
    site.now_ms = SETTINGS.ttl_ms
    site.settle(site.candidates["e1"])

    assert site.holders() == ["e1"]


def test_a_grant_that_arrives_after_its_end_is_given_up() -> None:
    site = DutySite()
    paused = site.candidates["e0"]
    site.tick(paused)
    for _ in range(2):
        site.call(paused)
        site.reply(paused)
    site.now_ms += SETTINGS.ttl_ms - SETTINGS.margin_ms
    site.call(paused)
    site.reply(paused)

    assert site.holders() == []
    assert isinstance(paused.runner.holder.stage, Idle)


def test_a_write_prepared_before_a_takeover_does_not_land() -> None:
    """The old holder is paused between its check of the term and its write."""
    site = held_by_first()
    old, new = site.candidates["e0"], site.candidates["e1"]
    site.act(old)
    before = old.believed
    site.now_ms += SETTINGS.ttl_ms
    site.settle(new)
    site.act(new)
    old.ledger._current_term = lambda: Term(1)

    assert isinstance(old.ledger.write(before, b"late").failure(), Conflict)
    assert old.ledger.read().unwrap().term == 2


def test_a_higher_term_fences_the_holder() -> None:
    site = held_by_first()
    holder = site.candidates["e0"].runner.holder

    assert holder.fence(Term(1)) == ()
    assert holder.fence(Term(2))
    assert site.holders() == []


def test_a_clock_that_steps_back_ends_the_duty() -> None:
    site = held_by_first()
    site.now_ms = 1_000
    site.settle(site.candidates["e0"])
    site.clock_steps_ms["e0"] = -500
    assert site.holders() == []
    site.settle(site.candidates["e0"])
    site.clock_steps_ms["e0"] = 0

    assert site.holders() == []


def test_names() -> None:
    assert steward_of(ZoneId("z1")) == "steward/z1"
    assert conductor_of(PoolName("web")) == "conductor/web"


def test_a_swap_that_someone_else_won_is_not_taken_for_ours() -> None:
    site = DutySite()
    one = site.candidates["e0"]
    site.tick(one)
    for _ in range(3):
        site.call(one)
        site.reply(one)
    term_key = "duties/steward/z1/term"
    site.platform.client("e1").create(term_key, b'{"term": 1, "claim": "other"}')
    site.settle(one)

    assert site.holders() == []
