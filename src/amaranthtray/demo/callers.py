"""Callers of the demo; calls are spread over the entries as by a load balancer."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING

import urllib3

from ..domain.requests.model import WorkClass
from ..entry import submission
from ..entry.replies import OUTCOME, OutcomeName

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .call_log import CallLog

TIMEOUT_S = 30.0
CALLER_THREADS = 24


@dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller.

    Attributes:
        key: Bearer key; None for an open queue.
    """

    request_id: str
    queue: str
    body: bytes
    key: str | None = None
    work_class: WorkClass = WorkClass.URGENT
    repeatable: bool = True
    deadline_ms: int = 10_000


@dataclass(frozen=True, slots=True)
class CallResult:
    """Result of a call as its caller received it."""

    call: Call
    status: int
    outcome: str
    body: bytes


class Callers:
    """Sends calls from several threads, round robin over the entries.

    Args:
        urls: Base URLs of the entries.
        call_log: Stores calls and results.
    """

    def __init__(self, urls: list[str], call_log: CallLog) -> None:
        self._urls = urls
        self._call_log = call_log
        self._http = urllib3.PoolManager(maxsize=CALLER_THREADS, retries=False)

    def send_all(self, calls: Iterable[Call]) -> list[CallResult]:
        """Sends calls concurrently and returns their results in order."""
        numbered = list(enumerate(calls))
        with ThreadPoolExecutor(CALLER_THREADS) as executor:
            return list(
                executor.map(lambda item: self.send(item[1], item[0]), numbered)
            )

    def send(self, call: Call, number: int = 0) -> CallResult:
        """Sends one call through one entry."""
        self._call_log.record_sent(call)
        url = self._urls[number % len(self._urls)]
        resp = self._http.request(
            "POST",
            f"{url}/v1/queues/{call.queue}/requests",
            body=call.body,
            headers=_headers(call),
            timeout=TIMEOUT_S,
        )
        outcome = resp.headers.get(OUTCOME, OutcomeName.UNKNOWN)
        result = CallResult(call, resp.status, outcome, resp.data)
        self._call_log.record_result(result)
        return result

    def issue_ids(self, key: str, count: int, number: int = 0) -> list[str]:
        """Returns request ids that an entry issued."""
        url = self._urls[number % len(self._urls)]
        resp = self._http.request(
            "POST",
            f"{url}/v1/request-ids?count={count}",
            headers={"Authorization": f"Bearer {key}"},
            timeout=TIMEOUT_S,
        )
        ids: list[str] = resp.json()["ids"]
        return ids


def _headers(call: Call) -> dict[str, str]:
    headers = {
        submission.REQUEST_ID: call.request_id,
        submission.WORK_CLASS: call.work_class.value,
        submission.REPEATABLE: str(call.repeatable).lower(),
        submission.DEADLINE_MS: str(call.deadline_ms),
    }
    if call.key is not None:
        headers["Authorization"] = f"Bearer {call.key}"
    return headers
