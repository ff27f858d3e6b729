"""Keys of the store that hold jobs and what is known of pools.

What a conductor watches lies under its pool's inbox; what it writes lies elsewhere,
so that its own writes do not wake it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..domain.ids import PoolName
from ..domain.jobs.model import JobId

if TYPE_CHECKING:
    from ..domain.ids import WaveName

SPEC, CANCEL = "spec", "cancel"
REPORTS_PREFIX = "reports/"
WAVE_PROGRESS_PREFIX = "maintenance/"
FLEET_LEDGER_KEY = "fleet/ledger"
"""Key that each write of the fleet's holder goes through."""

ASSIGNED_COUNTS_KEY = "fleet/homes"
"""How many machines each pool had at first."""


def inbox_prefix(pool: PoolName) -> str:
    """Returns the prefix of what a pool's conductor is asked for."""
    return f"inbox/{pool}/"


def job_parts_prefix(pool: PoolName, job: JobId) -> str:
    """Returns the prefix of what callers have said of a job."""
    return f"inbox/{pool}/jobs/{job}/"


def job_key(pool: PoolName, job: JobId, part: str) -> str:
    """Returns the key of a part of what callers have said of a job."""
    return f"inbox/{pool}/jobs/{job}/{part}"


def split_job_key(key: str) -> tuple[JobId, str] | None:
    """Returns job and part of a key, if it is one of a job."""
    parts = key.split("/")
    return (JobId(parts[3]), parts[4]) if len(parts) == 5 else None


def vacate_key(pool: PoolName) -> str:
    """Returns the key of the hosts that a pool's conductor is to empty."""
    return f"inbox/{pool}/vacate"


def records_prefix(pool: PoolName) -> str:
    """Returns the prefix of the progress records of a pool's jobs."""
    return f"records/{pool}/"


def record_key(pool: PoolName, job: JobId) -> str:
    """Returns the key of a job's progress record."""
    return f"records/{pool}/{job}"


def ledger_key(pool: PoolName) -> str:
    """Returns the key that each write of a pool's conductor goes through."""
    return f"ledgers/{pool}"


def report_key(pool: PoolName) -> str:
    """Returns the key of what a pool's conductor says of the pool."""
    return f"{REPORTS_PREFIX}{pool}"


def pool_of_report(key: str) -> PoolName:
    """Returns the pool that a report is about."""
    return PoolName(key.removeprefix(REPORTS_PREFIX))


def wave_progress_key(wave: WaveName) -> str:
    """Returns the key of what was done of a wave."""
    return f"{WAVE_PROGRESS_PREFIX}{wave}"
