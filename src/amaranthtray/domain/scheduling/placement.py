"""Which hosts the waiting tasks of a step go to."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..jobs.model import Resources, StepKey, StepSpec
    from .host import Host


class Choice(NamedTuple):
    """A task of the step and the host that it goes to."""

    number: int
    host: Host


def place_each(
    step: StepSpec, key: StepKey, waiting: Sequence[int], hosts: Iterable[Host]
) -> list[Choice]:
    """Places as many of the waiting tasks as fit, one by one."""
    room = _Room(step, key, hosts)
    choices = []
    for index in waiting:
        host = room.take()
        if host is None:
            break
        choices.append(Choice(index, host))
    return choices


def place_gang(
    step: StepSpec, key: StepKey, waiting: Sequence[int], hosts: Iterable[Host]
) -> list[Choice]:
    """Places all of the waiting tasks or none; on one rack where that helps."""
    open_hosts = list(hosts)
    groups = [open_hosts]
    if step.is_same_rack:
        racks = sorted({host.info.rack for host in open_hosts})
        by_rack = [[h for h in open_hosts if h.info.rack == rack] for rack in racks]
        groups = [*by_rack, open_hosts]
    for group in groups:
        choices = place_each(step, key, waiting, group)
        if len(choices) == len(waiting):
            return choices
    return []


class _Room:
    """Hosts that take the step, and what is left of them as tasks are placed."""

    def __init__(self, step: StepSpec, key: StepKey, hosts: Iterable[Host]) -> None:
        self._step = step
        self._need = step.reserved
        self._taken: Counter[str] = Counter()
        label = step.required_label
        self._hosts = [h for h in hosts if not label or label in h.info.labels]
        self._here = {h.info.id: h.count_of(key) for h in self._hosts}

    def take(self) -> Host | None:
        """Returns the best host for one more task, which then counts there."""
        best = min(
            (host for host in self._hosts if self._fits(host)),
            key=self._cost,
            default=None,
        )
        if best is not None:
            self._taken[best.info.id] += 1
        return best

    def _fits(self, host: Host) -> bool:
        taken = self._taken[host.info.id]
        limit = self._step.max_per_host
        if limit and self._here[host.info.id] + taken >= limit:
            return False
        return self._need.fits(self._left(host))

    def _left(self, host: Host) -> Resources:
        taken = self._taken[host.info.id]
        return host.free.minus(self._need.times(taken)) if taken else host.free

    def _cost(self, host: Host) -> tuple[float, ...]:
        """Near data first, then packed tightly, so that hosts stay free to move."""
        is_far = bool(self._step.data_rack) and host.info.rack != self._step.data_rack
        left = self._left(host)
        if self._step.is_lasting:
            return (is_far, not host.has_lasting, left.cpu)
        return (is_far, left.cpu)
