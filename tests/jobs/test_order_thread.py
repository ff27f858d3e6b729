"""Orders that wait for a host which answers late."""

from __future__ import annotations

import threading

from amaranthtray.domain.ids import HostId
from amaranthtray.domain.jobs.model import JobId, TaskName
from amaranthtray.domain.scheduling.orders import HostOrder, PaceRun, StopRun
from amaranthtray.jobs.event_log import EventLog
from amaranthtray.jobs.order_thread import OrderThread

HOST, NAME = HostId("h"), TaskName(JobId("a"), 0, 0, 0)
STOP = StopRun(HOST, NAME, 1)


def carried_out(*waiting: HostOrder) -> list[HostOrder]:
    """Returns the orders that are carried out if some come during the first one."""
    sent: list[HostOrder] = []
    is_waiting = threading.Event()

    def carry_out(order: HostOrder, queued_ms: int) -> None:
        is_waiting.wait()
        sent.append(order)

    thread = OrderThread(carry_out, EventLog({}, write=lambda data: None))
    thread.put(PaceRun(HOST, NAME, 1, 100))
    for order in waiting:
        thread.put(order)
    thread.close()
    is_waiting.set()
    assert thread._thread is not None
    thread._thread.join()
    return sent[1:]


def test_a_stop_that_is_ordered_again_while_it_waits_is_sent_once() -> None:
    """Guards against a queue that grows with each report while a host answers late."""
    other = StopRun(HOST, NAME, 2)
    assert carried_out(STOP, other, STOP, STOP) == [STOP, other]


def test_a_stop_that_must_not_be_given_up_is_sent_beside_a_voluntary_one() -> None:
    """Guards against a run that goes on, as its voluntary stop was not repeated."""
    voluntary = StopRun(HOST, NAME, 1, is_voluntary=True)
    assert carried_out(voluntary, STOP) == [voluntary, STOP]


def test_a_pace_that_is_ordered_again_is_set_last() -> None:
    slow, fast = PaceRun(HOST, NAME, 1, 30), PaceRun(HOST, NAME, 1, 60)
    assert carried_out(slow, fast, slow) == [slow, fast, slow]
