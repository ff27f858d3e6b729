"""Parses Kubernetes-style label selectors, extended by ``and``, ``or``, ``not``."""

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
MAX_CACHED_SELECTORS = 1_024

STEP = "parse-selector"
PEER = "operator"

_TERMINAL_NAMES = {
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


@lru_cache(maxsize=MAX_CACHED_SELECTORS)
def parse(text: str) -> Result[Selector, Problem]:
    """Returns the parsed selector; an empty text matches everything.

    Used for queues and waves; ``parse_for_pool`` is used for pools.
    """
    if not text.strip():
        return Success(Everything())
    if len(text) > MAX_TEXT_CHARS:
        what = f"selector has {len(text)} characters, at most {MAX_TEXT_CHARS} allowed"
        return _failure(
            what, MAX_TEXT_CHARS + 1, "add a label to the hosts and select it"
        )
    try:
        selector = cast("Selector", PARSER.parse(text))
    except UnexpectedInput as exc:
        return _syntax_problem(text, exc)
    if depth(selector) > MAX_DEPTH:
        what = f"selector nests deeper than {MAX_DEPTH} levels"
        return _failure(what, 1, "use fewer nested parentheses")
    return Success(selector)


def parse_for_pool(text: str) -> Result[Selector, Problem]:
    """Returns the parsed selector of a pool; an empty text matches nothing."""
    if not text.strip():
        return Success(Nothing())
    return parse(text)


def _syntax_problem(text: str, exc: UnexpectedInput) -> Result[Selector, Problem]:
    match exc:
        case UnexpectedCharacters():
            position = exc.pos_in_stream or 0
            unexpected, expected = repr(text[position]), exc.allowed
        case UnexpectedToken() if exc.token.type != "$END":
            position = exc.token.start_pos or 0
            unexpected, expected = repr(str(exc.token)), exc.accepts or exc.expected
        case UnexpectedToken():
            position = len(text)
            unexpected, expected = "the end", exc.accepts or exc.expected
        case _:
            position = len(text)
            unexpected, expected = "the end", set()
    fix = "a selector is like 'tier=web,zone in (a,b)'"
    if expected:
        fix = f"expected {_terminal_names(expected)}; {fix}"
    return _failure(f"unexpected {unexpected}", position + 1, fix)


def _terminal_names(terminals: set[str]) -> str:
    return " or ".join(sorted(_TERMINAL_NAMES.get(name, name) for name in terminals))


def _failure(what: str, column: int, fix: str) -> Result[Selector, Problem]:
    return Failure(Problem(STEP, PEER, what, f"selector, column {column}", fix))
