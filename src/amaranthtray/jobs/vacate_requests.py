"""The fleet manager's requests to empty hosts, which pools' conductors follow."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import msgspec
from returns.result import Success

from ..store.contract import Put
from . import keys
from .ledger import VacateRequest, decode_vacate_request

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Set

    from ..domain.ids import HostId, PoolName
    from ..domain.upkeep.model import MachineName
    from ..domain.upkeep.waves import Fleet
    from ..store.contract import TransactionalStore
    from .event_log import EventLog
    from .ledger import PoolReport


class VacateRequests:
    """Stores the hosts of each pool that are to be emptied and kept empty.

    Args:
        store: The platform's store.
        log: Log of the entry.
        commit: Stores a change under the holder's term; returns whether it is stored.
    """

    def __init__(
        self,
        store: TransactionalStore,
        log: EventLog,
        commit: Callable[[Iterable[Put]], bool],
    ) -> None:
        self._store = store
        self._log = log
        self._commit = commit
        self._requests: dict[PoolName, VacateRequest] = {}
        self._uncertain: set[PoolName] = set()

    def load(self, pools: Iterable[PoolName]) -> bool:
        """Reads the requests of the last holder; returns whether that succeeded."""
        for pool in pools:
            read = self._store.get(keys.vacate_key(pool))
            if not isinstance(read, Success):
                return False
            stored = read.unwrap()
            request = decode_vacate_request(stored.value) if stored else VacateRequest()
            self._requests.setdefault(pool, request)
        return True

    def vacant(self, reports: Mapping[PoolName, PoolReport]) -> frozenset[HostId]:
        """Returns the hosts that are empty and that conductors keep empty."""
        return frozenset(
            host
            for pool, request in self._requests.items()
            if pool in reports and pool not in self._uncertain
            for host in request.vacant(reports[pool])
        )

    def hosts_of(
        self, names: Set[MachineName], fleet: Fleet
    ) -> defaultdict[PoolName, set[HostId]]:
        """Returns the requested hosts of some machines, by their pool."""
        found: defaultdict[PoolName, set[HostId]] = defaultdict(set)
        for name in names:
            machine = fleet.machines.get(name)
            if machine is None or machine.pool not in self._requests:
                continue
            if machine.host in self._requests[machine.pool].hosts:
                found[machine.pool].add(machine.host)
        return found

    def retain(self, hosts: Set[HostId]) -> None:
        """Requests only those of the present hosts that are among ``hosts``."""
        self.request(
            {
                pool: hosts & request.hosts.keys()
                for pool, request in self._requests.items()
            }
        )

    def request(self, wanted: Mapping[PoolName, Set[HostId]]) -> None:
        """Stores the requests that change; ``wanted`` has all hosts to empty."""
        for pool in {*wanted, *self._requests}:
            hosts = sorted(wanted.get(pool, ()))
            last = self._requests.get(pool, VacateRequest())
            if hosts == sorted(last.hosts) and pool not in self._uncertain:
                continue
            number = last.number + 1
            since = {host: last.hosts.get(host, number) for host in hosts}
            request = VacateRequest(number=number, hosts=since)
            put = Put(keys.vacate_key(pool), msgspec.json.encode(request))
            self._log.event("vacate", pool=pool, hosts=hosts, number=number)
            if self._commit((put,)):
                self._requests[pool] = request
                self._uncertain.discard(pool)
            else:
                # It may be stored or not; in both cases these hosts were in it.
                kept = {host: since[host] for host in hosts if host in last.hosts}
                self._requests[pool] = VacateRequest(number=number, hosts=kept)
                self._uncertain.add(pool)
