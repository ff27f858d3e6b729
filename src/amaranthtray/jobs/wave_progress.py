"""Stored form of a wave's progress, which the next holder of the duty reads."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..domain.ids import HostId
from ..domain.upkeep.model import MachineName
from ..domain.upkeep.waves import resume

if TYPE_CHECKING:
    from ..domain.upkeep.model import Wave


class _WaveProgress(msgspec.Struct):
    """Progress of a wave, stored for the next holder."""

    done: list[str] = []
    down: dict[str, str] = {}
    confirmed: list[str] = []
    begun_wall_ms: int = 0
    is_over: bool = False


def encode_progress(wave: Wave, *, is_over: bool) -> bytes:
    """Returns the stored form of a wave's progress."""
    progress = _WaveProgress(
        done=sorted(wave.done),
        down=dict(sorted(wave.down.items())),
        confirmed=sorted(wave.confirmed),
        begun_wall_ms=wave.begun_wall_ms,
        is_over=is_over,
    )
    return msgspec.json.encode(progress)


def restore_progress(wave: Wave, stored: bytes, now_ms: int, wall_ms: int) -> None:
    """Sets the progress that an earlier holder has stored.

    Args:
        wave: The wave, without any progress.
        stored: Stored form of the progress.
        now_ms: Steady-clock time.
        wall_ms: Wall-clock time.

    Raises:
        msgspec.MsgspecError: ``stored`` is not a wave's progress.
    """
    saved = msgspec.json.decode(stored, type=_WaveProgress)
    wave.done = {MachineName(each) for each in saved.done}
    wave.down = {MachineName(each): HostId(host) for each, host in saved.down.items()}
    wave.confirmed = {MachineName(each) for each in saved.confirmed}
    wave.uncertain = set(wave.down) - wave.confirmed
    resume(wave, saved.begun_wall_ms, now_ms, wall_ms)
    wave.is_announced, wave.is_over = True, saved.is_over
