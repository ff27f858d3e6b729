"""Asks several entries at once, each for itself."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from .client import Conflicted, EffectUnknown, Refused, Unreachable

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .client import AdminFailure
    from .session import Session

MAX_CALLS_AT_ONCE = 16


def ask_all(
    session: Session, urls: Iterable[str], path: str
) -> dict[str, Result[Any, str]]:
    """Reads ``path`` from each entry; a failure is the cause in words."""
    asked = list(urls)
    with ThreadPoolExecutor(MAX_CALLS_AT_ONCE) as pool:
        replies = pool.map(lambda url: _ask(session, url, path), asked)
        return dict(zip(asked, replies, strict=True))


def _ask(session: Session, url: str, path: str) -> Result[Any, str]:
    reply: Result[Any, AdminFailure] = session.client_of(url).read(path)
    match reply:
        case Success(data):
            return Success(data)
        case Failure(failure):
            return Failure(_cause(failure))
    raise AssertionError("a result is a success or a failure")


def _cause(failure: AdminFailure) -> str:
    match failure:
        case Refused(_, problem):
            return str(problem)
        case Unreachable(tried) | EffectUnknown(_, tried):
            return "; ".join(tried)
        case Conflicted(name, revision, operator):
            return f"{name} was changed by {operator} in revision {revision}"
