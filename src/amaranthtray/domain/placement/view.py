"""Views of single pools, for their conductors, at one configuration revision."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..budgets.model import HostLocation, budget_of
from ..configuration.model import SPARE_POOL, Budget, WaveAction, WaveState
from ..ids import HostId, PoolName, RackId, Revision, WaveName, ZoneId
from ..inventory import HostState
from ..selectors import Nothing, matches, parse
from .labels import effective_labels
from .pool_assignment import by_precedence, first_matching_pool

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..configuration.model import Configuration, Wave
    from ..inventory import Host

NO_ZONE = ZoneId("")
NO_RACK = RackId("")


@dataclass(frozen=True, slots=True)
class Member:
    """A host that the configuration places in the pool.

    Attributes:
        location: The host, its zone and its rack; zone and rack are empty if the
            platform does not list the host.
        desired: The pool that it should be in.
        is_missing: Whether the platform does not list it or lists it as leaving.
    """

    location: HostLocation
    desired: PoolName
    is_missing: bool = False


@dataclass(frozen=True, slots=True)
class WaveTask:
    """The part of a wave that concerns one pool.

    Attributes:
        hosts: Members that the wave's selector matches, in the wave's order.
        ranks: Position of each host in that order; hosts of equal rank may be taken
            in any order.
        done_elsewhere: Hosts that conductors of other pools have maintained. It must
            come from a listing of all ledgers that is newer than the view's
            revision, so that a host that moved is not maintained twice.
    """

    name: WaveName
    action: WaveAction
    state: WaveState
    hosts: tuple[HostId, ...]
    ranks: dict[HostId, int]
    done_elsewhere: frozenset[HostId] = frozenset()


@dataclass(frozen=True, slots=True)
class PoolView:
    """A pool, its hosts and its waves. Treat all maps as read-only.

    Attributes:
        placement: The pool in which the configuration places each host of the fleet.
        listed: All hosts that the platform lists.
        evacuated: Members in evacuated availability zones.
    """

    pool: PoolName
    revision: Revision
    budget: Budget
    members: dict[HostId, Member]
    placement: Mapping[HostId, PoolName]
    waves: dict[WaveName, WaveTask] = field(default_factory=dict)
    listed: frozenset[HostId] = frozenset()
    evacuated: frozenset[HostId] = frozenset()

    def pool_of(self, host: HostId) -> PoolName:
        """Returns the pool that the configuration places a host in."""
        return self.placement.get(host, SPARE_POOL)


def pool_views(
    cfg: Configuration,
    hosts: Iterable[Host],
    *,
    done: Mapping[PoolName, Mapping[WaveName, frozenset[HostId]]] | None = None,
    only: frozenset[PoolName] | None = None,
) -> dict[PoolName, PoolView]:
    """Returns the views of all pools, or of those in ``only``.

    Args:
        cfg: The configuration.
        hosts: The hosts that the platform lists.
        done: Hosts that each wave has completed, by the pool whose ledger records it.
        only: The pools to return; None means all pools and the spare pool.
    """
    wanted = only if only is not None else frozenset(cfg.pools) | {SPARE_POOL}
    listed = {host.host_id: host for host in hosts}
    names: dict[PoolName, set[HostId]] = defaultdict(set)
    for host_id in cfg.placement.keys() | listed.keys():
        names[cfg.pool_of(host_id)].add(host_id)
    return {
        pool: _pool_view(cfg, pool, names[pool], listed, done or {})
        for pool in sorted(wanted)
    }


def _pool_view(
    cfg: Configuration,
    pool: PoolName,
    names: Iterable[HostId],
    listed: Mapping[HostId, Host],
    done: Mapping[PoolName, Mapping[WaveName, frozenset[HostId]]],
) -> PoolView:
    present = [listed[name] for name in sorted(names) if name in listed]
    labels = {host.host_id: effective_labels(cfg, host) for host in present}
    ordered = by_precedence(cfg.pools.values())
    members = {
        host.host_id: Member(
            HostLocation(host.host_id, host.zone, host.rack),
            first_matching_pool(labels[host.host_id], ordered),
            is_missing=host.state is HostState.LEAVING,
        )
        for host in present
    }
    for name in sorted(names):
        if name not in listed:
            location = HostLocation(name, NO_ZONE, NO_RACK)
            members[name] = Member(location, pool, is_missing=True)
    waves = {
        wave.name: _wave_task(wave, labels, _done_elsewhere(wave.name, pool, done))
        for wave in cfg.waves.values()
    }
    return PoolView(
        pool=pool,
        revision=cfg.revision,
        budget=budget_of(cfg, pool),
        members=members,
        placement=cfg.placement,
        waves=waves,
        listed=frozenset(listed),
        evacuated=frozenset(
            host.host_id for host in present if host.zone in cfg.evacuations
        ),
    )


def _done_elsewhere(
    wave: WaveName,
    pool: PoolName,
    done: Mapping[PoolName, Mapping[WaveName, frozenset[HostId]]],
) -> frozenset[HostId]:
    others = [
        done_by_wave.get(wave, frozenset())
        for other, done_by_wave in done.items()
        if other != pool
    ]
    return frozenset().union(*others)


def _wave_task(
    wave: Wave,
    labels: Mapping[HostId, Mapping[str, str]],
    done_elsewhere: frozenset[HostId],
) -> WaveTask:
    selector = parse(wave.selector).value_or(Nothing())
    chosen = [host for host in labels if matches(selector, labels[host])]
    values = {host: labels[host].get(wave.order) for host in chosen}
    ordered = sorted({value for value in values.values() if value is not None})
    rank_of = {value: rank for rank, value in enumerate(ordered)}
    last = len(ordered)
    ranks = {
        host: last if value is None else rank_of[value]
        for host, value in values.items()
    }
    hosts = tuple(sorted(chosen, key=lambda host: (ranks[host], host)))
    return WaveTask(wave.name, wave.action, wave.state, hosts, ranks, done_elsewhere)
