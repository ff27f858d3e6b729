"""Keys of the store that hold jobs, progress records and state of pools.

A conductor watches its pool's inbox and writes elsewhere, so that its own writes
don't wake it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..domain.ids import PoolName, TeamName
from ..domain.jobs.model import JobId

if TYPE_CHECKING:
    from ..domain.ids import WaveName

SPEC, CANCEL = "spec", "cancel"
LEDGERS_PREFIX = "ledgers/"
REPORTS_PREFIX = "reports/"
SHARES_PREFIX = "shares/"
WAVE_PROGRESS_PREFIX = "maintenance/"
FLEET_LEDGER_KEY = "fleet/ledger"
"""Key of the ledger that each write of the fleet duty's holder updates."""

ASSIGNED_COUNTS_KEY = "fleet/homes"
"""Key of the number of machines that operators assigned to each pool."""

DEMAND_KEY = "fleet/demand"
"""Key of the recorded peaks of the pools' demand."""


def inbox_prefix(pool: PoolName) -> str:
    """Returns the prefix of the requests to a pool's conductor."""
    return f"inbox/{pool}/"


def job_parts_prefix(pool: PoolName, job: JobId) -> str:
    """Returns the prefix of a job's parts: its specification and cancellation."""
    return f"inbox/{pool}/jobs/{job}/"


def job_key(pool: PoolName, job: JobId, part: str) -> str:
    """Returns the key of a job's part, ``SPEC`` or ``CANCEL``."""
    return f"inbox/{pool}/jobs/{job}/{part}"


def location_key(job: JobId) -> str:
    """Returns the key of the pool that has a job, which guards its id."""
    return f"locations/{job}"


def split_job_key(key: str) -> tuple[JobId, str] | None:
    """Returns the job and the part that a key names; None if it isn't a job's key."""
    parts = key.split("/")
    return (JobId(parts[3]), parts[4]) if len(parts) == 5 else None


def vacate_key(pool: PoolName) -> str:
    """Returns the key of the list of hosts that a pool's conductor has to empty."""
    return f"inbox/{pool}/vacate"


def records_prefix(pool: PoolName) -> str:
    """Returns the prefix of the progress records of a pool's jobs."""
    return f"records/{pool}/"


def record_key(pool: PoolName, job: JobId) -> str:
    """Returns the key of a job's progress record."""
    return f"records/{pool}/{job}"


def ledger_key(pool: PoolName) -> str:
    """Returns the key of the ledger that each write of a pool's conductor updates."""
    return f"{LEDGERS_PREFIX}{pool}"


def pool_of_ledger(key: str) -> PoolName:
    """Returns the pool whose ledger is stored under ``key``."""
    return PoolName(key.removeprefix(LEDGERS_PREFIX))


def report_key(pool: PoolName) -> str:
    """Returns the key of the report of a pool's conductor."""
    return f"{REPORTS_PREFIX}{pool}"


def run_times_key(pool: PoolName) -> str:
    """Returns the key of the run times that a pool's conductor has learned."""
    return f"run-times/{pool}"


def shares_key(team: TeamName) -> str:
    """Returns the key of the rates at which a team submits to each pool."""
    return f"{SHARES_PREFIX}{team}"


def team_of_shares(key: str) -> TeamName:
    """Returns the team whose rates are stored under ``key``."""
    return TeamName(key.removeprefix(SHARES_PREFIX))


def pool_of_report(key: str) -> PoolName:
    """Returns the pool whose report is stored under ``key``."""
    return PoolName(key.removeprefix(REPORTS_PREFIX))


def wave_progress_key(wave: WaveName) -> str:
    """Returns the key of a maintenance wave's progress."""
    return f"{WAVE_PROGRESS_PREFIX}{wave}"
