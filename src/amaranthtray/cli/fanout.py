"""Concurrent reads of one path from several entries."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from .client import Conflicted, EffectUnknown, Refused, Unreachable

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .client import AdminFailure
    from .session import Session

MAX_CONCURRENT_CALLS = 16


def read_from_all(
    session: Session, urls: Iterable[str], path: str
) -> dict[str, Result[Any, str]]:
    """Reads ``path`` from each entry; a failure holds its cause as text."""
    endpoints = list(urls)
    with ThreadPoolExecutor(MAX_CONCURRENT_CALLS) as pool:
        replies = pool.map(lambda url: _read_from(session, url, path), endpoints)
        return dict(zip(endpoints, replies, strict=True))


def _read_from(session: Session, url: str, path: str) -> Result[Any, str]:
    reply: Result[Any, AdminFailure] = session.client_for(url).read(path)
    match reply:
        case Success(data):
            return Success(data)
        case Failure(failure):
            return Failure(_failure_text(failure))
    raise AssertionError("a result is a success or a failure")


def _failure_text(failure: AdminFailure) -> str:
    match failure:
        case Refused(_, problem):
            return str(problem)
        case Unreachable(tried) | EffectUnknown(_, tried):
            return "; ".join(tried)
        case Conflicted(name, revision, operator):
            return f"{name} was changed by {operator} in revision {revision}"
