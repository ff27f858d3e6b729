"""Moves machines between pools for the holder of the fleet duty."""

from __future__ import annotations

from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, NamedTuple

import msgspec
from returns.result import Success

from ..domain.ids import HostId, PoolName
from ..domain.upkeep import moves
from ..domain.upkeep.model import OrderOutcome
from . import keys
from .clock import steady_ms

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from concurrent.futures import Future

    from ..domain.ids import Term, ZoneId
    from ..domain.upkeep.model import MachineName, MoveMachine
    from ..domain.upkeep.moves import PoolLoad
    from ..domain.upkeep.recent import RecentOrders
    from ..domain.upkeep.waves import Fleet
    from .context import JobEntryContext
    from .demand_recorder import DemandRecorder
    from .ports import MachineService

CONCURRENT_ORDERS = 4
"""A reply takes about 15 ms, so one order at a time delays a peak of a large pool."""

MAX_TRIES = 2
"""Tries of an order whose outcome is unknown."""


class _OrderReply(NamedTuple):
    """What became of an order.

    Attributes:
        outcome: Outcome of all tries.
        tries: Number of tries.
        since_check_ms: Time from the last check of the term to the end of its try, in
            which the order was on its way.
    """

    outcome: OrderOutcome
    tries: int
    since_check_ms: int


class MachineMover:
    """Plans moves by the pools' loads, and orders them under one term.

    Args:
        term: Term of the holder.
        context: Objects that all tasks of the entry share.
        recent_orders: Machines with recent orders, shared with the waves.
        record_orders: Stores them for the next holder; returns whether they are stored.
        may_order: Returns whether the holder may send orders now.
        demand: Forecast of the pools' demand; None without it.
    """

    def __init__(
        self,
        term: Term,
        context: JobEntryContext,
        *,
        recent_orders: RecentOrders,
        record_orders: Callable[[], bool],
        may_order: Callable[[], bool],
        demand: DemandRecorder | None = None,
    ) -> None:
        self._term = term
        self._context = context
        self._recent_orders = recent_orders
        self._record_orders = record_orders
        self._may_order = may_order
        self._demand = demand
        self._moves = moves.Moves(demand=demand.expectations if demand else None)
        self._lacking: Mapping[PoolName, int] = {}
        self._senders = ThreadPoolExecutor(CONCURRENT_ORDERS)

    @property
    def moving(self) -> frozenset[MachineName]:
        """Returns the machines with an order that may be under way."""
        return frozenset(self._moves.moving)

    def step(
        self,
        fleet: Fleet,
        loads: Mapping[PoolName, PoolLoad],
        busy: frozenset[MachineName],
        service: MachineService,
        evacuated: frozenset[ZoneId] = frozenset(),
    ) -> tuple[tuple[PoolName, HostId], ...]:
        """Orders the moves that are due; returns the hosts to empty, with their pool.

        Args:
            fleet: All machines and the hosts that were emptied.
            loads: Reported load of each pool.
            busy: Machines that must not move now.
            service: Client of the machine service.
            evacuated: Zones whose machines neither move nor count.
        """
        if not self._moves.assigned_counts and not self._load_assigned_counts(fleet):
            return ()
        catalog = self._context.catalog()
        pools = catalog.pools.values() if catalog else ()
        standby = frozenset(pool.name for pool in pools if pool.is_standby)
        plan = moves.plan_moves(
            self._moves, fleet, loads, standby, busy, steady_ms(), evacuated
        )
        if plan.lacking != self._lacking:
            self._lacking = plan.lacking
            needs = {pool: load.need for pool, load in loads.items()}
            late = {pool: load.late for pool, load in loads.items() if any(load.late)}
            self._context.log.event(
                "pools", lacking=plan.lacking, needs=needs, late=late
            )
        if self._demand is not None:
            self._demand.record(plan.demand)
        self._order_moves(plan.orders, fleet, service)
        return plan.vacate

    def close(self) -> None:
        """Ends the threads after the orders in progress."""
        self._senders.shutdown(wait=False)

    def _order_moves(
        self, planned: tuple[MoveMachine, ...], fleet: Fleet, service: MachineService
    ) -> None:
        """Records the moves for the next holder, then orders them."""
        if not planned:
            return
        self._recent_orders.record((order.machine for order in planned), steady_ms())
        if not self._record_orders():
            return
        for first in range(0, len(planned), CONCURRENT_ORDERS):
            group = planned[first : first + CONCURRENT_ORDERS]
            if not self._may_order():
                return
            replies = [
                (order, self._senders.submit(self._order, order, service))
                for order in group
            ]
            for order, _ in replies:
                moves.record_order(self._moves, order, steady_ms())
            for order, reply in replies:
                self._handle_reply(order, fleet.machines[order.machine].host, reply)

    def _order(self, order: MoveMachine, service: MachineService) -> _OrderReply:
        """Sends one order, once more if its outcome is unknown.

        A refusal of the second try leaves the outcome unknown: the first one may be
        what the platform is carrying out, or may be carried out later.
        """
        outcome, checked_ms, tries = OrderOutcome.REFUSED, steady_ms(), 0
        while tries < MAX_TRIES:
            checked_ms = steady_ms()
            if not self._may_order():
                break
            tries += 1
            # Earlier orders may have taken seconds; the quiet period starts now.
            self._recent_orders.record((order.machine,), steady_ms())
            was_unknown = outcome is OrderOutcome.UNKNOWN
            outcome = service.order(order)
            if was_unknown and outcome is OrderOutcome.REFUSED:
                outcome = OrderOutcome.UNKNOWN
            if outcome is not OrderOutcome.UNKNOWN:
                break
        return _OrderReply(outcome, tries, steady_ms() - checked_ms)

    def _handle_reply(
        self, order: MoveMachine, host: HostId, future: Future[_OrderReply]
    ) -> None:
        exc = future.exception()
        if exc is not None:
            outcome: OrderOutcome = OrderOutcome.UNKNOWN
            details: dict[str, object] = {"why": repr(exc)}
        else:
            outcome, tries, since_check_ms = future.result()
            details = {"tries": tries, "since_check_ms": since_check_ms}
        self._context.log.event(
            "move",
            machine=order.machine,
            host=host,
            pool=order.pool,
            outcome=outcome,
            term=self._term,
            **details,
        )
        if outcome in (OrderOutcome.REFUSED, OrderOutcome.HOPELESS):
            moves.remove_order(self._moves, order.machine)

    def _load_assigned_counts(self, fleet: Fleet) -> bool:
        """Reads how many machines each pool was assigned; the first holder counts."""
        counts = Counter(machine.pool for machine in fleet.machines.values())
        store = self._context.store
        created = store.create(keys.ASSIGNED_COUNTS_KEY, msgspec.json.encode(counts))
        if not isinstance(created, Success):
            read = store.get(keys.ASSIGNED_COUNTS_KEY)
            stored = read.unwrap() if isinstance(read, Success) else None
            if stored is None:
                return False
            counts = Counter(
                msgspec.json.decode(stored.value, type=dict[PoolName, int])
            )
        self._moves.assigned_counts = dict(counts)
        return True
