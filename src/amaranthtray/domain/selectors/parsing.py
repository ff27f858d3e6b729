"""Reads the usual label selector syntax, with ``and``, ``or``, ``not`` on top."""

from __future__ import annotations

from functools import lru_cache
from typing import cast

from lark.exceptions import (
    UnexpectedCharacters,
    UnexpectedInput,
    UnexpectedToken,
)
from returns.result import Failure, Result, Success

from ..errors import Problem
from ._grammar import PARSER
from .model import Everything, Nothing, Selector, depth

MAX_TEXT_CHARS = 4_096
MAX_DEPTH = 32
CACHED_SELECTORS = 1_024

STEP = "parse-selector"
PEER = "operator"

_NAMES = {
    "WORD": "a label or value",
    "STRING": "a quoted word",
    "COMMA": "','",
    "LPAR": "'('",
    "RPAR": "')'",
    "BANG": "'!'",
    "_EQUAL": "'='",
    "__ANON_0": "'!='",
    "AND": "'and'",
    "OR": "'or'",
    "NOT": "'not'",
    "IN": "'in'",
    "NOTIN": "'notin'",
    "$END": "the end",
}


@lru_cache(maxsize=CACHED_SELECTORS)
def parse(text: str) -> Result[Selector, Problem]:
    """Returns the selector that the text means; an empty text matches everything.

    This is the reading for queues and waves; ``parse_for_pool`` is that for pools.
    """
    if not text.strip():
        return Success(Everything())
    if len(text) > MAX_TEXT_CHARS:
        what = f"selector has {len(text)} characters, most is {MAX_TEXT_CHARS}"
        return _refused(what, MAX_TEXT_CHARS + 1, "label the hosts and select that")
    try:
        selector = cast("Selector", PARSER.parse(text))
    except UnexpectedInput as exc:
        return _syntax_problem(text, exc)
    if depth(selector) > MAX_DEPTH:
        what = f"selector nests deeper than {MAX_DEPTH} levels"
        return _refused(what, 1, "write it with fewer parentheses")
    return Success(selector)


def parse_for_pool(text: str) -> Result[Selector, Problem]:
    """Returns what a pool's selector means; an empty text matches nothing."""
    if not text.strip():
        return Success(Nothing())
    return parse(text)


def _syntax_problem(text: str, exc: UnexpectedInput) -> Result[Selector, Problem]:
    match exc:
        case UnexpectedCharacters():
            position = exc.pos_in_stream or 0
            found, wanted = repr(text[position]), exc.allowed
        case UnexpectedToken() if exc.token.type != "$END":
            position = exc.token.start_pos or 0
            found, wanted = repr(str(exc.token)), exc.accepts or exc.expected
        case UnexpectedToken():
            position = len(text)
            found, wanted = "the end", exc.accepts or exc.expected
        case _:
            position = len(text)
            found, wanted = "the end", set()
    fix = "a selector is like 'tier=web,zone in (a,b)'"
    if wanted:
        fix = f"expected {_names(wanted)}; {fix}"
    return _refused(f"unexpected {found}", position + 1, fix)


def _names(terminals: set[str]) -> str:
    return " or ".join(sorted(_NAMES.get(name, name) for name in terminals))


def _refused(what: str, column: int, fix: str) -> Result[Selector, Problem]:
    return Failure(Problem(STEP, PEER, what, f"selector, column {column}", fix))
