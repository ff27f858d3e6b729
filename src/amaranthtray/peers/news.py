"""Deduplication of host health updates that entries relay to each other."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

from .messages import HostNews

if TYPE_CHECKING:
    from ..domain.ids import HostId

REPEAT_AFTER_MS = 10_000
"""Time after which the same update is relayed again."""

_NewsItem: TypeAlias = "tuple[str, HostId]"


@dataclass(slots=True)
class HostNewsFilter:
    """Removes updates that were already relayed within ``REPEAT_AFTER_MS``."""

    _relayed_ms: dict[_NewsItem, int] = field(default_factory=dict)

    def filter_unseen(self, news: HostNews, now_ms: int) -> HostNews | None:
        """Returns the updates that were not relayed recently, or None; marks them."""
        self._remove_expired(now_ms)
        unseen = HostNews(
            leaving=self._unseen_hosts("leaving", news.leaving, now_ms),
            ejected=self._unseen_hosts("ejected", news.ejected, now_ms),
        )
        return unseen if unseen.leaving or unseen.ejected else None

    def _unseen_hosts(
        self, kind: str, hosts: tuple[HostId, ...], now_ms: int
    ) -> tuple[HostId, ...]:
        unseen = tuple(host for host in hosts if (kind, host) not in self._relayed_ms)
        for host in unseen:
            self._relayed_ms[kind, host] = now_ms
        return unseen

    def _remove_expired(self, now_ms: int) -> None:
        oldest_ms = now_ms - REPEAT_AFTER_MS
        for item in [item for item, at in self._relayed_ms.items() if at < oldest_ms]:
            del self._relayed_ms[item]
