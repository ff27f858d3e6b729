"""Wire format of the jobs that callers submit."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec
from msgspec import Meta

from ..domain.ids import RackId
from ..domain.jobs.model import Recurrence, Resources, StepSpec
from ..jobs.job_size import job_size_problem

if TYPE_CHECKING:
    from ..settings.job_entry import ClientsSection

MAX_PAYLOAD_BYTES = 4_000
MAX_TASKS = 10_000

Amount = Annotated[int, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1, le=MAX_TASKS)]


class _Step(msgspec.Struct, rename="camel"):
    count: Count = 1
    cpu: Amount = 0
    requested_memory_mb: Amount = 0
    gpu: Amount = 0
    estimated_ms: Amount = 0
    after: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    # One label that the host must have, despite the plural.
    requirements: str = ""
    # Rack that holds the data.
    affinity: str = ""
    # Most tasks of the step that may run on one host.
    anti_affinity: Amount = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: Amount = 0
    fills: bool = False
    may_miss: Amount = 0

    def spec(self) -> StepSpec:
        return StepSpec(
            count=self.count,
            need=Resources(self.cpu, self.requested_memory_mb, self.gpu),
            estimated_ms=self.estimated_ms,
            after=tuple(self.after),
            is_checkpointing=self.checkpointing,
            is_gang=self.gang,
            is_same_rack=self.same_rack,
            required_label=self.requirements,
            data_rack=RackId(self.affinity),
            max_per_host=self.anti_affinity,
            allows_copies=self.speculative,
            is_lasting=self.long_running,
            image=self.image,
            target_ms=self.target_ms,
            fills=self.fills,
            may_miss=self.may_miss,
        )


class _Job(msgspec.Struct, rename="camel"):
    spec: str
    steps: Annotated[list[_Step], Meta(min_length=1)]
    repeat_count: Amount = 0
    start_at_ms: Amount = 0
    interval_ms: Amount = 0


class JobBody(msgspec.Struct, frozen=True):
    """A submitted job, decoded and validated."""

    payload: str
    steps: tuple[StepSpec, ...]
    recurrence: Recurrence | None


def decode_job(data: bytes, limits: ClientsSection) -> JobBody:
    """Returns the job in a request body.

    Raises:
        msgspec.MsgspecError: The body is not a job, or a larger one than ``limits``
            allow; the message names the fault and its place.
    """
    try:
        job = msgspec.json.decode(data, type=_Job)
    except RecursionError as exc:
        raise msgspec.ValidationError("the document is nested too deeply") from exc
    if len(job.spec.encode()) > MAX_PAYLOAD_BYTES:
        message = f"spec is longer than {MAX_PAYLOAD_BYTES} bytes - at `$.spec`"
        raise msgspec.ValidationError(message)
    for number, step in enumerate(job.steps):
        if any(not 0 <= before < number for before in step.after):
            message = f"after names no earlier step - at `$.steps[{number}].after`"
            raise msgspec.ValidationError(message)
    recurrence = None
    if job.repeat_count:
        recurrence = Recurrence(job.repeat_count, job.start_at_ms, job.interval_ms)
    steps = tuple(step.spec() for step in job.steps)
    if (problem := job_size_problem(steps, recurrence, limits)) is not None:
        raise msgspec.ValidationError(problem)
    return JobBody(job.spec, steps, recurrence)
