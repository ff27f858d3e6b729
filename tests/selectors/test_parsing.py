"""Selector syntax, syntax errors, canonical text and logical laws."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from amaranthtray.domain.selectors import (
    Everything,
    Exists,
    In,
    Not,
    Nothing,
    Selector,
    all_of,
    any_of,
    matches,
    negate,
    one_of,
    parse,
    parse_for_pool,
    to_text,
)
from amaranthtray.domain.selectors.parsing import MAX_TEXT_CHARS

LABELS = {"tier": "web", "zone": "z1", "empty": "", "in": "x"}

KEYS = st.one_of(
    st.sampled_from(["tier", "zone", "in", "not", "or", "k8s.io/app"]),
    st.text(max_size=4),
)
VALUES = st.one_of(st.sampled_from(["web", "z1", "and", ""]), st.text(max_size=4))
LEAVES = st.one_of(
    KEYS.map(Exists),
    st.builds(one_of, KEYS, st.lists(VALUES, min_size=1, max_size=3)),
)
SELECTORS = st.recursive(
    LEAVES,
    lambda inner: st.one_of(
        inner.map(negate),
        st.lists(inner, min_size=1, max_size=3).map(all_of),
        st.lists(inner, min_size=1, max_size=3).map(any_of),
    ),
    max_leaves=8,
)
LABEL_SETS = st.dictionaries(KEYS, VALUES, max_size=4)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("tier=web", True),
        ("tier==web", True),
        ("tier=db", False),
        ("tier!=web", False),
        ("tier!=db", True),
        ("tier in (db, web)", True),
        ("tier notin (db,web)", False),
        ("tier", True),
        ("!tier", False),
        ("empty=", True),
        ('empty=""', True),
        ("tier=web,zone=z1", True),
        ("tier=web , zone=z2", False),
        ("tier=web and zone=z2 or zone=z1", True),
        ("tier=web and (zone=z2 or zone=z3)", False),
        ("not tier=web", False),
        ("not (tier=web,zone=z2)", True),
        ("not not tier", True),
        ("in=x", True),
        ("in in (x)", True),
        ("absent=web", False),
        ("absent!=web", True),
        ("absent in (web)", False),
        ("absent notin (web)", True),
        ("absent", False),
        ("!absent", True),
        ("absent=", False),
        ("not absent=web", True),
    ],
)
def test_syntax_and_missing_labels(text: str, expected: bool) -> None:
    assert matches(parse(text).unwrap(), LABELS) is expected


@pytest.mark.parametrize(
    ("text", "column"),
    [
        ("tier web", 6),
        ("tier=$", 6),
        ("tier in", 8),
        ("tier in ()", 10),
        ("(tier", 6),
        ("tier)", 5),
        ("tier=web,,zone", 10),
        ("tier=web\n or )", 14),
        ("=web", 1),
        ('tier="web', 6),
        ("not", 4),
    ],
)
def test_a_syntax_error_names_its_column(text: str, column: int) -> None:
    result = parse(text)
    assert isinstance(result, Failure)
    problem = result.failure()
    assert problem.where == f"selector, column {column}"
    assert problem.what
    assert problem.fix


def test_size_and_nesting_are_bounded() -> None:
    assert isinstance(parse("a" * (MAX_TEXT_CHARS + 1)), Failure)
    nested = "not (a," * 200 + "a" + ")" * 200
    assert "nests" in parse(nested).failure().what


def test_empty_text_is_everything_for_queues_and_nothing_for_pools() -> None:
    assert parse("  ").unwrap() == Everything()
    assert parse_for_pool("  ").unwrap() == Nothing()
    assert matches(Everything(), {})
    assert not matches(Nothing(), LABELS)


@pytest.mark.parametrize(
    ("text", "canonical"),
    [
        ("a,(b,c)", "a,b,c"),
        ("a or (b or c)", "a or b or c"),
        ("a in (y, x, y)", "a in (x,y)"),
        ("a in (x)", "a=x"),
        ("not a!=x", "a=x"),
        ("a and b or c", "(a,b) or c"),
    ],
)
def test_equivalent_texts_have_the_same_canonical_text(
    text: str, canonical: str
) -> None:
    assert to_text(parse(text).unwrap()) == canonical
    assert parse(text) == parse(canonical)


@given(SELECTORS)
def test_canonical_text_parses_back(selector: Selector) -> None:
    assert parse(to_text(selector)).unwrap() == selector


@given(SELECTORS, SELECTORS, SELECTORS, LABEL_SETS)
def test_boolean_laws(
    a: Selector, b: Selector, c: Selector, labels: dict[str, str]
) -> None:
    def match_equally(left: Selector, right: Selector) -> bool:
        return matches(left, labels) is matches(right, labels)

    assert matches(negate(a), labels) is not matches(a, labels)
    assert match_equally(negate(negate(a)), a)
    assert match_equally(negate(all_of([a, b])), any_of([negate(a), negate(b)]))
    assert match_equally(
        all_of([a, any_of([b, c])]), any_of([all_of([a, b]), all_of([a, c])])
    )
    assert match_equally(all_of([a, b]), all_of([b, a]))
    assert match_equally(all_of([a, all_of([b, c])]), all_of([all_of([a, b]), c]))
    assert match_equally(any_of([a, all_of([a, b])]), a)
    assert not matches(all_of([a, Not(a)]), labels)


@given(KEYS, st.lists(VALUES, min_size=1, max_size=3), LABEL_SETS)
def test_a_value_set_is_the_disjunction_of_its_values(
    key: str, values: list[str], labels: dict[str, str]
) -> None:
    split = any_of([In(key, (value,)) for value in values])
    assert matches(one_of(key, values), labels) is matches(split, labels)
