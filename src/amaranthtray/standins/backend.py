"""Stand-in of a backend server, with slots, task leases and injected faults."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

import cherrypy
import msgspec

from .. import web
from ..backend import wire
from .faults import FaultPlan
from .maintenance import Maintenance

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_TASK_BYTES = 16 << 20
CONTROL_WAIT_S = 1.0
MS_PER_S = 1_000
REBOOT_MS = 200
MAINTENANCE_VERBS = (wire.DRAIN, wire.REBOOT, wire.RETURN)


class ServerState(StrEnum):
    """Whether the server accepts new tasks."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Answer:
    """Reply of a task."""

    status: int = 200
    content_type: str = "application/octet-stream"
    body: bytes = b""


@dataclass(slots=True)
class TaskRun:
    """One run of a task, kept so that tests can check what ran.

    Attributes:
        lease_until_s: Time at which the task is stopped unless its lease is renewed.
    """

    attempt_id: str
    request_id: str
    team: str
    queue: str
    started_s: float
    lease_until_s: float
    stop: threading.Event = field(default_factory=threading.Event)
    ended: threading.Event = field(default_factory=threading.Event)
    ended_s: float | None = None
    checkpointed: bool = False
    throttled: bool = False


def echo(run: TaskRun, body: bytes) -> Answer:
    """Returns the request id and the body; sleeps first if the body is ``sleep:MS``."""
    if body.startswith(b"sleep:"):
        millis, _, _ = body.removeprefix(b"sleep:").partition(b" ")
        run.stop.wait(int(millis) / MS_PER_S)
    return Answer(body=run.request_id.encode() + b"|" + body)


class BackendStandIn:
    """One backend server on loopback.

    Args:
        host_id: Name of the host.
        slots: Maximum number of running tasks; more are refused as not started.
        threads: Number of threads that serve connections.
        handler: Runs a task and returns its answer.
        keeps_runs: Whether all runs are kept in ``runs``, also after their end.
        port: TCP port; 0 chooses a free one.
        reboot_ms: Duration of a reboot; None if the server never comes back.
    """

    def __init__(
        self,
        host_id: str,
        *,
        slots: int = 8,
        threads: int = 16,
        handler: Callable[[TaskRun, bytes], Answer] = echo,
        keeps_runs: bool = True,
        port: int = 0,
        reboot_ms: int | None = REBOOT_MS,
    ) -> None:
        self.host_id = host_id
        self.slots = slots
        self.handler = handler
        self._keeps_runs = keeps_runs
        self.fault_plan = FaultPlan()
        self.state = ServerState.LIVE
        self.maintenance = Maintenance(reboot_ms)
        self.runs: list[TaskRun] = []
        self.is_stopped = False
        self._running: dict[str, TaskRun] = {}
        self._lock = threading.Lock()
        self._web = web.WebServer(
            _Root(self), threads=threads, port=port, max_body_bytes=MAX_TASK_BYTES
        )

    @property
    def port(self) -> int:
        """Returns the TCP port of the server."""
        return self._web.port

    def start(self) -> None:
        """Starts the server."""
        self._web.start()

    def stop(self) -> None:
        """Stops the server and its running tasks at once."""
        self.is_stopped = True
        self.fault_plan.clear_faults()
        with self._lock:
            for run in self._running.values():
                run.stop.set()
        self._web.stop()

    def start_leaving(self) -> None:
        """Refuses new tasks from now on; running tasks are finished."""
        self.state = ServerState.LEAVING

    def try_start(self, run: TaskRun) -> str | None:
        """Acquires a slot for a task, or returns why the task was not started."""
        with self._lock:
            self._stop_expired()
            if self.state is ServerState.LEAVING:
                return wire.REFUSED_LEAVING
            if self.maintenance.is_down or self.maintenance.draining is not None:
                return wire.REFUSED_DRAINING
            if len(self._running) >= self.slots:
                return wire.REFUSED_BUSY
            self._running[run.attempt_id] = run
            if self._keeps_runs:
                self.runs.append(run)
            return None

    def finish(self, run: TaskRun) -> None:
        """Records the end of a task and releases its slot."""
        with self._lock:
            run.ended_s = time.monotonic()
            self._running.pop(run.attempt_id, None)
        run.ended.set()

    def renew(self, attempt_ids: list[str], ttl_ms: int) -> list[str]:
        """Renews the leases of running tasks and returns their attempt ids."""
        until = time.monotonic() + ttl_ms / MS_PER_S
        with self._lock:
            self._stop_expired()
            running = [
                attempt_id for attempt_id in attempt_ids if attempt_id in self._running
            ]
            for attempt_id in running:
                self._running[attempt_id].lease_until_s = until
            return running

    def control(self, attempt_id: str, verb: str) -> wire.TaskState:
        """Cancels, checkpoints, throttles or stops a task."""
        run = self._find_run(attempt_id)
        if run is None:
            return wire.TaskState.UNKNOWN
        run.checkpointed |= verb == wire.CHECKPOINT
        run.throttled |= verb == wire.THROTTLE
        if verb != wire.THROTTLE:
            run.stop.set()
            run.ended.wait(CONTROL_WAIT_S)
        has_ended = run.ended.is_set()
        return wire.TaskState.ENDED if has_ended else wire.TaskState.RUNNING

    def _find_run(self, attempt_id: str) -> TaskRun | None:
        with self._lock:
            return next((r for r in self.runs if r.attempt_id == attempt_id), None)

    def health(self) -> wire.Health:
        """Returns the state, free slots, running attempts and operations."""
        with self._lock:
            return self._health()

    def is_down(self) -> bool:
        """Returns whether the server reboots; it runs no task and reports no health."""
        with self._lock:
            return self.maintenance.is_down

    def execute_order(
        self, verb: str, order: wire.HostOrder
    ) -> tuple[bool, wire.Health]:
        """Carries out an order; returns whether it was accepted, and the new health."""
        with self._lock:
            is_empty = not self._running
            is_accepted = self.maintenance.execute_order(verb, order, is_empty=is_empty)
            return is_accepted, self._health()

    def _accepts_tasks(self) -> bool:
        is_live = self.state is ServerState.LIVE
        return is_live and self.maintenance.draining is None

    def _health(self) -> wire.Health:
        self._stop_expired()
        maintenance = self.maintenance
        state = ServerState.LIVE if self._accepts_tasks() else ServerState.LEAVING
        return wire.Health(
            state=state.value,
            free_slots=self.slots - len(self._running),
            running=tuple(sorted(self._running)),
            draining=maintenance.draining,
            ended=tuple(maintenance.ended),
            rebooted=tuple(maintenance.rebooted),
        )

    def free_slots(self) -> int:
        """Returns the number of free slots."""
        return self.slots - len(self._running)

    def _stop_expired(self) -> None:
        now = time.monotonic()
        for run in self._running.values():
            if run.lease_until_s < now:
                run.stop.set()


class _Root:
    """Root of the HTTP interface of the stand-in."""

    def __init__(self, server: BackendStandIn) -> None:
        self.v1 = _Api(server)


class _Api:
    def __init__(self, server: BackendStandIn) -> None:
        self._server = server

    @web.exposed
    def health(self) -> bytes:
        """Returns the health of the server."""
        if self._server.fault_plan.next_faults().cut or self._server.is_down():
            web.break_connection()
            return b""
        return web.json_body(self._server.health())

    @web.exposed
    def host(self, verb: str = "") -> bytes:
        """Drains, reboots or returns the whole backend server to service."""
        web.require(verb in MAINTENANCE_VERBS, 404, "use drain, reboot or return")
        if self._server.fault_plan.next_faults().cut or self._server.is_down():
            web.break_connection()
            return b""
        body = web.read_body(MAX_TASK_BYTES)
        order = msgspec.json.decode(body, type=wire.HostOrder)
        is_accepted, health = self._server.execute_order(verb, order)
        return web.json_body(health, status=200 if is_accepted else 409)

    @web.exposed
    def leases(self) -> bytes:
        """Renews a batch of task leases."""
        if self._server.fault_plan.next_faults().cut:
            web.break_connection()
        body = msgspec.json.decode(
            web.read_body(MAX_TASK_BYTES), type=wire.LeaseRenewal
        )
        running = self._server.renew(list(body.attempts), body.ttl_ms)
        ended_ids = [
            attempt_id for attempt_id in body.attempts if attempt_id not in running
        ]
        return web.json_body({"running": running, "ended": ended_ids})

    @web.exposed
    def tasks(self, attempt_id: str = "", verb: str = "") -> bytes:
        """Runs a task, or controls a running one."""
        if attempt_id:
            return web.json_body({"state": self._server.control(attempt_id, verb)})
        return self._run()

    def _run(self) -> bytes:
        server = self._server
        faults = server.fault_plan.next_faults()
        if faults.cut:
            web.break_connection()
            return b""
        run = _new_run()
        body = web.read_body(MAX_TASK_BYTES)
        refusal = server.try_start(run)
        if refusal is not None:
            return _refusal_reply(refusal)
        try:
            answer = Answer(500) if faults.fail else server.handler(run, body)
        finally:
            server.finish(run)
        if faults.lose_reply:
            web.break_connection()
        return _answer_reply(server, run, answer)


def _new_run() -> TaskRun:
    headers = cherrypy.request.headers
    now = time.monotonic()
    return TaskRun(
        attempt_id=headers[wire.ATTEMPT_ID],
        request_id=headers[wire.REQUEST_ID],
        team=headers.get(wire.TEAM, ""),
        queue=headers.get(wire.QUEUE, ""),
        started_s=now,
        lease_until_s=now + int(headers[wire.LEASE_MS]) / MS_PER_S,
    )


def _refusal_reply(reason: str) -> bytes:
    cherrypy.response.headers[wire.NOT_STARTED] = reason
    return web.json_body({"reason": reason}, status=503)


def _answer_reply(server: BackendStandIn, run: TaskRun, answer: Answer) -> bytes:
    headers = cherrypy.response.headers
    cherrypy.response.status = answer.status
    headers["Content-Type"] = answer.content_type
    headers["Content-Length"] = str(len(answer.body))
    headers[wire.ATTEMPT_ID] = run.attempt_id
    if run.checkpointed:
        headers[wire.CHECKPOINTED] = "yes"
    headers[wire.FREE_SLOTS] = str(server.free_slots())
    return answer.body
