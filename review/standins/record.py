"""The record of a case: what was sent, answered and run, with times."""

from __future__ import annotations

import threading
import time
from pathlib import Path


class Record:
    """Lines with the seconds since the begin of the case; thread-safe."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._begun = time.monotonic()
        self._lock = threading.Lock()
        self._lines: list[str] = []

    def add(self, text: str) -> None:
        with self._lock:
            self._lines.append(f"{time.monotonic() - self._begun:8.3f} {text}")

    def say(self, text: str) -> None:
        """Adds a line and prints it."""
        self.add(text)
        print(text, flush=True)

    def seconds(self, at: float) -> float:
        return round(at - self._begun, 3)

    def write(self) -> None:
        with self._lock:
            self._path.write_text("\n".join(self._lines) + "\n")
