"""Formats selectors as canonical text; equal selectors have equal text."""

from __future__ import annotations

import re

from .model import All, Any, Everything, Exists, In, Not, Nothing, Selector

KEYWORDS = frozenset({"and", "or", "not", "in", "notin"})
BARE_WORD = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9_./-]*[A-Za-z0-9])?")


def to_text(selector: Selector) -> str:
    """Returns the canonical text, which parses back to the selector.

    ``Everything`` and ``Nothing`` are both formatted as the empty text. ``parse``
    reads it as the former and ``parse_for_pool`` as the latter.
    """
    match selector:
        case All(terms):
            return ",".join(_nested(term) for term in terms)
        case Any(terms):
            return " or ".join(_nested(term) for term in terms)
        case _:
            return _nested(selector)


def _nested(selector: Selector) -> str:
    match selector:
        case Everything() | Nothing():
            return ""
        case Exists(key):
            return _word(key)
        case In(key, (value,)):
            return f"{_word(key)}={_word(value)}"
        case In(key, values):
            return f"{_word(key)} in {_values(values)}"
        case Not(term):
            return _negated(term)
        case All() | Any():
            return f"({to_text(selector)})"


def _negated(term: Selector) -> str:
    match term:
        case Exists(key):
            return f"!{_word(key)}"
        case In(key, (value,)):
            return f"{_word(key)}!={_word(value)}"
        case In(key, values):
            return f"{_word(key)} notin {_values(values)}"
        case _:
            return f"not ({to_text(term)})"


def _values(values: tuple[str, ...]) -> str:
    return f"({','.join(_word(value) for value in values)})"


def _word(text: str) -> str:
    if BARE_WORD.fullmatch(text) and text not in KEYWORDS:
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return f'"{escaped}"'
