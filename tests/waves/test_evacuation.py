"""Waves and moves of a pool while an availability zone is evacuated."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import builders
from amaranthtray.domain.budgets import (
    count_unavailable,
    drains_to_cancel,
)
from amaranthtray.domain.configuration import Budget, EvacuateZone, PlaceHosts, PutPool
from amaranthtray.domain.errors import Problem
from amaranthtray.domain.ids import (
    EntryId,
    HostId,
    Millis,
    OperationId,
    PoolName,
    Revision,
    Term,
    ZoneId,
)
from amaranthtray.domain.waves import (
    CommitMoves,
    EndUnknown,
    Fence,
    wave_progress,
)
from amaranthtray.entry.conducting.moves import commit_moves
from amaranthtray.store.config_log import ConfigLog
from amaranthtray.store.memory import MemoryPlatform
from amaranthtray.store.read_back import ReadBackStore
from conducting import HOSTS, NAMES, PATCH, WEB, Driver, config, view_of

if TYPE_CHECKING:
    from amaranthtray.domain.configuration import Configuration

DB = PoolName("db")
ZONE_OF = {host.host_id: host.zone for host in HOSTS}


def evacuate(cfg: Configuration, *zones: str) -> Configuration:
    evacuations = {ZoneId(zone): Revision(cfg.revision + 1) for zone in zones}
    return replace(cfg, evacuations=evacuations)


def with_max_out(cfg: Configuration, max_out: int) -> Configuration:
    pool = builders.pool("web", max_out=max_out, max_out_per_zone=9)
    return replace(cfg, pools={**cfg.pools, WEB: pool})


def drained_zones(driver: Driver) -> list[str]:
    return sorted(
        ZONE_OF[HostId(host)]
        for host, stage in driver.stages().items()
        if stage == "draining"
    )


def test_drains_outside_an_evacuated_zone_are_cancelled_and_start_after_it() -> None:
    """Guards against a wave that takes capacity which replaces the lost zone."""
    driver = Driver(config())
    draining = driver.stages()
    zone = next(z for z in ("z0", "z1", "z2") if z not in drained_zones(driver))
    driver.change(evacuate(driver.cfg, zone))
    assert driver.stages() == dict.fromkeys(draining, "returning")
    for host in draining:
        driver.report_returned(HostId(host))
    assert drained_zones(driver) == [zone, zone]
    for host in driver.stages():
        driver.report_drained(HostId(host))
        driver.report_rebooted(HostId(host))
    assert driver.stages() == {}
    driver.change(evacuate(driver.cfg))
    assert len(drained_zones(driver)) == 2


def test_a_wave_goes_on_in_the_zone_as_its_hosts_need_no_further_budget() -> None:
    driver = Driver(evacuate(config(), "z1"))
    assert drained_zones(driver) == ["z1", "z1"]


def test_no_drain_starts_while_the_evacuation_exceeds_the_budget() -> None:
    driver = Driver(with_max_out(evacuate(config(), "z1"), 1))
    assert driver.stages() == {}
    assert driver.ledger is not None
    progress = wave_progress(driver.ledger, view_of(driver.cfg), PATCH, wall_ms=0)
    assert progress.end_unknown is EndUnknown.EVACUATION


def test_a_new_holder_of_the_duty_counts_the_evacuated_hosts_too() -> None:
    """Guards against a count that is lost with the holder of the duty."""
    first = Driver(with_max_out(evacuate(config(), "z1"), 1))
    assert Driver(first.cfg, term=2, ledger=first.ledger).stages() == {}


def test_a_host_of_the_zone_that_is_out_already_counts_once() -> None:
    ledger = Driver(evacuate(config(), "z1")).ledger
    assert ledger is not None
    assert count_unavailable(ledger, view_of(evacuate(config(), "z1")).evacuated) == 2


def test_drains_in_the_zone_are_not_cancelled_for_the_total() -> None:
    """Guards against a host that is emptied twice, for the wave and after it."""
    ledger = Driver(evacuate(config(), "z1")).ledger
    assert ledger is not None
    evacuated = frozenset(ledger.out)
    budget = Budget(1, 9, 9)
    assert len(drains_to_cancel(ledger, budget, 6)) == 1
    assert drains_to_cancel(ledger, budget, 6, evacuated=evacuated) == ()
    per_zone = Budget(9, 1, 9)
    assert len(drains_to_cancel(ledger, per_zone, 6, evacuated=evacuated)) == 1


def moving_config() -> Configuration:
    """Returns a configuration by which host 1, of zone z1, has to move to ``db``."""
    return replace(config(), waves={}, host_labels={NAMES[1]: {"pool": "db"}})


def test_a_host_of_the_zone_is_not_moved_to_another_pool() -> None:
    driver = Driver(evacuate(moving_config(), "z1"))
    assert driver.stages() == {}
    driver.change(evacuate(driver.cfg))
    assert driver.stages() == {NAMES[1]: "draining"}
    driver.change(evacuate(driver.cfg, "z1"))
    assert driver.stages() == {NAMES[1]: "returning"}


def test_a_move_planned_before_the_evacuation_is_not_committed_after_it() -> None:
    """Guards against a conductor that acts on the revision before the evacuation."""
    store = ReadBackStore(MemoryPlatform(lambda: 0).client("e1"))
    log = ConfigLog(store, entry=EntryId("e1"), rules=builders.rules())
    before = log.load().unwrap().cfg
    for number, change in enumerate(
        (
            PutPool(builders.pool("web")),
            PutPool(builders.pool("db")),
            PlaceHosts(dict.fromkeys(NAMES[:3], WEB)),
            EvacuateZone(ZoneId("z1")),
        )
    ):
        op_id = OperationId(f"op{number}")
        log.commit(before, [change], op_id=op_id, operator="ana").unwrap()

    def move(host: HostId, target: PoolName) -> object:
        fence = Fence(WEB, Term(1), OperationId(f"{host}-{target}"), Millis(9))
        effect = CommitMoves(WEB, {host: target}, fence)
        return commit_moves(log, before, effect, hosts=HOSTS, peer="e1")

    refused = move(NAMES[1], DB)
    assert isinstance(refused.failure(), Problem)  # type: ignore[attr-defined]
    assert move(NAMES[2], DB).unwrap()  # type: ignore[attr-defined]
    assert move(NAMES[1], PoolName("spare")).unwrap()  # type: ignore[attr-defined]
