"""The tasks that call one host: two send orders, one polls and renews its lease."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, TypeVar

from ..domain.scheduling.absence import StopUnconfirmed
from ..domain.scheduling.losses import LossCause
from ..domain.scheduling.messages import (
    HostReport,
    HostRunsEnded,
    HostSilent,
    Message,
    StartOutcome,
    StartReplied,
    StopReplied,
)
from ..domain.scheduling.orders import HostOrder, PaceRun, StartRun, StopRun
from .clock import steady_ms
from .link_log import LinkLog
from .link_times import (
    MAX_START_TRIES,
    MAX_STORING_WAIT_MS,
    MAX_VOLUNTARY_WAIT_MS,
    POLL_WAIT_MS,
    SILENT_RETRY_MS,
    STOP_RETRY_MS,
)
from .order_thread import OrderThread
from .ports import AddressReused, HostStatus, NoUsableReply, OrderFenced

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..domain.jobs.model import TaskName
    from ..domain.scheduling.lease import HostLease
    from ..domain.scheduling.messages import HostInfo
    from ..domain.scheduling.start_check import StartHindrance
    from .event_log import EventLog
    from .ports import HostApi
    from .term_guard import TermGuard

Outcome = TypeVar("Outcome", bound="StartOutcome | AddressReused | None")


class HostLink:
    """Sends orders to one host and keeps its lease, under one term.

    Args:
        info: The host.
        api: Client of the host.
        lease: Lease of the runs on the host.
        guard: Tells whether leases may be renewed and orders sent.
        post: Queues a message for the conductor.
        log: Log of the entry.
        hindrance: Returns what keeps a start from being sent to the host now, by the
            time in ms since it was ordered.
    """

    def __init__(
        self,
        info: HostInfo,
        *,
        api: HostApi,
        lease: HostLease,
        guard: TermGuard,
        post: Callable[[Message], None],
        log: EventLog,
        hindrance: Callable[[int], StartHindrance | None] = lambda waited_ms: None,
    ) -> None:
        self.info = info
        self._hindrance = hindrance
        self._api = api
        self._lease = lease
        self._guard = guard
        self._post = post
        self._log = LinkLog(info.id, log)
        self._closing = threading.Event()
        self._changed = threading.Condition()
        self._acknowledged = (0, 0)
        self._is_silent = False
        self._is_report_due = False
        self._born: int | None = None
        self._stopped_runs: set[tuple[TaskName, int]] = set()
        self._starts = OrderThread(self._send_start, log)
        self._stops = OrderThread(self._send_stop, log)
        self._poll_thread = threading.Thread(target=self._poll_loop, daemon=True)

    @property
    def fencing_token(self) -> int:
        """Returns the fencing token of the next order."""
        return self._api.fencing_token

    @property
    def lease_expires_by_ms(self) -> int:
        """Returns the steady-clock time from which on the host's lease has expired.

        After ``close`` it doesn't change any more.
        """
        return self._lease.expires_by_ms()

    def start(self) -> None:
        """Starts the thread that polls the host and renews its lease."""
        self._poll_thread.start()

    def close(self) -> None:
        """Ends all tasks after the calls in progress."""
        self._closing.set()
        self._starts.close()
        self._stops.close()
        with self._changed:
            self._changed.notify_all()

    def order(self, order: HostOrder) -> None:
        """Queues an order; stops don't wait behind starts that get no reply."""
        if isinstance(order, StopRun):
            self._stopped_runs.add((order.name, order.number))
            self._stops.put(order)
        else:
            self._starts.put(order)

    def acknowledge(self, born: int, sequence: int) -> None:
        """Acknowledges ends up to ``sequence``, from the next poll on."""
        with self._changed:
            self._acknowledged = (born, sequence)
            self._changed.notify_all()

    def _poll_loop(self) -> None:
        born, pending = 0, 0
        while not self._closing.is_set() and self._guard.may_continue():
            with self._changed:
                known_born, sequence = self._acknowledged
            # After missed replies another incarnation may answer, with other ends.
            is_same = known_born == born and not self._is_silent
            acknowledged = sequence if is_same else 0
            is_due, self._is_report_due = self._is_report_due, False
            wait_ms = 0 if is_due or pending > acknowledged else POLL_WAIT_MS
            was_silent = self._is_silent
            try:
                status = self._poll(acknowledged, wait_ms)
            except Exception as exc:
                # Without this thread the lease would lapse unnoticed.
                self._log.event("poll-fault", why=repr(exc))
                status = None
            if isinstance(status, HostStatus):
                born = status.born
                pending = max((end.sequence for end in status.ends), default=0)
                self._await_stored(born, pending)
            elif was_silent or not self._is_silent:
                self._closing.wait(SILENT_RETRY_MS / 1_000)
        self._api.close()

    def _poll(self, acknowledged: int, wait_ms: int) -> HostStatus | None:
        sent_ms = steady_ms()
        until_ms = self._lease.next_expiry_ms(sent_ms)
        wait_ms = 0 if until_ms is None else wait_ms
        token = self._api.fencing_token
        outcome = self._api.poll(until_ms, acknowledged, wait_ms)
        received_ms = steady_ms()
        match outcome:
            case _ if self._closing.is_set():
                return None
            case HostStatus():
                self._lease.record_answer(outcome.clock_ms, outcome.born, received_ms)
                self._is_silent = False
                if until_ms is not None:
                    self._log.record_renewal(sent_ms)
                if self.record_incarnation(outcome.born):
                    return self._poll(0, 0)
                self._log.record_ends(outcome)
                self._post(
                    HostReport(
                        self.info.id,
                        outcome.born,
                        sent_ms,
                        received_ms,
                        outcome.running,
                        outcome.ends,
                        outcome.has_all_ends,
                    )
                )
                return outcome
            case AddressReused() if self._born is None:
                # Runs of earlier terms may be at another address.
                self._handle_silence("address reused")
            case AddressReused():
                self._post_address_reused()
            case OrderFenced() if self._is_current(token):
                self._guard.mark_superseded()
            case NoUsableReply(detail):
                self._handle_silence(detail)
        return None

    def record_incarnation(self, born: int) -> bool:
        """Records the host's incarnation; if it is new, fences off all earlier orders.

        Returns whether it is new.
        """
        former, self._born = self._born, born
        if former is None or former == born:
            return False
        self._api.increment_fencing_token()
        self._log.event("host-reborn", born=born, was=former)
        return True

    def _post_address_reused(self, born: int | None = None) -> None:
        ended = HostRunsEnded(self.info.id, LossCause.ADDRESS_REUSED, born)
        self._post(ended)

    def _handle_silence(self, detail: str) -> None:
        self._lease.record_no_answer()
        if not self._is_silent:
            self._is_silent = True
            # The host may have restarted, and then knows no token: its first call has
            # to fence off the orders that were sent before.
            self._api.increment_fencing_token()
            self._log.event("host-silent", detail=detail)
            self._post(HostSilent(self.info.id))
        if self._lease.is_expired(steady_ms()):
            cause, longest_ms = LossCause.LEASE_EXPIRED, self._lease.max_lease_ms
            ended = HostRunsEnded(self.info.id, cause, max_lease_ms=longest_ms)
            self._post(ended)

    def _await_stored(self, born: int, pending: int) -> None:
        """Waits until reported ends may be acknowledged, or for a time limit."""
        deadline_ms = steady_ms() + MAX_STORING_WAIT_MS
        with self._changed:
            while not self._closing.is_set() and self._acknowledged < (born, pending):
                left_ms = deadline_ms - steady_ms()
                if left_ms <= 0:
                    return
                self._changed.wait(left_ms / 1_000)

    def _send_start(self, order: HostOrder, ordered_ms: int) -> None:
        match order:
            case StartRun():
                try:
                    self.start_run(order, ordered_ms)
                except Exception:
                    # The call may have been sent, so the run has to be resolved.
                    self._post_start_reply(order, StartOutcome.NO_REPLY, 1)
                    raise
            case PaceRun() if self._guard.may_order():
                self._api.pace(order.name, order.number, order.percent)

    def start_run(self, order: StartRun, ordered_ms: int | None = None) -> None:
        """Sends a start; repeats it while no reply comes and the run isn't stopped.

        A task under which hosts have crashed gets one try: a host that crashes under
        it, and is back at once, would start the same run again.

        Args:
            order: The start.
            ordered_ms: Steady-clock time at which it was queued; None if it is now.
        """
        ordered_ms = steady_ms() if ordered_ms is None else ordered_ms
        outcome: StartOutcome | AddressReused = StartOutcome.NO_REPLY
        hindrance: StartHindrance | None = None
        unanswered, max_tries = 0, 1 if order.prior_crashes else MAX_START_TRIES
        while unanswered < max_tries:
            until_ms = self._lease.next_expiry_ms(steady_ms())
            if until_ms is None or self._closing.is_set():
                is_unsent = until_ms is None and not unanswered
                outcome = StartOutcome.UNHEALTHY if is_unsent else outcome
                break
            if order.host_born != self._born:
                outcome = StartOutcome.REFUSED
                break
            unready = self._prepare_start(order)
            if (order.name, order.number) in self._stopped_runs:
                return
            hindrance = self._hindrance(waited_ms := steady_ms() - ordered_ms)
            if (unsent := self._reason_not_to_send(hindrance)) is not None:
                outcome = StartOutcome.NO_REPLY if unanswered else unsent
                break
            self._log.record_wait("start-sent-late", order, waited_ms, unanswered)
            outcome = unready or self._call_start(order, until_ms)
            if outcome is not StartOutcome.NO_REPLY:
                break
            unanswered += 1
        if isinstance(outcome, AddressReused):
            self._post_start_reply(order, StartOutcome.REFUSED, unanswered)
            self._post_address_reused(order.host_born)
        else:
            self._post_start_reply(order, outcome, unanswered, hindrance)

    def _call_start(
        self, order: StartRun, until_ms: int
    ) -> StartOutcome | AddressReused:
        token = self._api.fencing_token
        return self._current(self._api.start(order, until_ms), token)

    def _prepare_start(self, order: StartRun) -> StartOutcome | AddressReused | None:
        token = self._api.fencing_token
        return self._current(self._api.prepare_start(order.host_born), token)

    def _current(self, outcome: Outcome, token: int) -> Outcome | StartOutcome:
        """Returns an outcome; a fence of this link's own newer token is a refusal."""
        if outcome is StartOutcome.FENCED and not self._is_current(token):
            return StartOutcome.REFUSED
        return outcome

    def _call_stop(self, order: StopRun) -> bool:
        """Returns whether a stop need not be repeated."""
        token = self._api.fencing_token
        is_answered = self._api.stop(order.name, order.number)
        return is_answered and self._is_current(token)

    def _is_current(self, token: int) -> bool:
        """Returns whether this link, or one that replaced it, uses no newer token."""
        return token == self._api.fencing_token and not self._closing.is_set()

    def _post_start_reply(
        self,
        order: StartRun,
        outcome: StartOutcome,
        unanswered: int,
        hindrance: StartHindrance | None = None,
    ) -> None:
        # The next report shows what became of a try without a reply.
        self._is_report_due |= unanswered > 0
        reply = StartReplied(
            self.info.id,
            order.name,
            order.number,
            outcome,
            steady_ms(),
            was_repeated=unanswered > 0,
            hindrance=hindrance,
        )
        self._post(reply)

    def _reason_not_to_send(
        self, hindrance: StartHindrance | None
    ) -> StartOutcome | None:
        """Returns the outcome of a start that must not be sent now, else None."""
        if hindrance is not None:
            return StartOutcome.WITHHELD
        if self._closing.is_set():
            # The entry may have forgotten the zones once its links were closed.
            return StartOutcome.NO_REPLY
        return None if self._guard.may_order() else StartOutcome.REFUSED

    def _send_stop(self, order: HostOrder, ordered_ms: int) -> None:
        if isinstance(order, StopRun):
            self.stop_run(order, ordered_ms)

    def stop_run(self, order: StopRun, ordered_ms: int | None = None) -> None:
        """Orders a stop; repeats it until the host replies or the link is closed.

        A voluntary stop is returned to the conductor instead of being repeated.

        Args:
            order: The stop.
            ordered_ms: Steady-clock time at which it was queued; None if it is now.
        """
        ordered_ms = steady_ms() if ordered_ms is None else ordered_ms
        unanswered = 0
        while not self._closing.is_set():
            waited_ms = steady_ms() - ordered_ms
            if order.is_voluntary and (unanswered or waited_ms > MAX_VOLUNTARY_WAIT_MS):
                self._post_unconfirmed_stop(order, was_sent=unanswered > 0)
                return
            if self._guard.may_order():
                if self._call_stop(order):
                    self._log.record_wait(
                        "stop-answered-late", order, waited_ms, unanswered
                    )
                    host, replied_ms = self.info.id, steady_ms()
                    self._post(StopReplied(host, order.name, order.number, replied_ms))
                    return
                unanswered += 1
            self._closing.wait(STOP_RETRY_MS / 1_000)

    def _post_unconfirmed_stop(self, order: StopRun, *, was_sent: bool) -> None:
        self._is_report_due |= was_sent
        host, replied_ms = self.info.id, steady_ms()
        self._log.event(
            "stop-unconfirmed",
            task=str(order.name),
            run=order.number,
            was_sent=was_sent,
        )
        self._post(
            StopUnconfirmed(host, order.name, order.number, replied_ms, was_sent)
        )
