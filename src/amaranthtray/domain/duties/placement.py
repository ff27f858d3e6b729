"""Which entries take a duty first: those whose machines can carry it."""

from __future__ import annotations

from dataclasses import dataclass

FULL_CORES = 1.0
FULL_LINK_MBPS = 50.0
"""A machine of this size carries the conductors of two pools at their peaks."""

DELAY_PER_DUTY_MS = 150
"""Delay, for each duty that an entry holds, before it acquires another."""

SMALL_DELAY_MS = 600
"""Delay of the smallest entries, so that any larger one in reach is earlier."""


@dataclass(frozen=True, slots=True)
class MachineSize:
    """Processor and network link of an entry's machine.

    Attributes:
        cores: Processor time per second, in seconds of one core.
        link_mbps: Bandwidth of its link, in megabits per second.
    """

    cores: float = FULL_CORES
    link_mbps: float = FULL_LINK_MBPS

    @property
    def share(self) -> float:
        """Returns the part of a full-sized machine's work that it can do, at most 1."""
        return min(self.cores / FULL_CORES, self.link_mbps / FULL_LINK_MBPS, 1.0)


def acquire_delay_ms(size: MachineSize, held_duties: int) -> int:
    """Returns how long an entry leaves a free duty to entries that suit it better."""
    return DELAY_PER_DUTY_MS * held_duties + int(SMALL_DELAY_MS * (1 - size.share))
