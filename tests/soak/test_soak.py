"""Short soaks of CI: the first regressions, and some seeds of random faults."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from soak.faults import (
    ConnectionsSilent,
    Fault,
    ForeignEntries,
    HostsLeave,
    StartsUnanswered,
)
from soak.site import Site, SoakSettings, random_faults

if TYPE_CHECKING:
    from pathlib import Path

SEEDS = (1, 2)


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_beside_random_faults(seed: int, tmp_path: Path) -> None:
    settings = SoakSettings(seed=seed)
    with Site(settings, tmp_path) as site:
        assert site.play(random_faults(settings)) == []
        assert site.observer.starts > 0


def test_hosts_that_leave_get_no_starts_that_waited(tmp_path: Path) -> None:
    """Guards against starts behind unanswered ones, and under an outdated list."""
    faults: list[tuple[float, Fault]] = [
        (0.5, ForeignEntries()),
        (1.0, StartsUnanswered(4, 0.5, 0.0, 9.0)),
        (2.0, HostsLeave(2, 6.0)),
        (5.0, ConnectionsSilent()),
        (5.5, HostsLeave(2, 6.0)),
    ]
    with Site(SoakSettings(seed=3, jobs_per_s=18.0), tmp_path) as site:
        assert site.play(faults) == []
        assert any(entry.events("host-leaving") for entry in site.entries)
