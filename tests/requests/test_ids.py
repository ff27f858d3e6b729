"""Parsing and formatting of request ids."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from amaranthtray.domain.ids import EntryId, Incarnation, ZoneId
from amaranthtray.domain.requests.ids import (
    ChosenId,
    Home,
    IssuedId,
    parse_request_id,
)

NAMES = st.from_regex(r"[A-Za-z0-9._-]{1,64}", fullmatch=True)


@given(NAMES, NAMES, NAMES, st.integers(1, 10**18 - 1))
def test_issued_id_round_trips(
    zone: str, entry: str, incarnation: str, seq: int
) -> None:
    issued = IssuedId(Home(ZoneId(zone), EntryId(entry), Incarnation(incarnation)), seq)
    assert parse_request_id(issued.to_request_id(), peer="red").unwrap() == issued


@given(st.text(max_size=300))
def test_any_text_is_parsed_or_refused_with_a_fix(text: str) -> None:
    parsed = parse_request_id(text, peer="red")
    if parsed.value_or(None) is None:
        assert parsed.failure().fix
    else:
        assert isinstance(parsed.unwrap(), ChosenId | IssuedId)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "x" * 257,
        "a b",
        "a\nb",
        "\u017eena",
        "a1~",
        "a1~z1~e1~i1",
        "a1~z1~e1~i1~0",
        "a1~z1~e1~i1~01",
        "a1~z1~e1~i1~-1",
        "a1~z1~e1~i1~1~2",
        "a1~z1~~i1~1",
        "a1~z1~e1~i1~1\n",
        "a1~z1~e1~i1~" + "9" * 19,
    ],
)
def test_malformed_id_is_refused(text: str) -> None:
    problem = parse_request_id(text, peer="red").failure()
    assert problem.where == "request id"
