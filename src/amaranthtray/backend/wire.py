"""HTTP interface of backend servers, as both the client and the stand-in use it.

``POST /v1/tasks`` runs a task and answers with its result. A 503 with
``Not-Started`` is the server's own word that the task was not started: it is busy,
leaving for good, or draining for maintenance and back before long.
``POST /v1/leases`` renews the task leases of one caller in a batch.
``POST /v1/tasks/ATTEMPT/VERB`` controls a running task; its reply comes when the
task has stopped, or after a second at most.
A task that was checkpointed answers with ``Checkpointed``.
``POST /v1/host/VERB`` drains, reboots or returns the whole server; the body is a
``HostOrder``, the reply is the ``Health`` after it, with status 409 if the order's
term is lower than one seen from the pool. A server keeps the terms and the operations
that ended over its reboots, and does each operation once.
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
    """State of a task as its backend server knows it."""

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
    """Body of a lease renewal."""

    attempts: tuple[str, ...]
    ttl_ms: int


class LeaseReport(msgspec.Struct, frozen=True):
    """Reply to a lease renewal: which attempts run and which run no longer."""

    running: tuple[str, ...]
    ended: tuple[str, ...]


class HostOrder(msgspec.Struct, frozen=True):
    """Body of an order to the whole server.

    Attributes:
        op_id: Operation of the drain that the order belongs to.
        pool: Pool whose conductor gives it.
        term: Fencing term of that conductor.
    """

    op_id: str
    pool: str
    term: int


class Health(msgspec.Struct, frozen=True):
    """State of a backend server.

    Attributes:
        state: ``live``, or ``leaving`` while it refuses new work.
        draining: Operation of the drain in force, if there is one.
        ended: The latest drain operations that are over.
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
