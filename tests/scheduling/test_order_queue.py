"""Orders to one host are sent in turns of their jobs."""

from __future__ import annotations

from amaranthtray.domain.jobs.model import JobId
from amaranthtray.domain.scheduling.order_queue import OrderQueue


def taken(queue: OrderQueue[int], count: int) -> list[int | None]:
    return [queue.take() for _ in range(count)]


def test_an_order_does_not_wait_for_all_orders_of_a_large_job() -> None:
    """Guards against a job whose start is withheld, as thousands are queued before."""
    queue: OrderQueue[int] = OrderQueue()
    for number in range(5_000):
        queue.put(JobId("large"), number)
    assert taken(queue, 1) == [0]
    queue.put(JobId("small"), -1)
    assert -1 in taken(queue, 2)


def test_orders_of_a_job_stay_in_order_and_none_is_lost() -> None:
    queue: OrderQueue[int] = OrderQueue()
    for number in range(6):
        queue.put(JobId("ab"[number % 2]), number)
    queue.put(JobId("a"), 6)
    assert taken(queue, 8) == [0, 1, 2, 3, 4, 5, 6, None]
