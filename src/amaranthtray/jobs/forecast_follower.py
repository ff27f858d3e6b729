"""Follows the forecasts of all pools while jobs are submitted."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import msgspec
from returns.result import Success

from . import keys
from .clock import steady_ms
from .ledger import decode_report
from .steps import run_step

if TYPE_CHECKING:
    from ..domain.ids import PoolName
    from ..domain.scheduling.forecast import Forecast
    from ..store.contract import TransactionalStore
    from .event_log import EventLog

READ_EVERY_MS = 1_000
"""Time between reads; a forecast counts for twice as long."""


class ForecastFollower:
    """Reads the reports of all pools once a second while submissions arrive.

    Args:
        store: The platform's store.
        log: Log of the entry.
    """

    def __init__(self, store: TransactionalStore, log: EventLog) -> None:
        self._store = store
        self._log = log
        self._forecasts: dict[PoolName, Forecast] = {}
        self._read_ms: int | None = None
        self._is_wanted = threading.Event()

    def start(self) -> None:
        """Starts the thread; it reads nothing until a forecast is asked for."""
        threading.Thread(target=self._run, daemon=True).start()

    def forecast(self, pool: PoolName) -> Forecast | None:
        """Returns the last read forecast of a pool and lets the next be read.

        Its age must be checked: it may be that of a conductor that is gone.
        """
        self._is_wanted.set()
        return self._forecasts.get(pool)

    def step(self) -> None:
        """Reads all reports; those of before stay if the store does not reply."""
        listed = self._store.list_stale(keys.REPORTS_PREFIX)
        if not isinstance(listed, Success):
            self._log.event("forecasts-not-read", why=repr(listed.failure()))
            return
        forecasts: dict[PoolName, Forecast] = {}
        for item in listed.unwrap().items:
            pool = keys.pool_of_report(item.key)
            try:
                forecast = decode_report(item.value).forecast
            except msgspec.MsgspecError as exc:
                self._log.event("report-unreadable", pool=pool, why=str(exc))
                continue
            if forecast is not msgspec.UNSET:
                forecasts[pool] = forecast
        self._forecasts = forecasts

    def _run(self) -> None:
        while True:
            self._is_wanted.wait()
            self._is_wanted.clear()
            begun_ms = steady_ms()
            run_step(self._log, "forecasts", self.step, otherwise=None)
            pause_ms = READ_EVERY_MS - (steady_ms() - begun_ms)
            threading.Event().wait(max(pause_ms, 0) / 1_000)
