"""Rules that join the configuration with selectors and placement."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Success

from ..domain.configuration.log import InvalidChange, Rules
from ..domain.placement import check_ambiguity
from ..domain.selectors import matches, parse

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from ..domain.configuration import Configuration
    from ..domain.inventory import Host


def matches_selector(selector: str, labels: Mapping[str, str]) -> bool:
    """Returns whether a selector matches labels; a malformed one matches nothing."""
    match parse(selector):
        case Success(parsed):
            return matches(parsed, labels)
        case _:
            return False


def configuration_rules(hosts: Callable[[], Iterable[Host]]) -> Rules:
    """Returns the rules that changes are checked with.

    Args:
        hosts: Returns the hosts known at the moment of the check.
    """

    def check_pools(
        before: Configuration, after: Configuration
    ) -> InvalidChange | None:
        match check_ambiguity(before, after, hosts()):
            case Failure(problem):
                return InvalidChange(problem.what, problem.where, problem.fix)
            case _:
                return None

    return Rules(selector=_selector_fault, pools=check_pools)


def _selector_fault(selector: str, /) -> str | None:
    match parse(selector):
        case Failure(problem):
            return f"{problem.what} at {problem.where}; {problem.fix}"
        case _:
            return None
