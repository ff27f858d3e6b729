"""Acquiring, renewing, losing and giving up a duty."""

from __future__ import annotations

import pytest

from amaranthtray.domain.duties import DutySettings, Idle, conductor_duty, steward_duty
from amaranthtray.domain.ids import PoolName, Term, ZoneId
from amaranthtray.store.contract import Conflict
from amaranthtray.store.memory import Fault, PlannedFault
from duties.duty_site import DutySite

SETTINGS = DutySettings()


def site_with_first_holder() -> DutySite:
    site = DutySite()
    site.run_until_idle(site.candidates["e0"])
    assert site.holders() == ["e0"]
    return site


def test_the_first_entry_acquires_the_duty_and_the_others_wait() -> None:
    site = site_with_first_holder()
    site.run_until_idle(site.candidates["e1"])

    assert site.holders() == ["e0"]
    assert site.candidates["e0"].runner.term() == 1


def test_the_duty_is_kept_over_many_renewals() -> None:
    site = site_with_first_holder()
    for _ in range(100):
        site.now_ms += 1_000
        for candidate in site.candidates.values():
            site.run_until_idle(candidate)

    assert site.candidates["e0"].runner.term() == 1


@pytest.mark.parametrize("is_down", [False, True])
def test_a_paused_holder_stops_by_itself_before_its_lease_ends(is_down: bool) -> None:
    site = site_with_first_holder()
    site.platform.is_down = is_down
    site.now_ms = SETTINGS.ttl_ms - SETTINGS.margin_ms - 1
    assert site.holders() == ["e0"]
    site.now_ms += 1
    assert site.holders() == []

    site.run_until_idle(site.candidates["e1"])
    assert site.holders() == []
    site.now_ms += SETTINGS.ttl_ms
    site.run_until_idle(site.candidates["e1"])
    assert site.holders() == ([] if is_down else ["e1"])


def test_a_duty_lost_in_an_outage_is_free_once_the_store_is_back() -> None:
    site = site_with_first_holder()
    site.platform.is_down = True
    site.now_ms = SETTINGS.ttl_ms - SETTINGS.margin_ms
    site.run_until_idle(site.candidates["e0"])
    assert site.holders() == []

    site.platform.is_down = False
    site.now_ms += SETTINGS.renew_retry_ms
    assert site.now_ms < SETTINGS.ttl_ms
    site.run_until_idle(site.candidates["e0"])
    site.run_until_idle(site.candidates["e1"])
    assert site.holders() == ["e1"]


def test_a_released_duty_is_acquired_at_once_with_a_higher_term() -> None:
    site = site_with_first_holder()
    site.candidates["e0"].runner.release()
    site.run_until_idle(site.candidates["e1"])

    assert site.holders() == ["e1"]
    assert site.candidates["e1"].runner.term() == 2


@pytest.mark.parametrize(
    "fault", [Fault.LOST_REPLY, Fault.LOST_REQUEST, Fault.LATE_EFFECT]
)
@pytest.mark.parametrize("step", ["create", "compare_and_swap", "renew_lease"])
def test_lost_replies_are_resolved_by_reading(fault: Fault, step: str) -> None:
    site = DutySite()
    site.run_until_idle(site.candidates["e1"])
    site.candidates["e1"].runner.release()
    site.platform.plan("e0", PlannedFault(fault, step))

    site.run_until_idle(site.candidates["e0"])
    site.platform.apply_delayed_writes()

    assert site.candidates["e0"].runner.term() == 2


def test_a_failed_renewal_is_repeated_before_the_lease_expires() -> None:
    site = site_with_first_holder()
    site.now_ms += SETTINGS.renew_every_ms
    site.platform.plan("e0", PlannedFault(Fault.ERROR, "renew_lease"))
    site.run_until_idle(site.candidates["e0"])
    site.now_ms += SETTINGS.renew_retry_ms
    site.run_until_idle(site.candidates["e0"])
    site.now_ms = SETTINGS.ttl_ms

    assert site.holders() == ["e0"]


def test_an_entry_paused_before_the_swap_loses_to_the_next_holder() -> None:
    site = DutySite()
    paused = site.candidates["e0"]
    site.tick(paused)
    for _ in range(3):
        site.call(paused)
        site.reply(paused)
    site.now_ms += SETTINGS.ttl_ms
    site.run_until_idle(site.candidates["e1"])

    site.call(paused)
    site.reply(paused)
    site.run_until_idle(paused)

    assert site.holders() == ["e1"]
    assert isinstance(paused.runner.holder.state, Idle)
    assert paused.runner.term() is None


@pytest.mark.parametrize("rate", [0.9, 1.1])
def test_the_margin_covers_a_clock_that_runs_a_tenth_fast_or_slow(rate: float) -> None:
    site = DutySite()
    site.clock_rates["e0"] = rate
    site.run_until_idle(site.candidates["e0"])
    site.now_ms = SETTINGS.ttl_ms
    site.run_until_idle(site.candidates["e1"])

    assert site.holders() == ["e1"]


def test_a_lease_granted_too_late_is_given_up() -> None:
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
    assert isinstance(paused.runner.holder.state, Idle)


def test_a_write_prepared_before_a_takeover_is_rejected() -> None:
    """The former holder was paused between its check of the term and its write."""
    site = site_with_first_holder()
    old, new = site.candidates["e0"], site.candidates["e1"]
    site.write_ledger(old)
    before = old.known_value
    site.now_ms += SETTINGS.ttl_ms
    site.run_until_idle(new)
    site.write_ledger(new)
    old.ledger._current_term = lambda: Term(1)

    assert isinstance(old.ledger.write(before, b"late").failure(), Conflict)
    assert old.ledger.read().unwrap().term == 2


def test_an_observed_higher_term_ends_the_duty() -> None:
    site = site_with_first_holder()
    holder = site.candidates["e0"].runner.holder

    assert holder.observe_term(Term(1)) == ()
    assert holder.observe_term(Term(2))
    assert site.holders() == []


def test_a_clock_that_steps_back_ends_the_duty() -> None:
    site = site_with_first_holder()
    site.now_ms = 1_000
    site.run_until_idle(site.candidates["e0"])
    site.clock_steps_ms["e0"] = -500
    assert site.holders() == []
    site.run_until_idle(site.candidates["e0"])
    site.clock_steps_ms["e0"] = 0

    assert site.holders() == []


def test_a_tick_after_a_read_of_the_clock_does_not_hide_the_held_term() -> None:
    """Guards against a holder that seems lost while another thread renews it."""
    site = site_with_first_holder()
    candidate = site.candidates["e0"]
    read_clock = candidate.runner._clock

    def read_before_a_tick() -> int:
        now_ms = read_clock()
        site.now_ms += 1
        site.tick(candidate)
        return now_ms

    candidate.runner._clock = read_before_a_tick
    assert candidate.runner.term() == 1


def test_duty_names() -> None:
    assert steward_duty(ZoneId("z1")) == "steward/z1"
    assert conductor_duty(PoolName("web")) == "conductor/web"


def test_a_swap_won_by_another_entry_is_not_mistaken_for_our_own() -> None:
    site = DutySite()
    candidate = site.candidates["e0"]
    site.tick(candidate)
    for _ in range(3):
        site.call(candidate)
        site.reply(candidate)
    term_key = "duties/steward/z1/term"
    site.platform.client("e1").create(term_key, b'{"term": 1, "claim": "other"}')
    site.run_until_idle(candidate)

    assert site.holders() == []
