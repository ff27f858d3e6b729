"""Which process can send to which; a cut may block one direction only."""

from __future__ import annotations

from dataclasses import dataclass, field

PLATFORM = "platform"


@dataclass(frozen=True, slots=True)
class _Cut:
    source: str
    target: str
    one_way: bool


@dataclass(slots=True)
class Network:
    """The zones of all processes and the cuts between them.

    Attributes:
        zones: Zone of each process; the platform is in no zone.
    """

    zones: dict[str, str] = field(default_factory=dict)
    _cuts: list[_Cut] = field(default_factory=list)

    def has_name(self, name: str) -> bool:
        """Returns whether a name is a process, a zone or the platform."""
        return name == PLATFORM or name in self.zones or name in self.zones.values()

    def cut(self, source: str, target: str, *, one_way: bool) -> bool:
        """Adds a cut; returns whether there was none with these names."""
        if self._find(source, target) is not None:
            return False
        self._cuts.append(_Cut(source, target, one_way))
        return True

    def heal(self, source: str, target: str) -> bool:
        """Removes a cut; returns whether there was one with these names."""
        found = self._find(source, target)
        if found is not None:
            self._cuts.remove(found)
        return found is not None

    def delivers(self, sender: str, receiver: str) -> bool:
        """Returns whether a message from ``sender`` reaches ``receiver``."""
        return not any(self._blocks(item, sender, receiver) for item in self._cuts)

    def is_connected(self, one: str, other: str) -> bool:
        """Returns whether messages are delivered in both directions."""
        return self.delivers(one, other) and self.delivers(other, one)

    def _blocks(self, item: _Cut, sender: str, receiver: str) -> bool:
        forth = self._is_in(sender, item.source) and self._is_in(receiver, item.target)
        back = self._is_in(sender, item.target) and self._is_in(receiver, item.source)
        return forth or (back and not item.one_way)

    def _is_in(self, process: str, group: str) -> bool:
        return process == group or self.zones.get(process) == group

    def _find(self, source: str, target: str) -> _Cut | None:
        matching = (
            item
            for item in self._cuts
            if (item.source, item.target) == (source, target)
        )
        return next(matching, None)
