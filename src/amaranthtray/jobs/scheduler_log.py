"""Logs and counts what the scheduler of a pool reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..domain.scheduling.absence import LastingRunEnded, LastingRunStopped
from ..domain.scheduling.evacuation import (
    EvacuationHosts,
    EvacuationProgress,
    RunsMoved,
    StartWithheld,
)
from ..domain.scheduling.gang_hosts import HostsKept, HostsReleased
from ..domain.scheduling.losses import (
    CrashWithdrawn,
    LateEnd,
    LateStartAwaited,
    RunOnOtherIncarnation,
    RunsLost,
    TaskGivenUp,
)
from ..domain.scheduling.messages import RecordUnreadable
from ..domain.scheduling.rack_waits import RackStarts, RackWait
from ..domain.scheduling.reservations import ReservationDropped, Reserved
from ..domain.scheduling.run_time_events import RunTimeReport
from ..domain.scheduling.share_portions import SharePortionChanged
from ..domain.scheduling.team_service import WorstTeams
from . import clock
from .evacuation_reporter import EvacuationReporter
from .gang_hosts_log import record_gang_hosts
from .lasting_run_log import record_lasting_run
from .loss_log import LossLog
from .rack_log import record_rack_report
from .reservation_log import record_reservation
from .run_time_log import RunTimeLog
from .share_log import ShareLog

if TYPE_CHECKING:
    from ..domain.scheduling.messages import Effect
    from .conductor_log import ConductorLog


class SchedulerLog:
    """Logs and counts reports, each kind with the log that knows it.

    Args:
        log: Log and counters of the pool's conductor.

    Attributes:
        evacuation: Reports on evacuated zones.
        shares: Reports on the teams' shares.
    """

    def __init__(self, log: ConductorLog) -> None:
        self._log = log
        self._losses = LossLog(log)
        self._run_times = RunTimeLog(log)
        self.evacuation = EvacuationReporter(log)
        self.shares = ShareLog(log)

    def record(self, report: Effect) -> None:
        """Logs and counts what the scheduler reports."""
        match report:
            case (
                RunsLost()
                | TaskGivenUp()
                | CrashWithdrawn()
                | LateEnd()
                | RunOnOtherIncarnation()
                | LateStartAwaited()
            ):
                self._losses.record(report)
            case LastingRunStopped() | LastingRunEnded():
                record_lasting_run(self._log, report)
            case (
                EvacuationHosts() | EvacuationProgress() | RunsMoved() | StartWithheld()
            ):
                self.evacuation.record(report)
            case RecordUnreadable(job, why):
                self._log.log.event("job-unreadable", job=job, why=why)
            case RunTimeReport():
                self._run_times.record(report, clock.steady_ms())
            case Reserved() | ReservationDropped():
                record_reservation(self._log, report)
            case HostsKept() | HostsReleased():
                record_gang_hosts(self._log, report)
            case SharePortionChanged() | WorstTeams():
                self.shares.record(report, clock.steady_ms())
            case RackWait() | RackStarts():
                record_rack_report(self._log, report)
