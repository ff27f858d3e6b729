"""Client of one host: sends orders and polls its runs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeAlias

import msgspec

from ..domain.jobs.model import TaskName
from ..domain.jobs.task import RunOutcome
from ..domain.scheduling.messages import EndReport, RunReport, StartOutcome
from ..jobs.host_lane import HostLane
from ..jobs.ports import AddressReused, HostStatus, NoUsableReply, OrderFenced
from ..web.http_peer import CallOutcome, NoResponse, Response

if TYPE_CHECKING:
    from ..domain.ids import HostId, Term
    from ..domain.scheduling.orders import StartRun

ORDER_TIMEOUT_MS = 700
"""A host replies to an order within milliseconds, over a slow link within tens."""

TOKENS_PER_TERM = 1_000
"""Fencing tokens of one term; each silence and each new incarnation of a host uses the
next one. The last one stays, as the one after it belongs to the next term."""

MAX_ENDS = 500
"""A host lists at most so many ends in a reply, the others once these are forgotten."""

MISDIRECTED = 421

_REFUSAL_OUTCOMES = {
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.NO_TICKET,
    "fence": StartOutcome.FENCED,
}

PollOutcome: TypeAlias = HostStatus | OrderFenced | AddressReused | NoUsableReply


class _RefusalBody(msgspec.Struct, rename="camel"):
    reason: str = ""
    clock_ms: int = 0


class _StatusBody(msgspec.Struct, rename="camel"):
    # Milliseconds on the host's steady clock, which starts with the host.
    clock_ms: int
    running: list[list[Any]] = []
    finished: list[list[Any]] = []
    # Wall time of the host's start, in milliseconds.
    born: int = 0


class HostClient:
    """Calls one host; starts, stops and polls have a thread and a connection each.

    Args:
        host: Id of the host.
        address: IP address and port.
        term: Term of the conductor.

    Raises:
        ValueError: ``address`` is not an address.
    """

    def __init__(self, host: HostId, address: str, term: Term) -> None:
        headers = {"Expected-Instance": str(host)}
        self._starts, self._stops, self._polls = (
            HostLane(address, headers) for _ in range(3)
        )
        self._fencing_token = term * TOKENS_PER_TERM
        self._last_token = self._fencing_token + TOKENS_PER_TERM - 1

    @property
    def fencing_token(self) -> int:
        """Returns the fencing token of the next order."""
        return self._fencing_token

    def increment_fencing_token(self) -> None:
        """Fences off all orders that were sent so far."""
        self._fencing_token = min(self._fencing_token + 1, self._last_token)

    def continue_fencing_tokens(self, token: int) -> None:
        """Goes on from the token of an earlier client of the host in the same term."""
        self._fencing_token = max(self._fencing_token, token)

    def start(self, order: StartRun, until_ms: int) -> StartOutcome | AddressReused:
        """Orders a start; the lease expires at ``until_ms`` on the host's clock.

        Sends nothing if another incarnation than that of the order answers. The next
        poll then shows it, and isn't waited for.
        """
        if (hindrance := self.prepare_start(order.host_born)) is not None:
            return hindrance
        payload: dict[str, Any] = {
            "task": str(order.name),
            "run": order.number,
            "spec": order.payload,
            "untilMs": until_ms,
            "fencingToken": self._fencing_token,
        }
        if order.checkpoint:
            payload["checkpoint"] = order.checkpoint
        if order.ticket:
            payload["ticket"] = order.ticket
        match self._starts.send("/v1/run-start", payload, ORDER_TIMEOUT_MS):
            case Response(status=status) if 200 <= status < 300:
                return StartOutcome.STARTED
            case Response(status=409, body=body):
                return _decode_refusal(body)
            case Response(status=429 | 503):
                return StartOutcome.UNHEALTHY
            case Response(status=status) if status == MISDIRECTED:
                return AddressReused()
            case Response():
                return StartOutcome.REFUSED
            case NoResponse(was_sent=False):
                return StartOutcome.UNHEALTHY
        return StartOutcome.NO_REPLY

    def prepare_start(self, born: int) -> StartOutcome | AddressReused | None:
        """Opens a connection to an incarnation; returns why a start can't be sent."""
        lane = self._starts
        is_former = lane.born not in (None, born)
        if (lane.reopen() if is_former else lane.open()) is not None:
            return StartOutcome.UNHEALTHY
        if lane.born is None:
            match self._read_status(lane, None, 0, 0):
                case AddressReused() as reused:
                    return reused
                case OrderFenced():
                    return StartOutcome.FENCED
                case NoUsableReply():
                    return StartOutcome.UNHEALTHY
        if lane.born != born:
            self._polls.interrupt()
            return StartOutcome.REFUSED
        return None

    def stop(self, name: TaskName, number: int) -> bool:
        """Orders a stop; returns whether it need not be repeated."""
        payload = {
            "task": str(name),
            "run": number,
            "fencingToken": self._fencing_token,
        }
        if self._stops.open() is not None:
            return False
        return _needs_no_repeat(
            self._stops.send("/v1/run-stop", payload, ORDER_TIMEOUT_MS)
        )

    def pace(self, name: TaskName, number: int, percent: int) -> bool:
        """Sets the speed of a run; returns whether the order need not be repeated."""
        payload = {
            "task": str(name),
            "run": number,
            "percent": percent,
            "fencingToken": self._fencing_token,
        }
        if self._starts.open() is not None:
            return False
        return _needs_no_repeat(
            self._starts.send("/v1/pace", payload, ORDER_TIMEOUT_MS)
        )

    def poll(
        self, until_ms: int | None, acknowledged: int, wait_ms: int
    ) -> PollOutcome:
        """Extends the lease, acknowledges ends and returns the host's runs.

        The first poll on a connection does neither and doesn't wait: another
        incarnation may answer it, with another clock and other numbers of ends.

        Args:
            until_ms: End of the lease on the host's clock; None keeps the present one.
            acknowledged: Sequence number of the last end that the host may remove.
            wait_ms: Longest time to wait for another run to end.
        """
        if (failure := self._polls.open()) is not None:
            return NoUsableReply(failure.detail)
        if self._polls.born is None:
            return self._read_status(self._polls, None, 0, 0)
        return self._read_status(self._polls, until_ms, acknowledged, wait_ms)

    def close(self) -> None:
        """Closes all connections, after the calls in progress."""
        for lane in (self._starts, self._stops, self._polls):
            lane.close()

    def _read_status(
        self, lane: HostLane, until_ms: int | None, acknowledged: int, wait_ms: int
    ) -> PollOutcome:
        payload = {
            "fencingToken": self._fencing_token,
            "acknowledged": acknowledged,
            "waitMs": wait_ms,
        }
        if until_ms is not None:
            payload["untilMs"] = until_ms
        outcome = lane.send("/v1/hold", payload, ORDER_TIMEOUT_MS + wait_ms)
        match outcome:
            case Response(status=status, body=body) if 200 <= status < 300:
                decoded = _decode_status(body)
                if isinstance(decoded, HostStatus):
                    lane.born = decoded.born
                return decoded
            case Response(status=409):
                return OrderFenced()
            case Response(status=status) if status == MISDIRECTED:
                return AddressReused()
            case Response(status=status):
                return NoUsableReply(f"status {status}")
        return NoUsableReply(outcome.detail)


def _needs_no_repeat(outcome: CallOutcome) -> bool:
    """Returns whether an order was accepted, fenced off or sent to another host."""
    match outcome:
        case Response(status=status):
            return status < 300 or status in (400, 409, MISDIRECTED)
    return False


def _decode_refusal(body: bytes) -> StartOutcome:
    try:
        refusal = msgspec.json.decode(body, type=_RefusalBody)
    except msgspec.MsgspecError:
        return StartOutcome.REFUSED
    return _REFUSAL_OUTCOMES.get(refusal.reason, StartOutcome.REFUSED)


def _decode_status(body: bytes) -> PollOutcome:
    try:
        status = msgspec.json.decode(body, type=_StatusBody)
        running = [_decode_run(row) for row in status.running]
        ends = [_decode_end(row) for row in status.finished]
    except (msgspec.MsgspecError, ValueError, IndexError, TypeError) as exc:
        return NoUsableReply(f"unreadable status: {exc}")
    return HostStatus(
        clock_ms=status.clock_ms,
        born=status.born,
        running=tuple(run for run in running if run is not None),
        ends=tuple(end for end in ends if end is not None),
        has_all_ends=len(ends) < MAX_ENDS,
    )


def _decode_run(row: list[Any]) -> RunReport | None:
    name = TaskName.parse(str(row[0]))
    load = int(row[4]) if len(row) > 4 else 0
    return name and RunReport(name, int(row[1]), str(row[2]), int(row[3]), load)


def _decode_end(row: list[Any]) -> EndReport | None:
    name = TaskName.parse(str(row[1]))
    how = RunOutcome(row[3])
    return name and EndReport(int(row[0]), name, int(row[2]), how, str(row[4]))
