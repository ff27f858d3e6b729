"""Keys of the store that hold jobs and what is known of pools."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..domain.jobs.model import JobId

if TYPE_CHECKING:
    from ..domain.ids import PoolName

SPEC, RECORD, CANCEL = "spec", "state", "cancel"


def jobs_prefix(pool: PoolName) -> str:
    """Returns the prefix of all jobs of a pool."""
    return f"jobs/{pool}/"


def job_prefix(pool: PoolName, job: JobId) -> str:
    """Returns the prefix of one job."""
    return f"jobs/{pool}/{job}/"


def job_key(pool: PoolName, job: JobId, part: str) -> str:
    """Returns the key of a part of a job."""
    return f"jobs/{pool}/{job}/{part}"


def split_job_key(key: str) -> tuple[JobId, str] | None:
    """Returns job and part of a key, if it is one of a job."""
    parts = key.split("/")
    return (JobId(parts[2]), parts[3]) if len(parts) == 4 else None


def ledger_key(pool: PoolName) -> str:
    """Returns the key that each write of a pool's conductor goes through."""
    return f"pools/{pool}/ledger"
