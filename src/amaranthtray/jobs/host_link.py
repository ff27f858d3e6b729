"""The tasks that talk to one host: one gives orders, one keeps its lease."""

from __future__ import annotations

import queue
import threading
from typing import TYPE_CHECKING

from ..domain.scheduling.messages import (
    HostReport,
    HostRunsEnded,
    HostSilent,
    Message,
    PaceRun,
    StartOutcome,
    StartReplied,
    StartRun,
    StopReplied,
    StopRun,
)
from .clock import steady_ms
from .ports import Lists, OrderLost, OtherHost, Refused

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.jobs.model import TaskName
    from ..domain.scheduling.lease import HostLease
    from ..domain.scheduling.messages import HostInfo
    from .conducting import TermWatch
    from .event_log import EventLog
    from .ports import HostOrders

HOLD_WAIT_MS = 2_000
"""Longest wait that a host accepts; fewer calls while nothing ends."""

STORING_PAUSE_MS = 400
"""Longest wait for ends to be stored before the host is asked again."""

SILENT_PAUSE_MS = 250
"""Pause between calls to a host that does not answer."""

START_TRIES = 3
"""Tries of an order to start; a host that is up answers one of them."""

STOP_PAUSE_MS = 150
"""Pause between tries of an order to stop."""


class HostLink:
    """Talks to one host under one term.

    Args:
        info: The host.
        orders: Client of the host.
        lease: Its lease.
        term: Tells how long leases may be renewed and orders given.
        post: Takes messages to the conductor.
        log: Log of the entry.
    """

    def __init__(
        self,
        info: HostInfo,
        *,
        orders: HostOrders,
        lease: HostLease,
        term: TermWatch,
        post: Callable[[Message], None],
        log: EventLog,
    ) -> None:
        self.info = info
        self._orders = orders
        self._lease = lease
        self._term = term
        self._post = post
        self._log = log
        self._closing = threading.Event()
        self._changed = threading.Condition()
        self._acknowledged = (0, 0)
        self._is_silent = False
        self._born: int | None = None
        self._unwanted: set[tuple[TaskName, int]] = set()
        self._starts = _OrderThread(self._give_start, log)
        self._stops = _OrderThread(self._give_stop, log)
        self._hold_thread = threading.Thread(target=self._hold_loop, daemon=True)

    def start(self) -> None:
        """Begins to keep the lease."""
        self._hold_thread.start()

    def close(self) -> None:
        """Ends both tasks after the calls under way."""
        self._closing.set()
        self._starts.close()
        self._stops.close()
        with self._changed:
            self._changed.notify_all()

    def order(self, order: StartRun | StopRun | PaceRun) -> None:
        """Queues an order; stops don't wait behind starts that get no answer."""
        if isinstance(order, StopRun):
            self._unwanted.add((order.name, order.number))
            self._stops.put(order)
        else:
            self._starts.put(order)

    def acknowledge(self, born: int, sequence: int) -> None:
        """Lets the host forget ends from the next call on."""
        with self._changed:
            self._acknowledged = (born, sequence)
            self._changed.notify_all()

    def _hold_loop(self) -> None:
        born, pending = 0, 0
        while not self._closing.is_set() and self._term.may_renew():
            with self._changed:
                known_born, sequence = self._acknowledged
            # After a silence the next life may answer, whose ends are others.
            is_same = known_born == born and not self._is_silent
            acknowledged = sequence if is_same else 0
            wait_ms = HOLD_WAIT_MS if pending <= acknowledged else 0
            lists = self._hold(acknowledged, wait_ms)
            if isinstance(lists, Lists):
                born = lists.born
                pending = max((end.sequence for end in lists.ends), default=0)
                self._await_stored(born, pending)
            else:
                self._closing.wait(SILENT_PAUSE_MS / 1_000)
        self._orders.close()

    def _hold(self, acknowledged: int, wait_ms: int) -> Lists | None:
        sent_ms = steady_ms()
        until_ms = self._lease.next_expiry_ms(sent_ms)
        if until_ms is None:
            wait_ms = 0
        found = self._orders.hold(until_ms, acknowledged, wait_ms)
        received_ms = steady_ms()
        match found:
            case Lists():
                self._lease.record_answer(found.clock_ms, found.born, received_ms)
                self._is_silent = False
                if self.learn_life(found.born):
                    return self._hold(0, 0)
                self._post(
                    HostReport(
                        self.info.id,
                        found.born,
                        sent_ms,
                        received_ms,
                        found.running,
                        found.ends,
                    )
                )
                return found
            case OtherHost():
                self._post(HostRunsEnded(self.info.id))
            case Refused():
                self._term.supersede()
            case OrderLost(detail):
                self._silent(detail)
        return None

    def learn_life(self, born: int) -> bool:
        """Returns whether the host has a new life, which the next call fences."""
        former, self._born = self._born, born
        if former is None or former == born:
            return False
        self._orders.raise_token()
        self._log.event("host-reborn", host=self.info.id, born=born, was=former)
        return True

    def _silent(self, detail: str) -> None:
        self._lease.record_no_answer()
        if not self._is_silent:
            self._is_silent = True
            self._log.event("host-silent", host=self.info.id, detail=detail)
            self._post(HostSilent(self.info.id))
        if self._lease.is_expired(steady_ms()):
            self._post(HostRunsEnded(self.info.id))

    def _await_stored(self, born: int, pending: int) -> None:
        """Waits a while until reported ends may be acknowledged."""
        deadline_ms = steady_ms() + STORING_PAUSE_MS
        with self._changed:
            while not self._closing.is_set() and self._acknowledged < (born, pending):
                left_ms = deadline_ms - steady_ms()
                if left_ms <= 0:
                    return
                self._changed.wait(left_ms / 1_000)

    def _give_start(self, order: StartRun | StopRun | PaceRun) -> None:
        match order:
            case StartRun():
                self.start_run(order)
            case PaceRun() if self._term.may_order():
                self._orders.pace(order.name, order.number, order.percent)

    def start_run(self, order: StartRun) -> None:
        """Orders a start, again if no answer comes, while the run is wanted."""
        outcome: StartOutcome | OtherHost = StartOutcome.NO_REPLY
        unanswered = 0
        while unanswered < START_TRIES:
            now_ms = steady_ms()
            until_ms = self._lease.next_expiry_ms(now_ms)
            if until_ms is None and not unanswered:
                outcome = StartOutcome.UNHEALTHY
            if until_ms is None or self._closing.is_set():
                break
            if order.host_born != self._born:
                # That life is over, and what was sent to it is fenced off.
                outcome = StartOutcome.REFUSED
                break
            is_wanted = (order.name, order.number) not in self._unwanted
            if not is_wanted or not self._term.may_order():
                return
            token = self._orders.token
            outcome = self._orders.start(order, until_ms)
            if outcome is StartOutcome.FENCED and token != self._orders.token:
                outcome = StartOutcome.REFUSED
            if outcome is not StartOutcome.NO_REPLY:
                break
            unanswered += 1
        if isinstance(outcome, OtherHost):
            self._post(HostRunsEnded(self.info.id))
            return
        self._post(
            StartReplied(
                self.info.id,
                order.name,
                order.number,
                outcome,
                steady_ms(),
                was_repeated=unanswered > 0,
            )
        )

    def _give_stop(self, order: StartRun | StopRun | PaceRun) -> None:
        while not self._closing.is_set() and self._term.may_order():
            if self._orders.stop(order.name, order.number):
                reply = StopReplied(self.info.id, order.name, order.number, steady_ms())
                self._post(reply)
                return
            self._closing.wait(STOP_PAUSE_MS / 1_000)


class _OrderThread:
    """Carries out orders one after the other; its thread starts with the first.

    Args:
        carry_out: Gives one order.
        log: Log of the entry.
    """

    def __init__(
        self,
        carry_out: Callable[[StartRun | StopRun | PaceRun], None],
        log: EventLog,
    ) -> None:
        self._carry_out = carry_out
        self._log = log
        self._queue: queue.SimpleQueue[StartRun | StopRun | PaceRun | None]
        self._queue = queue.SimpleQueue()
        self._thread: threading.Thread | None = None

    def put(self, order: StartRun | StopRun | PaceRun) -> None:
        """Queues an order."""
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, daemon=True)
            self._thread.start()
        self._queue.put(order)

    def close(self) -> None:
        """Ends after the orders before."""
        self._queue.put(None)

    def _run(self) -> None:
        while (order := self._queue.get()) is not None:
            try:
                self._carry_out(order)
            except Exception as exc:
                # The run stays as it is known; the host's lists tell more.
                self._log.event("order-fault", host=order.host, why=repr(exc))
