"""Log lines for changes of state, rate-limited under a storm."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, TextIO

import logbook
import msgspec

from .settings import LogFormat, LogLevel, Settings

LINES_PER_EVENT = 10
"""Lines of one event within one interval; later ones are held back and counted."""

INTERVAL_MS = 10_000
WITHHELD = "[withheld]"

_SECRET_WORDS = frozenset({"key", "secret", "digest", "password", "token"})
_LEVELS = {
    LogLevel.DEBUG: logbook.DEBUG,
    LogLevel.INFO: logbook.INFO,
    LogLevel.WARNING: logbook.WARNING,
    LogLevel.ERROR: logbook.ERROR,
}


@dataclass(slots=True)
class _Interval:
    """Lines of one event since ``began_ms``."""

    began_ms: int
    written: int = 0
    held_back: int = 0


@dataclass(slots=True)
class StateLog:
    """Writes one line for each change of state; safe to use from any thread.

    Attributes:
        settings: Gives level, format, entry and zone.
        stream: Where the lines go.
        clock_ms: Monotonic clock in milliseconds.
    """

    settings: Settings
    stream: TextIO
    clock_ms: Callable[[], int]
    _logger: logbook.Logger = field(init=False)
    _intervals: dict[str, _Interval] = field(init=False, default_factory=dict)
    _lock: threading.Lock = field(init=False, default_factory=threading.Lock)

    def __post_init__(self) -> None:
        level = _LEVELS[self.settings.logs.level]
        handler = logbook.StreamHandler(self.stream, level=level)
        handler.formatter = _FORMATTERS[self.settings.logs.format]
        self._logger = logbook.Logger("amaranthtray", level=level)
        self._logger.handlers.append(handler)

    def changed(
        self, event: str, *, level: LogLevel = LogLevel.INFO, **fields: object
    ) -> None:
        """Writes that something changed state.

        Args:
            event: Fixed name of the event, for example ``"duty-taken"``.
            level: Severity.
            fields: What changed; give ``revision`` and ``term`` where they apply.
        """
        with self._lock:
            now_ms = self.clock_ms()
            self._report_held_back(now_ms)
            interval = self._intervals.setdefault(event, _Interval(now_ms))
            if interval.written >= LINES_PER_EVENT:
                interval.held_back += 1
                return
            interval.written += 1
            self._write(event, level, fields)

    def flush(self) -> None:
        """Writes how many lines were held back in intervals that are over."""
        with self._lock:
            self._report_held_back(self.clock_ms())

    def _report_held_back(self, now_ms: int) -> None:
        for event, interval in list(self._intervals.items()):
            if now_ms - interval.began_ms < INTERVAL_MS:
                continue
            del self._intervals[event]
            if interval.held_back:
                fields = {"event_held_back": event, "lines": interval.held_back}
                self._write("lines-held-back", LogLevel.WARNING, fields)

    def _write(self, event: str, level: LogLevel, fields: dict[str, Any]) -> None:
        entry = self.settings.entry
        context = {"entry": entry.id, "zone": entry.zone}
        line = context | {name: _shown(name, val) for name, val in fields.items()}
        self._logger.log(_LEVELS[level], event, extra=line)


def _shown(name: str, value: object) -> object:
    """Returns ``value``, or a placeholder where the name speaks of a secret."""
    if _SECRET_WORDS.intersection(name.split("_")) and not name.endswith("_id"):
        return WITHHELD
    return value


def _as_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    line = {
        "time": record.time.isoformat(timespec="milliseconds"),
        "level": record.level_name.lower(),
        "event": record.msg,
        **record.extra,
    }
    return msgspec.json.encode(line, enc_hook=str).decode()


def _as_text(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    time = record.time.isoformat(timespec="milliseconds")
    pairs = " ".join(f"{name}={val!s}" for name, val in record.extra.items())
    line = f"{time} {record.level_name.lower()} {record.msg} {pairs}"
    return line.replace("\n", "\\n")


_FORMATTERS = {LogFormat.JSON: _as_json, LogFormat.TEXT: _as_text}
