"""Measures configuration, membership and the links between entries."""

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
MAX_ENTRIES_PER_ZONE = 9
CHANGES_PER_S = 1_800 / 86_400
APPLY_ROUNDS = 50

MESH_HEARTBEATS = "heartbeats in the zone's mesh"
STEWARD_TRAFFIC = "heartbeats and reports between stewards"
SNAPSHOT = "configuration snapshot"
RECORD_APPLICATION = "applying configuration records"
STORE_CALLS = "duties and commits; watches and registration not counted"


def slopes() -> Iterator[Slope]:
    """Yields the slopes of the control plane."""
    frame_s = frame_cost_s()
    yield from _slopes_by_zones(frame_s)
    yield from _slopes_by_entries(frame_s)
    yield from _slopes_by_hosts()
    yield from _slopes_by_teams()


def fleet_configuration(*, hosts: int, teams: int = 6) -> Configuration:
    """Returns a configuration with labels and a pool for each host."""
    host_ids = [
        HostId(f"z{number % ZONES}-r{number // 4}-h{number}") for number in range(hosts)
    ]
    return Configuration(
        revision=Revision(1),
        teams={
            TeamName(f"t{number}"): Team(TeamName(f"t{number}"))
            for number in range(teams)
        },
        keys={
            KeyId(f"k0-{number}"): TeamKey(
                KeyId(f"k0-{number}"), TeamName(f"t{number}"), f"{number:064x}"
            )
            for number in range(teams)
        },
        host_labels={
            host: {
                "pool": f"p{number % POOLS}",
                "tier": "gold",
                "wave": f"w{number % 7}",
            }
            for number, host in enumerate(host_ids)
        },
        placement={
            host: PoolName(f"p{number % POOLS}") for number, host in enumerate(host_ids)
        },
        touched={f"placement/{host}": Revision(1) for host in host_ids},
    )


def _slopes_by_zones(frame_s: float) -> Iterator[Slope]:
    sizes = (3, 6, 12)
    costs = {
        size: measure_cost(
            {f"z{number:02}": ENTRIES_PER_ZONE for number in range(size)}
        )
        for size in sizes
    }
    yield from _traffic_slopes(
        costs, Role.STEWARD, "zones", STEWARD_TRAFFIC, ZONES, frame_s
    )
    samples = _samples(costs, lambda cost: cost.calls_per_s)
    yield Slope(Role.STORE, Resource.MESSAGES, "zones", STORE_CALLS, samples, ZONES)


def _slopes_by_entries(frame_s: float) -> Iterator[Slope]:
    costs = {
        size: measure_cost({"z1": size, "z2": 2}, of_stewards=False)
        for size in (3, 6, MAX_ENTRIES_PER_ZONE)
    }
    yield from _traffic_slopes(
        costs,
        Role.ENTRY,
        "entries of a zone",
        MESH_HEARTBEATS,
        MAX_ENTRIES_PER_ZONE,
        frame_s,
    )


def _traffic_slopes(
    costs: dict[int, ControlCost],
    role: Role,
    driver: str,
    mechanism: str,
    target: int,
    frame_s: float,
) -> Iterator[Slope]:
    resources: list[tuple[Resource, Callable[[ControlCost], float]]] = [
        (Resource.TRAFFIC, lambda cost: cost.bytes_per_s),
        (Resource.MESSAGES, lambda cost: cost.frames_per_s),
        (Resource.PROCESSOR, lambda cost: _processor_ms(cost, frame_s)),
    ]
    for resource, cost_of in resources:
        samples = _samples(costs, cost_of)
        yield Slope(role, resource, driver, mechanism, samples, target)


def _processor_ms(cost: ControlCost, frame_s: float) -> float:
    return cost.busy_ms_per_s + cost.frames_per_s / 2 * frame_s * MS_PER_S


def _samples(
    costs: dict[int, ControlCost], cost_of: Callable[[ControlCost], float]
) -> tuple[Sample, ...]:
    return tuple(Sample(size, cost_of(cost)) for size, cost in costs.items())


def _slopes_by_hosts() -> Iterator[Slope]:
    sizes = (500, 2_000, HOSTS)
    cfgs = {size: fleet_configuration(hosts=size) for size in sizes}
    snapshot_bytes = [
        Sample(size, len(snapshot_to_json(cfg))) for size, cfg in cfgs.items()
    ]
    memory_bytes = [Sample(size, _memory_bytes(cfg)) for size, cfg in cfgs.items()]
    apply_ms = [
        Sample(size, _apply_ms(cfg) * CHANGES_PER_S) for size, cfg in cfgs.items()
    ]
    relabel_bytes = [
        Sample(size, len(record_to_json(_relabel_record(cfg))))
        for size, cfg in cfgs.items()
    ]
    yield Slope(
        Role.STORE, Resource.STATE, "hosts", SNAPSHOT, tuple(snapshot_bytes), HOSTS
    )
    yield Slope(
        Role.ENTRY, Resource.MEMORY, "hosts", SNAPSHOT, tuple(memory_bytes), HOSTS
    )
    yield Slope(
        Role.ENTRY,
        Resource.PROCESSOR,
        "hosts",
        RECORD_APPLICATION,
        tuple(apply_ms),
        HOSTS,
    )
    yield Slope(
        Role.STORE,
        Resource.STATE,
        "hosts",
        "one record that relabels all hosts",
        tuple(relabel_bytes),
        HOSTS,
    )


def _slopes_by_teams() -> Iterator[Slope]:
    sizes = (10, 70, TEAMS)
    cfgs = {size: fleet_configuration(hosts=100, teams=size) for size in sizes}
    snapshot_bytes = [
        Sample(size, len(snapshot_to_json(cfg))) for size, cfg in cfgs.items()
    ]
    memory_bytes = [Sample(size, _memory_bytes(cfg)) for size, cfg in cfgs.items()]
    yield Slope(
        Role.STORE, Resource.STATE, "teams", SNAPSHOT, tuple(snapshot_bytes), TEAMS
    )
    yield Slope(
        Role.ENTRY, Resource.MEMORY, "teams", SNAPSHOT, tuple(memory_bytes), TEAMS
    )


def _memory_bytes(cfg: Configuration) -> int:
    """Returns the memory of a configuration that an entry has decoded, in bytes."""
    snapshot = snapshot_to_json(cfg)
    tracemalloc.start()
    configuration = snapshot_from_json(snapshot, step="measure", peer="capacity")
    current, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del configuration
    return current


def _apply_ms(cfg: Configuration) -> float:
    """Returns the processor time of applying one record, in milliseconds."""
    start_s = time.process_time()
    state = cfg
    for _ in range(APPLY_ROUNDS):
        state = apply(state, _next_record(state))
    return (time.process_time() - start_s) * MS_PER_S / APPLY_ROUNDS


def _next_record(cfg: Configuration) -> Record:
    revision = Revision(cfg.revision + 1)
    change = PutTeam(Team(TeamName("t0"), share=int(revision)))
    op_id = OperationId(f"op-{revision}")
    return Record(revision, op_id, "capacity", EntryId("e1"), (change,))


def _relabel_record(cfg: Configuration) -> Record:
    change = SetHostLabels(cfg.host_labels)
    op_id = OperationId("relabel")
    return Record(Revision(2), op_id, "capacity", EntryId("e1"), (change,))
