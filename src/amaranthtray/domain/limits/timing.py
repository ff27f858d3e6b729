"""Durations that bound how long a unit can be in use after its holder went silent."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EscrowTiming:
    """Durations of the limit escrow, each counted on one process's own clock.

    Attributes:
        report_ms: Longest time between two reports of an entry.
        urgent_report_ms: Time between reports while work waits for units.
        entry_ttl_ms: Validity of an entry's grant, from when the entry sent the
            report that the grant answers.
        run_on_ms: How long tasks may go on without cover before their entry stops
            renewing their worker leases.
        zone_ttl_ms: Validity of a zone's lent units, from when the steward sent
            the renewal that the store accepted.
        zone_run_on_ms: How long tasks on lent units that are no longer valid may
            go on before the steward caps what its entries run.
        task_lease_ms: Worker lease of a task, granted by a start or renewal.
        call_ms: Longest time of one start or renewal call.
        stop_ms: Time that a host may take to stop a task whose lease has lapsed.
        renew_ms: Time between two renewals of a zone's record.
        retry_ms: Time after which a store call is repeated.
        rotate_ms: How long one holder keeps the odd units of a contended limit.
        overdue_ms: How long zones get to shrink to a lowered limit before the
            others make up for those that do not.
        margin_ms: Added to each wait for another process's deadline.
        drift: Most relative error of a clock's rate.
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
    def last_run_ms(self) -> int:
        """Returns how long a task can run after the last look that allowed it.

        The process may be paused between the look and the call: the call still
        takes effect if it arrives just before the lease from the call before ends.
        """
        return 2 * self.task_lease_ms + self.call_ms + self.stop_ms

    def outlast(self, duration_ms: int) -> int:
        """Returns a wait here that surely covers ``duration_ms`` on another clock."""
        stretched = duration_ms * (1 + self.drift) / (1 - self.drift)
        return math.ceil(stretched) + self.margin_ms

    @property
    def entry_reclaim_ms(self) -> int:
        """Returns the wait after which a silent entry's units are free.

        Its grant lapses, it stops renewing the leases of its tasks, they lapse.
        """
        own = self.entry_ttl_ms + self.run_on_ms + self.last_run_ms
        return self.outlast(own)

    @property
    def predecessor_ms(self) -> int:
        """Returns the wait after which a steward's last grants have run out.

        It may go on for one ``entry_ttl_ms`` after its entries began to leave it.
        """
        own = 2 * self.entry_ttl_ms + self.run_on_ms + self.last_run_ms
        return self.outlast(own)

    @property
    def zone_reclaim_ms(self) -> int:
        """Returns the wait after which a silent zone's lent units are free.

        The steward stops granting them and later caps its entries' tasks; an entry
        that does not hear of it lapses by itself.
        """
        steward = self.zone_ttl_ms + self.zone_run_on_ms
        entry = self.entry_ttl_ms + self.run_on_ms + self.last_run_ms
        return self.outlast(steward + entry)
