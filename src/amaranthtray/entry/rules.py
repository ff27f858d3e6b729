"""Validation rules of the configuration that need selectors and placement."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Success

from ..domain.configuration.log import InvalidChange, Rules
from ..domain.placement import check_ambiguity
from ..domain.selectors import matches, parse

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from ..domain.configuration import Configuration
    from ..domain.ids import ZoneId
    from ..domain.inventory import Host


def matches_selector(selector: str, labels: Mapping[str, str]) -> bool:
    """Returns whether a selector matches the labels; an invalid one matches none."""
    match parse(selector):
        case Success(parsed):
            return matches(parsed, labels)
        case _:
            return False


def configuration_rules(hosts: Callable[[], Iterable[Host]]) -> Rules:
    """Returns the rules that changes of the configuration are validated with.

    Args:
        hosts: Returns the hosts that are known at the time of the check.
    """

    def check_pools(
        before: Configuration, after: Configuration
    ) -> InvalidChange | None:
        match check_ambiguity(before, after, hosts()):
            case Failure(problem):
                return InvalidChange(problem.what, problem.where, problem.fix)
            case _:
                return None

    def known_zones() -> frozenset[ZoneId]:
        return frozenset(host.zone for host in hosts() if host.zone)

    return Rules(selector=_selector_error, pools=check_pools, zones=known_zones)


def _selector_error(selector: str, /) -> str | None:
    match parse(selector):
        case Failure(problem):
            return f"{problem.what} at {problem.where}; {problem.fix}"
        case _:
            return None
