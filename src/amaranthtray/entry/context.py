"""Objects that all tasks of an entry share."""

from __future__ import annotations

from dataclasses import dataclass

from ..domain.configuration.log import Rules
from ..domain.ids import EntryId, Incarnation, ZoneId
from ..settings import Settings
from .config_view import ConfigView
from .host_list import HostList


@dataclass(frozen=True, slots=True)
class EntryContext:
    """Identity and settings of an entry, its configuration and its host list.

    Attributes:
        incarnation: Identifies this run of the entry.
    """

    settings: Settings
    incarnation: Incarnation
    view: ConfigView
    hosts: HostList
    rules: Rules

    @property
    def entry(self) -> EntryId:
        """Returns the id of this entry."""
        return EntryId(self.settings.entry.id)

    @property
    def zone(self) -> ZoneId:
        """Returns the availability zone of this entry."""
        return ZoneId(self.settings.entry.zone)
