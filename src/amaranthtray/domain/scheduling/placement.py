"""Which hosts the waiting tasks of a step go to."""

from __future__ import annotations

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
    """Places as many of the waiting tasks as fit, host by host in order of cost."""
    choices: list[Choice] = []
    for host in sorted(_suitable(step, hosts), key=lambda each: _cost(step, each)):
        if len(choices) == len(waiting):
            break
        count = min(_fitting(step, key, host), len(waiting) - len(choices))
        numbers = waiting[len(choices) : len(choices) + count]
        choices += [Choice(number, host) for number in numbers]
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


def tasks_that_fit(step: StepSpec, room: Resources) -> int:
    """Returns how many tasks of a step go into a room on one host."""
    need = step.reserved
    shares = [have // each for each, have in zip(need, room, strict=True) if each]
    count = min(shares, default=step.count)
    return max(0, min(count, step.max_per_host or count))


def _suitable(step: StepSpec, hosts: Iterable[Host]) -> list[Host]:
    """Returns the hosts that take one task of the step at least."""
    label, need = step.required_label, step.reserved
    return [
        host
        for host in hosts
        if need.fits(host.free) and (not label or label in host.info.labels)
    ]


def _fitting(step: StepSpec, key: StepKey, host: Host) -> int:
    """Returns how many more tasks of a step a host takes."""
    count = tasks_that_fit(step, host.free)
    if step.max_per_host:
        count = min(count, step.max_per_host - host.count_of(key))
    return max(count, 0)


def _cost(step: StepSpec, host: Host) -> tuple[bool, bool, int]:
    """Near data first, then packed tightly, so that hosts stay free to move."""
    is_far = bool(step.data_rack) and host.info.rack != step.data_rack
    return is_far, step.is_lasting and not host.has_lasting, host.free.cpu
