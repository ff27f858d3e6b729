"""Which process can send to which; cuts may be in one direction only."""

from __future__ import annotations

from dataclasses import dataclass, field

PLATFORM = "platform"


@dataclass(frozen=True, slots=True)
class _Break:
    source: str
    target: str
    one_way: bool


@dataclass(slots=True)
class Network:
    """Processes, the zones that they are in, and the cuts between them.

    Attributes:
        zones: Zone of each process; the platform is in none.
    """

    zones: dict[str, str] = field(default_factory=dict)
    _breaks: list[_Break] = field(default_factory=list)

    def knows(self, name: str) -> bool:
        """Returns whether a name is a process, a zone or the platform."""
        return name == PLATFORM or name in self.zones or name in self.zones.values()

    def cut(self, source: str, target: str, *, one_way: bool) -> bool:
        """Cuts one from the other; false if that is cut already."""
        if self._find(source, target) is not None:
            return False
        self._breaks.append(_Break(source, target, one_way))
        return True

    def heal(self, source: str, target: str) -> bool:
        """Ends a cut; false if there is none with these names."""
        found = self._find(source, target)
        if found is not None:
            self._breaks.remove(found)
        return found is not None

    def passes(self, sender: str, receiver: str) -> bool:
        """Returns whether a message arrives."""
        return not any(self._stops(item, sender, receiver) for item in self._breaks)

    def joins(self, one: str, other: str) -> bool:
        """Returns whether messages pass in both directions."""
        return self.passes(one, other) and self.passes(other, one)

    def _stops(self, item: _Break, sender: str, receiver: str) -> bool:
        forth = self._is_in(sender, item.source) and self._is_in(receiver, item.target)
        back = self._is_in(sender, item.target) and self._is_in(receiver, item.source)
        return forth or (back and not item.one_way)

    def _is_in(self, process: str, group: str) -> bool:
        return process == group or self.zones.get(process) == group

    def _find(self, source: str, target: str) -> _Break | None:
        matching = (
            item
            for item in self._breaks
            if (item.source, item.target) == (source, target)
        )
        return next(matching, None)
