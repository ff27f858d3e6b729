"""Prints the trace of a small deterministic run of one entry.

``PYTHONPATH=src:tests python tests/replay/example_run.py > examples/traces/...``
"""

from __future__ import annotations

import io
import random
import sys

import builders
from amaranthtray.domain.ids import (
    EntryId,
    Incarnation,
    Millis,
    PoolName,
    Revision,
    TeamName,
    Term,
    ZoneId,
)
from amaranthtray.domain.inventory import HostState
from amaranthtray.domain.limits.messages import UnitsGrant
from amaranthtray.domain.requests.messages import (
    AttemptEnded,
    AttemptResult,
    BrokeAfterSend,
    Cancel,
    NothingSent,
    RefusedByHost,
    StartAttempt,
    Submit,
    Tick,
    WholeAnswer,
)
from amaranthtray.domain.requests.model import WorkClass
from amaranthtray.domain.serving import (
    ConfigurationInForce,
    GrantArrived,
    HostsListed,
    LeaveBegun,
    Serving,
    ServingContext,
    ServingEffect,
    ServingMessage,
    TermFollowed,
)
from amaranthtray.domain.serving.messages import TeamQuota
from amaranthtray.replay.recorder import Recorder

SEED = 7
STEP_MS = 50
LAST_MS = 6_000
SUBMIT_UNTIL_MS = 4_000
TEAMS = (TeamName("red"), TeamName("blue"))


class ExampleRun:
    """An entry with two hosts; some attempts fail, some requests are cancelled."""

    def __init__(
        self,
        sink: io.StringIO,
        *,
        max_bytes: int = 1_000_000,
        max_pending: int = 10_000,
    ) -> None:
        context = ServingContext(
            EntryId("e1"), Incarnation("i1"), ZoneId("z1"), random.Random(SEED)
        )
        self.recorder = Recorder(
            Serving(context),
            context,
            SEED,
            sink,
            max_bytes=max_bytes,
            max_pending=max_pending,
        )
        self.now_ms = 0
        self.rng = random.Random(SEED)
        self.due: list[tuple[int, AttemptEnded]] = []
        self.grants = 0
        self.requests = 0

    def run(self, *, close_s: float = 5.0) -> None:
        self.recorder.start()
        terms = {team: TeamQuota(1, 20) for team in TEAMS}
        self.handle_message(ConfigurationInForce(Revision(1), terms))
        self.list_hosts(HostState.LIVE)
        self.handle_message(TermFollowed(Term(1)))
        while self.now_ms < LAST_MS:
            self.now_ms += STEP_MS
            self.step()
        self.recorder.close(close_s)

    def step(self) -> None:
        ended = [item for when, item in self.due if when <= self.now_ms]
        self.due = [pair for pair in self.due if pair[0] > self.now_ms]
        for message in ended:
            self.handle_message(message)
        if self.now_ms <= SUBMIT_UNTIL_MS:
            self.submit()
        if self.now_ms == LAST_MS // 2:
            self.list_hosts(HostState.LEAVING)
        if self.now_ms == SUBMIT_UNTIL_MS:
            self.handle_message(LeaveBegun())
        if self.now_ms >= self.recorder.next_wake_ms():
            self.handle_message(Tick())

    def submit(self) -> None:
        self.requests += 1
        number = self.requests
        request = builders.request(
            number,
            team=TEAMS[number % 2],
            work_class=WorkClass.PATIENT if number % 3 == 0 else WorkClass.URGENT,
            repeatable=number % 4 != 0,
            accepted_ms=self.now_ms,
            deadline_ms=self.now_ms + 1_500,
        )
        self.handle_message(Submit(request))
        if number % 10 == 0:
            self.handle_message(Cancel(request.team, request.request_id))

    def list_hosts(self, second_state: HostState) -> None:
        hosts = (
            builders.host(1, slots=4),
            builders.host(2, slots=4, state=second_state),
        )
        self.handle_message(HostsListed({PoolName("web"): hosts}))

    def handle_message(self, message: ServingMessage) -> None:
        for effect in self.recorder.handle(message, Millis(self.now_ms)):
            self.execute_effect(effect)

    def execute_effect(self, effect: ServingEffect) -> None:
        match effect:
            case StartAttempt():
                delay_ms = self.rng.choice((100, 300, 700, 2_000))
                ended = AttemptEnded(effect.attempt_id, self.draw_result())
                self.due.append((self.now_ms + delay_ms, ended))
            case _ if hasattr(effect, "report"):
                self.grants += 1
                units = dict.fromkeys(TEAMS, 5)
                grant = UnitsGrant(
                    Incarnation("i1"),
                    Term(1),
                    self.grants,
                    effect.report.seq,
                    8_000,
                    Revision(1),
                    units=units,
                )
                self.handle_message(GrantArrived(grant))

    def draw_result(self) -> AttemptResult:
        draw = self.rng.random()
        if draw < 0.75:
            return WholeAnswer()
        if draw < 0.85:
            return BrokeAfterSend("reset")
        if draw < 0.92:
            return NothingSent("refused")
        return RefusedByHost(retry_after_ms=50)


def record(*, max_bytes: int = 1_000_000) -> tuple[str, Recorder]:
    """Runs the example; returns its trace and its recorder."""
    sink = io.StringIO()
    run = ExampleRun(sink, max_bytes=max_bytes)
    run.run()
    return sink.getvalue(), run.recorder


if __name__ == "__main__":
    sys.stdout.write(record()[0])
