"""Grammar of label selectors, and the transformer that builds their data classes."""

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
     | "!" word                -> not_exists
     | word _EQUAL value       -> equals
     | word "!=" value         -> not_equals
     | word "in" "(" values ")"    -> in_values
     | word "notin" "(" values ")" -> not_in_values
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
class _SelectorBuilder(Transformer[Token, "Selector"]):
    """Builds selectors while the parser reduces, so that nesting needs no recursion."""

    def any(self, *terms: Selector) -> Selector:
        return any_of(terms)

    def all(self, *terms: Selector) -> Selector:
        return all_of(terms)

    def negated(self, term: Selector) -> Selector:
        return negate(term)

    def exists(self, key: str) -> Selector:
        return Exists(key)

    def not_exists(self, key: str) -> Selector:
        return negate(Exists(key))

    def equals(self, key: str, value: str) -> Selector:
        return one_of(key, (value,))

    def not_equals(self, key: str, value: str) -> Selector:
        return negate(one_of(key, (value,)))

    def in_values(self, key: str, values: tuple[str, ...]) -> Selector:
        return one_of(key, values)

    def not_in_values(self, key: str, values: tuple[str, ...]) -> Selector:
        return negate(one_of(key, values))

    def values(self, *values: str) -> tuple[str, ...]:
        return values

    def value(self, value: str = "") -> str:
        return value

    def word(self, token: Token) -> str:
        if token.type == "STRING":
            return _ESCAPE.sub(r"\1", token[1:-1])
        return str(token)


PARSER = Lark(GRAMMAR, start="selector", parser="lalr", transformer=_SelectorBuilder())
