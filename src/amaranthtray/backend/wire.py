"""HTTP interface of backend servers, shared by the client and the stand-in.

``POST /v1/tasks`` runs a task and answers with its result. A 503 with
``Not-Started`` guarantees that the task was not started: the server is busy,
leaving permanently, or draining for maintenance and soon available again.
``POST /v1/leases`` renews the task leases of one caller in a batch.
``POST /v1/tasks/ATTEMPT/VERB`` controls a running task; it replies when the task
has stopped, or after at most one second.
A task that was checkpointed answers with ``Checkpointed``.
``POST /v1/host/VERB`` drains, reboots or returns the whole server; the body is a
``HostOrder``, the reply is the ``Health`` after it, with status 409 if the order's
term is lower than one already received from the pool. A server keeps the terms and the
ended operations across its reboots, and executes each operation once.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

TASKS_PATH = "/v1/tasks"
LEASES_PATH = "/v1/leases"
HEALTH_PATH = "/v1/health"
HOST_PATH = "/v1/host"

ATTEMPT_ID = "Attempt-Id"
REQUEST_ID = "Request-Id"
TEAM = "Team"
QUEUE = "Queue"
WORK_CLASS = "Work-Class"
LEASE_MS = "Lease-Ms"
DEADLINE_MS = "Deadline-Ms"
FREE_SLOTS = "Free-Slots"
NOT_STARTED = "Not-Started"
RESUMES = "Resumes"
CHECKPOINTED = "Checkpointed"

REFUSED_BUSY = "busy"
REFUSED_LEAVING = "leaving"
REFUSED_DRAINING = "draining"

CANCEL = "cancel"
CHECKPOINT = "checkpoint"
THROTTLE = "throttle"
STOP = "stop"

DRAIN = "drain"
REBOOT = "reboot"
RETURN = "return"


class TaskState(StrEnum):
    """State of a task as its backend server reports it."""

    RUNNING = "running"
    ENDED = "ended"
    UNKNOWN = "unknown"


def control_path(attempt_id: str, verb: str) -> str:
    """Returns the path that controls one task."""
    return f"{TASKS_PATH}/{attempt_id}/{verb}"


class TaskReport(msgspec.Struct, frozen=True):
    """Reply to a control call."""

    state: TaskState


class LeaseRenewal(msgspec.Struct, frozen=True):
    """Body of a renewal of task leases."""

    attempts: tuple[str, ...]
    ttl_ms: int


class LeaseReport(msgspec.Struct, frozen=True):
    """Reply to a renewal: which attempts are running and which have ended."""

    running: tuple[str, ...]
    ended: tuple[str, ...]


class HostOrder(msgspec.Struct, frozen=True):
    """Body of an order to the whole server.

    Attributes:
        op_id: Drain operation that the order belongs to.
        pool: Pool whose conductor sends it.
        term: Fencing term of that conductor.
    """

    op_id: str
    pool: str
    term: int


class Health(msgspec.Struct, frozen=True):
    """State of a backend server.

    Attributes:
        state: ``live``, or ``leaving`` while it refuses new work.
        free_slots: Number of tasks that it can start now.
        running: Attempts whose tasks are running.
        draining: Drain operation in progress, if there is one.
        ended: The latest drain operations that have ended.
        rebooted: The latest operations that rebooted the server.
    """

    state: str
    free_slots: int
    running: tuple[str, ...]
    draining: str | None = None
    ended: tuple[str, ...] = ()
    rebooted: tuple[str, ...] = ()


def host_path(verb: str) -> str:
    """Returns the path of an order to the whole server."""
    return f"{HOST_PATH}/{verb}"
