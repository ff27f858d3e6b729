"""Control calls to backend servers, on threads apart from those of the callers."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import msgspec
import urllib3

from ..backend import wire
from ..domain.requests.messages import CheckpointTask, RenewLeases, StopTask

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..backend.connections import ConnectionPools
    from ..domain.ids import AttemptId, HostId
    from ..domain.inventory import Host
    from ..domain.requests.messages import DispatcherEffect

HTTP_OK = 200


class TaskControlClient:
    """Stops and checkpoints tasks and renews their leases.

    Args:
        pools: Connections to the backend servers.
        call_timeout_ms: Timeout of each call; the lease times rely on it.
        threads: Maximum number of calls in flight.
        on_attempts_ended: Called with attempts that a host reports as ended.
    """

    def __init__(
        self,
        pools: ConnectionPools,
        *,
        call_timeout_ms: int = 2_000,
        threads: int = 4,
        on_attempts_ended: Callable[[HostId, tuple[AttemptId, ...]], None],
    ) -> None:
        self._pools = pools
        self._timeout_s = call_timeout_ms / 1_000
        self._on_ended = on_attempts_ended
        self._executor = ThreadPoolExecutor(threads, thread_name_prefix="control")
        self.failed_calls = 0

    def run(self, effect: DispatcherEffect, host: Host | None) -> None:
        """Queues a control call; drops it if the host is no longer listed."""
        if host is not None:
            self._executor.submit(self._call, effect, host)

    def stop(self) -> None:
        """Cancels the calls that have not started."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _call(self, effect: DispatcherEffect, host: Host) -> None:
        match effect:
            case StopTask(attempt_id=attempt_id):
                self._stop_task(host, attempt_id)
            case CheckpointTask(attempt_id=attempt_id):
                self._post(host, wire.control_path(attempt_id, wire.CHECKPOINT), b"")
            case RenewLeases(attempt_ids=attempt_ids, ttl_ms=ttl_ms):
                renewal = wire.LeaseRenewal(tuple(attempt_ids), ttl_ms)
                self._post(host, wire.LEASES_PATH, msgspec.json.encode(renewal))

    def _stop_task(self, host: Host, attempt_id: AttemptId) -> None:
        reply = self._post(host, wire.control_path(attempt_id, wire.CANCEL), b"")
        if reply is None:
            return
        report = msgspec.json.decode(reply, type=wire.TaskReport)
        if report.state == wire.TaskState.ENDED:
            self._on_ended(host.host_id, (attempt_id,))

    def _post(self, host: Host, path: str, body: bytes) -> bytes | None:
        """Returns the body of a reply with status 200; None after any failure."""
        pool = self._pools.get(host.address, host.port)
        try:
            resp = pool.urlopen(
                "POST", path, body=body, retries=False, timeout=self._timeout_s
            )
        except (urllib3.exceptions.HTTPError, OSError):
            self.failed_calls += 1
            return None
        if resp.status != HTTP_OK:
            self.failed_calls += 1
            return None
        return resp.data
