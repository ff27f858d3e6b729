"""Settings of serving, in which leases and grants have to fit together."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from ..limits.timing import EscrowTiming
from ..requests.settings import DispatcherSettings
from ..shares.settings import ShareSettings
from ..workers.settings import LeaseSettings, WorkerSettings

RENEWALS_PER_LEASE = 3


@dataclass(frozen=True, slots=True)
class ServingSettings:
    """Settings of all parts that serve requests.

    Attributes:
        hold_back_ms: Time after which a pool with available slots is checked again
            if waiting teams were held back.
    """

    desk: DispatcherSettings = field(default_factory=DispatcherSettings)
    workers: WorkerSettings = field(default_factory=WorkerSettings)
    leases: LeaseSettings = field(default_factory=LeaseSettings)
    escrow: EscrowTiming = field(default_factory=EscrowTiming)
    shares: ShareSettings = field(default_factory=ShareSettings)
    hold_back_ms: int = 20

    def with_task_lease(self, ttl_ms: int) -> ServingSettings:
        """Returns settings whose grants outlast the tasks under such leases.

        The host may take ``margin_ms`` to stop a task whose lease has expired.
        """
        leases = replace(
            self.leases, ttl_ms=ttl_ms, renew_every_ms=ttl_ms // RENEWALS_PER_LEASE
        )
        escrow = replace(
            self.escrow,
            task_lease_ms=ttl_ms + leases.margin_ms,
            call_ms=leases.call_ms,
        )
        return replace(self, leases=leases, escrow=escrow)
