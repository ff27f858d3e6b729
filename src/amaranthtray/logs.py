"""Structured log of state changes, rate-limited for each event."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, TextIO

import logbook
import msgspec

from .settings import LogFormat, LogLevel, Settings

MAX_LINES_PER_INTERVAL = 10
"""Maximum number of lines of one event per interval; more are dropped and counted."""

INTERVAL_MS = 10_000
REDACTED = "[withheld]"

_SECRET_WORDS = frozenset({"key", "secret", "digest", "password", "token"})
_LEVELS = {
    LogLevel.DEBUG: logbook.DEBUG,
    LogLevel.INFO: logbook.INFO,
    LogLevel.WARNING: logbook.WARNING,
    LogLevel.ERROR: logbook.ERROR,
}


@dataclass(slots=True)
class _RateWindow:
    """Numbers of written and suppressed lines of one event since ``started_ms``."""

    started_ms: int
    written: int = 0
    suppressed: int = 0


@dataclass(slots=True)
class StateLog:
    """Writes a log line for each change of state; thread-safe.

    Attributes:
        settings: Settings with level, format, entry and zone.
        stream: Destination of the lines.
        clock_ms: Monotonic clock in milliseconds.
    """

    settings: Settings
    stream: TextIO
    clock_ms: Callable[[], int]
    _logger: logbook.Logger = field(init=False)
    _windows: dict[str, _RateWindow] = field(init=False, default_factory=dict)
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
        """Logs a change of state.

        Args:
            event: Constant name of the event, for example ``"duty-taken"``.
            level: Severity.
            fields: Details; include ``revision`` and ``term`` where they apply.
        """
        with self._lock:
            now_ms = self.clock_ms()
            self._report_suppressed(now_ms)
            window = self._windows.setdefault(event, _RateWindow(now_ms))
            if window.written >= MAX_LINES_PER_INTERVAL:
                window.suppressed += 1
                return
            window.written += 1
            self._write(event, level, fields)

    def flush(self) -> None:
        """Logs the number of lines suppressed in intervals that have ended."""
        with self._lock:
            self._report_suppressed(self.clock_ms())

    def _report_suppressed(self, now_ms: int) -> None:
        for event, window in list(self._windows.items()):
            if now_ms - window.started_ms < INTERVAL_MS:
                continue
            del self._windows[event]
            if window.suppressed:
                fields = {"event_held_back": event, "lines": window.suppressed}
                self._write("lines-held-back", LogLevel.WARNING, fields)

    def _write(self, event: str, level: LogLevel, fields: dict[str, Any]) -> None:
        entry = self.settings.entry
        context = {"entry": entry.id, "zone": entry.zone}
        line = context | {name: _redact(name, val) for name, val in fields.items()}
        self._logger.log(_LEVELS[level], event, extra=line)


def _redact(name: str, value: object) -> object:
    """Returns ``value``, or a placeholder if the field name suggests a secret."""
    if _SECRET_WORDS.intersection(name.split("_")) and not name.endswith("_id"):
        return REDACTED
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
