"""The grammar of label selectors and the actions that build data classes."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from lark import Lark, Token, Transformer, v_args

from .model import Exists, all_of, any_of, negate, one_of

if TYPE_CHECKING:
    from .model import Selector

GRAMMAR = r"""
?selector: any
any: all ("or" all)*
all: term (("," | "and") term)*
?term: "not" term              -> negated
     | "(" any ")"
     | word                    -> exists
     | "!" word                -> absent
     | word _EQUAL value       -> equal
     | word "!=" value         -> unequal
     | word "in" "(" values ")"    -> inside
     | word "notin" "(" values ")" -> outside
values: word ("," word)*
value: word?
word: WORD | STRING

_EQUAL: "==" | "="
WORD: /[A-Za-z0-9]([A-Za-z0-9_.\/-]*[A-Za-z0-9])?/
STRING: /"(\\["\\]|[^"\\])*"/
%import common.WS
%ignore WS
"""

_ESCAPE = re.compile(r"\\(.)")


@v_args(inline=True)
class _Builder(Transformer[Token, "Selector"]):
    """Called as the parser reduces, so nesting costs no recursion."""

    def any(self, *terms: Selector) -> Selector:
        return any_of(terms)

    def all(self, *terms: Selector) -> Selector:
        return all_of(terms)

    def negated(self, term: Selector) -> Selector:
        return negate(term)

    def exists(self, key: str) -> Selector:
        return Exists(key)

    def absent(self, key: str) -> Selector:
        return negate(Exists(key))

    def equal(self, key: str, value: str) -> Selector:
        return one_of(key, (value,))

    def unequal(self, key: str, value: str) -> Selector:
        return negate(one_of(key, (value,)))

    def inside(self, key: str, values: tuple[str, ...]) -> Selector:
        return one_of(key, values)

    def outside(self, key: str, values: tuple[str, ...]) -> Selector:
        return negate(one_of(key, values))

    def values(self, *values: str) -> tuple[str, ...]:
        return values

    def value(self, value: str = "") -> str:
        return value

    def word(self, token: Token) -> str:
        if token.type == "STRING":
            return _ESCAPE.sub(r"\1", token[1:-1])
        return str(token)


PARSER = Lark(GRAMMAR, start="selector", parser="lalr", transformer=_Builder())
