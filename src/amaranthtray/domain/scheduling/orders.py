"""Orders to hosts, about one run each."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..ids import HostId
from ..jobs.model import TaskName


@dataclass(frozen=True, slots=True)
class StartRun:
    """Orders a host to start a run.

    Attributes:
        host: Host that is to start the run.
        host_born: Start time of the host's incarnation; no other incarnation may
            receive the order.
        name: Task to run.
        number: Run number.
        payload: Payload that the caller submitted for the job's tasks.
        checkpoint: Checkpoint to resume from; empty to start from the beginning.
        ticket: Proof that a placement policy allows the host; empty where no policy
            applies.
        prior_crashes: Hosts that crashed under earlier runs of the task, for the log.
    """

    host: HostId
    host_born: int
    name: TaskName
    number: int
    payload: str
    checkpoint: str
    ticket: str = ""
    prior_crashes: int = 0


@dataclass(frozen=True, slots=True)
class StopRun:
    """Orders a host to stop a run; repeated until the host replies.

    A voluntary one gets one try: it depends on the other tasks of the step, so that it
    has to be decided again.
    """

    host: HostId
    name: TaskName
    number: int
    is_voluntary: bool = False


@dataclass(frozen=True, slots=True)
class PaceRun:
    """Orders a host to limit a run to ``percent`` of its full speed."""

    host: HostId
    name: TaskName
    number: int
    percent: int


HostOrder: TypeAlias = StartRun | StopRun | PaceRun
