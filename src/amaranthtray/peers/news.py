"""News of hosts, passed on once."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

from .messages import HostNews

if TYPE_CHECKING:
    from ..domain.ids import HostId

REPEAT_MS = 10_000
"""Time after which the same news is passed on again."""

_Item: TypeAlias = "tuple[str, HostId]"


@dataclass(slots=True)
class HostNewsFilter:
    """Remembers for some time which news has passed."""

    _passed_ms: dict[_Item, int] = field(default_factory=dict)

    def take(self, news: HostNews, now_ms: int) -> HostNews | None:
        """Returns the part of the news that did not pass lately, if there is one."""
        self._forget(now_ms)
        novel = HostNews(
            leaving=self._novel("leaving", news.leaving, now_ms),
            ejected=self._novel("ejected", news.ejected, now_ms),
        )
        return novel if novel.leaving or novel.ejected else None

    def _novel(
        self, kind: str, hosts: tuple[HostId, ...], now_ms: int
    ) -> tuple[HostId, ...]:
        novel = tuple(one for one in hosts if (kind, one) not in self._passed_ms)
        for host in novel:
            self._passed_ms[kind, host] = now_ms
        return novel

    def _forget(self, now_ms: int) -> None:
        oldest_ms = now_ms - REPEAT_MS
        for item in [one for one, at in self._passed_ms.items() if at < oldest_ms]:
            del self._passed_ms[item]
