"""Slopes of configuration, membership and the links between entries."""

from __future__ import annotations

import time
import tracemalloc
from typing import TYPE_CHECKING

from ..bench._control_cost import MS_PER_S, ControlCost, measure_cost
from ..bench._peer_link import frame_cost_s
from ..domain.configuration.changes import PutTeam, Record, SetHostLabels
from ..domain.configuration.codec import (
    record_to_json,
    snapshot_from_json,
    snapshot_to_json,
)
from ..domain.configuration.log import apply
from ..domain.configuration.model import Configuration, Team, TeamKey
from ..domain.ids import (
    EntryId,
    HostId,
    KeyId,
    OperationId,
    PoolName,
    Revision,
    TeamName,
)
from .slope import Resource, Role, Sample, Slope

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

HOSTS = 4_300
TEAMS = 140
POOLS = 39
ZONES = 17
ENTRIES_PER_ZONE = 3
MOST_ENTRIES_PER_ZONE = 9
CHANGES_PER_S = 1_800 / 86_400
APPLY_ROUNDS = 50

MESH = "heartbeats in the zone's mesh"
STEWARDS = "heartbeats and reports between stewards"
SNAPSHOT = "configuration snapshot"
APPLY = "applying configuration records"
CALLS = "duties and commits; watches and registration not counted"


def slopes() -> Iterator[Slope]:
    """Returns the slopes of control."""
    frame_s = frame_cost_s()
    yield from _over_zones(frame_s)
    yield from _over_entries(frame_s)
    yield from _over_hosts()
    yield from _over_teams()


def fleet_configuration(*, hosts: int, teams: int = 6) -> Configuration:
    """Returns a configuration with labels and a place for each host."""
    names = [HostId(f"z{n % ZONES}-r{n // 4}-h{n}") for n in range(hosts)]
    return Configuration(
        revision=Revision(1),
        teams={TeamName(f"t{n}"): Team(TeamName(f"t{n}")) for n in range(teams)},
        keys={
            KeyId(f"k0-{n}"): TeamKey(KeyId(f"k0-{n}"), TeamName(f"t{n}"), f"{n:064x}")
            for n in range(teams)
        },
        host_labels={
            one: {"pool": f"p{n % POOLS}", "tier": "gold", "wave": f"w{n % 7}"}
            for n, one in enumerate(names)
        },
        placement={one: PoolName(f"p{n % POOLS}") for n, one in enumerate(names)},
        touched={f"placement/{one}": Revision(1) for one in names},
    )


def _over_zones(frame_s: float) -> Iterator[Slope]:
    sizes = (3, 6, 12)
    costs = {
        size: measure_cost({f"z{n:02}": ENTRIES_PER_ZONE for n in range(size)})
        for size in sizes
    }
    yield from _slopes_of(costs, Role.STEWARD, "zones", STEWARDS, ZONES, frame_s)
    samples = _samples(costs, lambda cost: cost.calls_per_s)
    yield Slope(Role.STORE, Resource.MESSAGES, "zones", CALLS, samples, ZONES)


def _over_entries(frame_s: float) -> Iterator[Slope]:
    costs = {
        size: measure_cost({"z1": size, "z2": 2}, of_steward=False)
        for size in (3, 6, MOST_ENTRIES_PER_ZONE)
    }
    yield from _slopes_of(
        costs, Role.ENTRY, "entries of a zone", MESH, MOST_ENTRIES_PER_ZONE, frame_s
    )


def _slopes_of(
    costs: dict[int, ControlCost],
    role: Role,
    driver: str,
    mechanism: str,
    target: int,
    frame_s: float,
) -> Iterator[Slope]:
    kinds: list[tuple[Resource, Callable[[ControlCost], float]]] = [
        (Resource.TRAFFIC, lambda cost: cost.bytes_per_s),
        (Resource.MESSAGES, lambda cost: cost.frames_per_s),
        (Resource.PROCESSOR, lambda cost: _busy_ms(cost, frame_s)),
    ]
    for resource, read in kinds:
        samples = _samples(costs, read)
        yield Slope(role, resource, driver, mechanism, samples, target)


def _busy_ms(cost: ControlCost, frame_s: float) -> float:
    return cost.busy_ms_per_s + cost.frames_per_s / 2 * frame_s * MS_PER_S


def _samples(
    costs: dict[int, ControlCost], read: Callable[[ControlCost], float]
) -> tuple[Sample, ...]:
    return tuple(Sample(size, read(cost)) for size, cost in costs.items())


def _over_hosts() -> Iterator[Slope]:
    sizes = (500, 2_000, HOSTS)
    cfgs = {size: fleet_configuration(hosts=size) for size in sizes}
    kept = [Sample(size, len(snapshot_to_json(cfg))) for size, cfg in cfgs.items()]
    held = [Sample(size, _memory_of(cfg)) for size, cfg in cfgs.items()]
    busy = [Sample(size, _apply_ms(cfg) * CHANGES_PER_S) for size, cfg in cfgs.items()]
    bulk = [
        Sample(size, len(record_to_json(_relabel(cfg)))) for size, cfg in cfgs.items()
    ]
    yield Slope(Role.STORE, Resource.STATE, "hosts", SNAPSHOT, tuple(kept), HOSTS)
    yield Slope(Role.ENTRY, Resource.MEMORY, "hosts", SNAPSHOT, tuple(held), HOSTS)
    yield Slope(Role.ENTRY, Resource.PROCESSOR, "hosts", APPLY, tuple(busy), HOSTS)
    yield Slope(
        Role.STORE,
        Resource.STATE,
        "hosts",
        "one record that relabels all hosts",
        tuple(bulk),
        HOSTS,
    )


def _over_teams() -> Iterator[Slope]:
    sizes = (10, 70, TEAMS)
    cfgs = {size: fleet_configuration(hosts=100, teams=size) for size in sizes}
    kept = [Sample(size, len(snapshot_to_json(cfg))) for size, cfg in cfgs.items()]
    held = [Sample(size, _memory_of(cfg)) for size, cfg in cfgs.items()]
    yield Slope(Role.STORE, Resource.STATE, "teams", SNAPSHOT, tuple(kept), TEAMS)
    yield Slope(Role.ENTRY, Resource.MEMORY, "teams", SNAPSHOT, tuple(held), TEAMS)


def _memory_of(cfg: Configuration) -> int:
    """Returns the memory of a configuration as an entry reads it."""
    data = snapshot_to_json(cfg)
    tracemalloc.start()
    kept = snapshot_from_json(data, step="measure", peer="capacity")
    current, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return current


def _apply_ms(cfg: Configuration) -> float:
    """Returns the processor time of applying one record."""
    began = time.process_time()
    state = cfg
    for _ in range(APPLY_ROUNDS):
        state = apply(state, _next_record(state))
    return (time.process_time() - began) * MS_PER_S / APPLY_ROUNDS


def _next_record(cfg: Configuration) -> Record:
    revision = Revision(cfg.revision + 1)
    change = PutTeam(Team(TeamName("t0"), share=int(revision)))
    op_id = OperationId(f"op-{revision}")
    return Record(revision, op_id, "capacity", EntryId("e1"), (change,))


def _relabel(cfg: Configuration) -> Record:
    change = SetHostLabels(cfg.host_labels)
    op_id = OperationId("relabel")
    return Record(Revision(2), op_id, "capacity", EntryId("e1"), (change,))
