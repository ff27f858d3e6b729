"""Builders of test data; every argument has a default."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from amaranthtray.bench._limits_parts import FaultProbabilities
from amaranthtray.bench._limits_simulation import LimitsSimulation
from amaranthtray.domain.budgets import (
    HostLocation,
    OutageLedger,
    OutageOrder,
    OutCause,
)
from amaranthtray.domain.configuration import (
    Budget,
    Change,
    Configuration,
    Operator,
    Pool,
    PutTeam,
    Queue,
    Record,
    Role,
    Team,
    TeamKey,
    Wave,
    WaveAction,
    WaveState,
)
from amaranthtray.domain.configuration.key_ids import format_key_id
from amaranthtray.domain.configuration.log import PoolCheck, Rules
from amaranthtray.domain.ids import (
    EntryId,
    HostId,
    Millis,
    OperationId,
    PoolName,
    QueueName,
    RackId,
    RegionId,
    RequestId,
    Revision,
    TeamName,
    Term,
    WaveName,
    ZoneId,
)
from amaranthtray.domain.invariants import Watchdog
from amaranthtray.domain.inventory import Host, HostState
from amaranthtray.domain.keys.minting import key_from_secret
from amaranthtray.domain.requests.dispatcher import RequestDispatcher
from amaranthtray.domain.requests.model import Needs, Request, WorkClass
from amaranthtray.domain.requests.ports import FirstComeShares, Unlimited
from amaranthtray.domain.workers.registry import WorkerRegistry

if TYPE_CHECKING:
    from amaranthtray.domain.requests.ports import Limits
    from amaranthtray.domain.requests.settings import DispatcherSettings
    from amaranthtray.domain.workers.settings import WorkerSettings

HOSTS_PER_RACK = 4


def host(
    number: int = 1,
    *,
    zone: str = "z1",
    rack: str | None = None,
    slots: int = 8,
    cores: int = 16,
    labels: dict[str, str] | None = None,
    state: HostState = HostState.LIVE,
) -> Host:
    rack_name = rack or f"{zone}-r{number // HOSTS_PER_RACK}"
    return Host(
        host_id=HostId(f"{zone}-h{number}"),
        zone=ZoneId(zone),
        rack=RackId(rack_name),
        region=RegionId("r1"),
        slots=slots,
        cores=cores,
        labels=labels or {},
        state=state,
    )


def pool(
    name: str = "web",
    *,
    selector: str = "",
    priority: int = 100,
    max_out: int = 1,
    max_out_per_zone: int = 1,
    max_out_per_rack: int = 1,
) -> Pool:
    return Pool(
        name=PoolName(name),
        selector=selector or f"pool={name}",
        priority=priority,
        budget=Budget(max_out, max_out_per_zone, max_out_per_rack),
    )


def team(
    name: str = "red",
    *,
    share: int = 1,
    limit: int = 100,
    labels: dict[str, str] | None = None,
    cutoff_grace_ms: int | None = None,
) -> Team:
    return Team(TeamName(name), share, limit, labels or {}, cutoff_grace_ms)


def queue(
    name: str = "bookings",
    *,
    pool: str = "web",
    is_open: bool = False,
    selector: str = "",
) -> Queue:
    return Queue(
        name=QueueName(name),
        pool=PoolName(pool),
        is_open=is_open,
        selector=selector,
    )


def request(
    number: int = 1,
    *,
    team: str = "red",
    queue: str = "bookings",
    pool: str = "web",
    work_class: WorkClass = WorkClass.URGENT,
    repeatable: bool = True,
    accepted_ms: int = 0,
    deadline_ms: int = 10_000,
    needs: Needs | None = None,
) -> Request:
    return Request(
        request_id=RequestId(f"q{number}"),
        team=TeamName(team),
        queue=QueueName(queue),
        pool=PoolName(pool),
        work_class=work_class,
        repeatable=repeatable,
        accepted_ms=Millis(accepted_ms),
        deadline_ms=Millis(deadline_ms),
        needs=needs or Needs(),
    )


def configuration(
    *,
    revision: int = 1,
    pools: tuple[Pool, ...] = (),
    teams: tuple[Team, ...] = (),
    queues: tuple[Queue, ...] = (),
    placement: dict[str, str] | None = None,
) -> Configuration:
    return Configuration(
        revision=Revision(revision),
        pools={item.name: item for item in pools},
        teams={item.name: item for item in teams},
        queues={item.name: item for item in queues},
        placement={
            HostId(host_id): PoolName(name)
            for host_id, name in (placement or {}).items()
        },
    )


def request_dispatcher(
    *,
    hosts: tuple[Host, ...] = (),
    pool: str = "web",
    zone: str = "z1",
    seed: int = 1,
    cfg: DispatcherSettings | None = None,
    workers: WorkerSettings | None = None,
    limits: Limits | None = None,
) -> RequestDispatcher:
    rng = random.Random(seed)
    registry = WorkerRegistry(ZoneId(zone), rng, cfg=workers)
    dispatcher = RequestDispatcher(
        limits=limits or Unlimited(),
        shares=FirstComeShares(),
        rng=rng,
        workers=registry,
        cfg=cfg,
    )
    dispatcher.update_hosts({PoolName(pool): list(hosts)}, Millis(0))
    return dispatcher


def key(
    number: int = 1, *, team: str = "red", minted: int = 0, secret: str = "secret"
) -> tuple[TeamKey, str]:
    """Returns a caller's key as it is configured, and its full text.

    The id of the key contains ``minted``, the revision in which it was issued.
    """
    minted_key = key_from_secret(
        format_key_id(Revision(minted), f"n{number}"), f"{secret}{number}"
    )
    team_key = TeamKey(minted_key.key_id, TeamName(team), minted_key.digest)
    return team_key, minted_key.text


def operator(
    number: int = 1, *, name: str = "ana", role: Role = Role.ADMIN
) -> tuple[Operator, str]:
    """Returns an operator as it is configured, and the full text of its key."""
    minted_key = key_from_secret(
        format_key_id(Revision(0), f"op{number}"), f"operator{number}"
    )
    return Operator(minted_key.key_id, name, role, minted_key.digest), minted_key.text


def rules(*, pools: PoolCheck | None = None) -> Rules:
    """Returns rules that reject the selector ``"!"`` and what ``pools`` rejects.

    The known zones are ``z1`` and ``z2``.
    """
    return Rules(
        selector=lambda selector: "unparsable selector" if selector == "!" else None,
        pools=pools or (lambda before, after: None),
        zones=lambda: frozenset({ZoneId("z1"), ZoneId("z2")}),
    )


def record(
    revision: int,
    *changes: Change,
    op: str | None = None,
    operator: str = "ana",
    entry: str = "e1",
) -> Record:
    return Record(
        revision=Revision(revision),
        op_id=OperationId(op or f"op-{revision}"),
        operator=operator,
        entry=EntryId(entry),
        changes=changes or (PutTeam(team(f"t{revision}")),),
    )


def location(
    number: int = 1, *, zone: str = "z1", rack: str | None = None
) -> HostLocation:
    listed = host(number, zone=zone, rack=rack)
    return HostLocation(listed.host_id, listed.zone, listed.rack)


def ledger(pool: str = "web", *, term: int = 1) -> OutageLedger:
    return OutageLedger(PoolName(pool), term=Term(term))


def order(
    number: int = 1,
    *,
    cause: OutCause = OutCause.MAINTENANCE,
    term: int = 1,
    wave: str | None = "patch",
    target: str | None = None,
) -> OutageOrder:
    return OutageOrder(
        cause,
        Term(term),
        OperationId(f"op{number}"),
        None if wave is None else WaveName(wave),
        None if target is None else PoolName(target),
    )


def wave(
    name: str = "patch",
    *,
    selector: str = "",
    action: WaveAction = WaveAction.REBOOT,
    state: WaveState = WaveState.RUNNING,
    order: str = "",
) -> Wave:
    return Wave(WaveName(name), selector, action, state, order)


def limits_simulation(
    seed: int = 1,
    *,
    zones: int = 2,
    entries: int = 2,
    limits: dict[str, int] | None = None,
    faults: FaultProbabilities | None = None,
) -> tuple[LimitsSimulation, Watchdog]:
    """Returns simulated entries that share limits, and their watchdog."""
    watchdog = Watchdog()
    simulation = LimitsSimulation(
        random.Random(seed),
        watchdog.observe,
        zones=zones,
        entries=entries,
        limits={TeamName(name): n for name, n in (limits or {"red": 10}).items()},
        faults=faults or FaultProbabilities(0, 0, 0, 0, 0, 0),
    )
    return simulation, watchdog
