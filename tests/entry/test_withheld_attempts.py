"""Attempts that were decided before their host's zone was evacuated."""

from __future__ import annotations

import queue
import threading
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import builders
from amaranthtray.backend.client import Payload
from amaranthtray.domain.ids import AttemptId, Millis, PoolName, Revision, ZoneId
from amaranthtray.domain.requests.messages import (
    AttemptEnded,
    Finish,
    NothingSent,
    StartAttempt,
    Submit,
)
from amaranthtray.domain.requests.model import NotRun, NotRunReason
from amaranthtray.domain.serving import ConfigurationInForce, HostsListed
from amaranthtray.entry.clock import now_ms
from amaranthtray.entry.request_runner import RequestRunner

if TYPE_CHECKING:
    from amaranthtray.domain.serving import ServingEffect, ServingMessage

HOST = builders.host(1)
WAIT_S = 30


class FixedServing:
    """Starts each request on one host and finishes it when the attempt ends."""

    def __init__(self) -> None:
        self.ended: list[AttemptEnded] = []
        self.request = builders.request()

    def handle(self, message: ServingMessage, now: int) -> list[ServingEffect]:
        match message:
            case Submit(request):
                until = Millis(now + 10_000)
                attempt_id = AttemptId("a1")
                return [StartAttempt(request, attempt_id, HOST.host_id, until, until)]
            case AttemptEnded():
                self.ended.append(message)
                return [Finish(self.request, NotRun(NotRunReason.CANCELLED))]
            case _:
                return []

    def next_wake_ms(self) -> int:
        return now_ms() + 10_000


def test_an_attempt_decided_before_the_evacuation_is_not_sent_after_it() -> None:
    """Guards against a request sent to the zone after the revision is in force."""
    serving = FixedServing()
    sent: list[object] = []
    client: Any = SimpleNamespace(
        register=lambda attempt: evacuate(),
        unregister=lambda attempt: None,
        abort=lambda attempt: None,
        run=sent.append,
    )
    counts: queue.SimpleQueue[str] = queue.SimpleQueue()
    observer: Any = SimpleNamespace(
        log_fault=lambda exc: counts.put("fault"),
        record_attempt=lambda request: None,
        record_outcome=lambda request, outcome: None,
        record_withheld_attempt=lambda: counts.put("withheld"),
    )
    runner = RequestRunner(
        serving,  # type: ignore[arg-type]
        client,
        SimpleNamespace(),  # type: ignore[arg-type]
        observer,
        on_control_effect=lambda effect: None,
    )
    runner.post(HostsListed({PoolName("web"): (HOST,)}))

    def evacuate() -> None:
        """Posts the evacuation while the start of the attempt is being handled."""
        runner.post(ConfigurationInForce(Revision(2), {}, (ZoneId("z1"),)))

    caller = threading.Thread(
        target=runner.submit,
        args=(serving.request, Payload("text/plain", b"")),
        daemon=True,
    )
    caller.start()
    caller.join(WAIT_S)
    assert not sent
    assert counts.get(timeout=WAIT_S) == "withheld"
    assert [ended.result for ended in serving.ended] == [
        NothingSent("the host's zone is evacuated", is_host_fault=False)
    ]
