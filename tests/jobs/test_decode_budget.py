"""The budget of decoded documents bounds their sum and is given back."""

from __future__ import annotations

import pytest

from amaranthtray.jobs.decode_budget import DecodeBudget, decoded_size


def test_budget_is_refused_while_others_hold_it_and_is_given_back() -> None:
    budget = DecodeBudget(100)
    with budget.hold(60) as first, budget.hold(60) as second, budget.hold(40) as third:
        assert (first, second, third) == (True, False, True)
    with pytest.raises(ValueError, match="ended"), budget.hold(100):
        raise ValueError("ended")
    with budget.hold(100) as is_held:
        assert is_held
    assert not budget.can_ever_hold(101)


def test_estimate_grows_with_steps_more_than_with_bytes() -> None:
    assert decoded_size(b"{}," * 100) > 20 * decoded_size(b"000" * 100)
