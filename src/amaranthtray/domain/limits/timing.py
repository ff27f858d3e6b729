"""Durations that bound how long a unit stays in use after its holder goes silent."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EscrowTiming:
    """Durations of the limit escrow, each measured on one process's own clock.

    Attributes:
        report_ms: Maximum time between two reports of an entry.
        urgent_report_ms: Time between reports while requests wait for units.
        entry_ttl_ms: Validity of an entry's grant, from when the entry sent the
            report that the grant answers.
        run_on_ms: How long tasks may keep running after their entry's grant expired,
            before the entry stops renewing their worker leases.
        zone_ttl_ms: Validity of a zone's leased units, from when the steward sent
            the renewal that the store accepted.
        zone_run_on_ms: How long tasks may keep running after the zone's leased
            units expired, before the steward caps what its entries run.
        task_lease_ms: Worker lease of a task, granted by a start or renewal.
        call_ms: Maximum duration of one start or renewal call.
        stop_ms: Time that a host may take to stop a task whose lease has expired.
        renew_ms: Time between two renewals of a zone's record.
        retry_ms: Time after which a store call is repeated.
        rotate_ms: How long the same holder receives the units of a contended limit
            that do not divide evenly.
        overdue_ms: How long zones have to shrink to a lowered limit before the
            other zones shrink further to compensate for those that did not.
        margin_ms: Added to each wait for another process's deadline.
        drift: Maximum relative error of a clock's rate.
    """

    report_ms: int = 1_000
    urgent_report_ms: int = 250
    entry_ttl_ms: int = 8_000
    run_on_ms: int = 10_000
    zone_ttl_ms: int = 300_000
    zone_run_on_ms: int = 60_000
    task_lease_ms: int = 15_000
    call_ms: int = 2_000
    stop_ms: int = 1_000
    renew_ms: int = 15_000
    retry_ms: int = 1_000
    rotate_ms: int = 2_000
    overdue_ms: int = 1_500
    margin_ms: int = 200
    drift: float = 0.001

    @property
    def max_run_after_check_ms(self) -> int:
        """Returns how long a task can run after the last check that allowed it.

        The process may be paused between that check and its renewal call. The
        call still takes effect if it arrives just before the current lease
        expires, so two full leases count.
        """
        return 2 * self.task_lease_ms + self.call_ms + self.stop_ms

    def with_clock_margin(self, duration_ms: int) -> int:
        """Returns a local wait that is at least ``duration_ms`` on any other clock.

        Both clocks may drift, and ``margin_ms`` is added.
        """
        stretched = duration_ms * (1 + self.drift) / (1 - self.drift)
        return math.ceil(stretched) + self.margin_ms

    @property
    def entry_reclaim_ms(self) -> int:
        """Returns the wait after which the units of a silent entry are free.

        By then its grant has expired, it has stopped renewing the leases of its
        tasks, and those leases have expired.
        """
        own = self.entry_ttl_ms + self.run_on_ms + self.max_run_after_check_ms
        return self.with_clock_margin(own)

    @property
    def predecessor_expiry_ms(self) -> int:
        """Returns the wait after which a former steward's last grants have expired.

        It may keep granting for one ``entry_ttl_ms`` after its entries began to
        follow another steward.
        """
        own = 2 * self.entry_ttl_ms + self.run_on_ms + self.max_run_after_check_ms
        return self.with_clock_margin(own)

    @property
    def zone_reclaim_ms(self) -> int:
        """Returns the wait after which a silent zone's leased units are free.

        Its steward stops granting them and later caps the tasks of its entries; an
        entry that does not receive the cap stops when its own grant expires.
        """
        steward = self.zone_ttl_ms + self.zone_run_on_ms
        entry = self.entry_ttl_ms + self.run_on_ms + self.max_run_after_check_ms
        return self.with_clock_margin(steward + entry)
