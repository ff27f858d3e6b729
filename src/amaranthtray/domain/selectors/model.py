"""Label selectors as data classes, and how they match label sets.

The logic is two-valued. A requirement of a value, or of existence, never matches a
host or team without that label, and a negation is the plain complement. So ``a!=b``
and ``a notin (b)`` match a host without label ``a``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping


@dataclass(frozen=True, slots=True)
class Everything:
    """Matches every label set; the meaning of an empty selector of a queue."""


@dataclass(frozen=True, slots=True)
class Nothing:
    """Matches no label set; the meaning of an empty selector of a pool."""


@dataclass(frozen=True, slots=True)
class Exists:
    """Matches label sets that contain the label, with any value."""

    key: str


@dataclass(frozen=True, slots=True)
class In:
    """Matches if the label has one of the values, which are sorted and unique."""

    key: str
    values: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Not:
    """Matches label sets that the term does not match."""

    term: Selector


@dataclass(frozen=True, slots=True)
class All:
    """Matches if every term does; holds at least two terms."""

    terms: tuple[Selector, ...]


@dataclass(frozen=True, slots=True)
class Any:
    """Matches if at least one term does; holds at least two terms."""

    terms: tuple[Selector, ...]


Selector: TypeAlias = Everything | Nothing | Exists | In | Not | All | Any


def matches(selector: Selector, labels: Mapping[str, str]) -> bool:
    """Returns whether a label set satisfies the selector."""
    match selector:
        case In(key, values):
            return labels.get(key) in values
        case Exists(key):
            return key in labels
        case Not(term):
            return not matches(term, labels)
        case All(terms):
            return all(matches(term, labels) for term in terms)
        case Any(terms):
            return any(matches(term, labels) for term in terms)
        case Everything():
            return True
        case Nothing():
            return False


def one_of(key: str, values: Iterable[str]) -> Selector:
    """Returns the requirement that the label has one of the values."""
    return In(key, tuple(sorted(set(values))))


def negate(term: Selector) -> Selector:
    """Returns the complement; a double negation cancels out."""
    return term.term if isinstance(term, Not) else Not(term)


def all_of(terms: Iterable[Selector]) -> Selector:
    """Returns the conjunction of the terms, with nested conjunctions flattened."""
    flat = tuple(_flatten(terms, All))
    return flat[0] if len(flat) == 1 else All(flat)


def any_of(terms: Iterable[Selector]) -> Selector:
    """Returns the disjunction of the terms, with nested disjunctions flattened."""
    flat = tuple(_flatten(terms, Any))
    return flat[0] if len(flat) == 1 else Any(flat)


def _flatten(
    terms: Iterable[Selector], kind: type[All] | type[Any]
) -> Iterator[Selector]:
    for term in terms:
        if isinstance(term, kind):
            yield from term.terms
        else:
            yield term


def depth(selector: Selector) -> int:
    """Returns the number of nesting levels.

    Iterative, so that no depth exceeds the recursion limit.
    """
    deepest = 0
    stack: list[tuple[Selector, int]] = [(selector, 1)]
    while stack:
        term, level = stack.pop()
        deepest = max(deepest, level)
        match term:
            case Not(inner):
                stack.append((inner, level + 1))
            case All(terms) | Any(terms):
                stack.extend((inner, level + 1) for inner in terms)
    return deepest
