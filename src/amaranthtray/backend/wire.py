"""HTTP interface of backend servers, as both the client and the stand-in use it.

``POST /v1/tasks`` runs a task and answers with its result. A 503 with
``Not-Started`` is the server's own word that the task was not started.
``POST /v1/leases`` renews the task leases of one caller in a batch.
``POST /v1/tasks/ATTEMPT/VERB`` controls a running task; its reply comes when the
task has stopped, or after a second at most.
A task that was checkpointed answers with ``Checkpointed``.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

TASKS_PATH = "/v1/tasks"
LEASES_PATH = "/v1/leases"
HEALTH_PATH = "/v1/health"

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

CANCEL = "cancel"
CHECKPOINT = "checkpoint"
THROTTLE = "throttle"
STOP = "stop"


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


class Health(msgspec.Struct, frozen=True):
    """State of a backend server."""

    state: str
    free_slots: int
    running: tuple[str, ...]
