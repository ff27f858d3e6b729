"""Fair shares of the teams in a full pool, over the whole fleet."""

from __future__ import annotations

from .aggregator import UsageAggregator
from .fair_shares import FairShares
from .frames import UsageFrame
from .settings import ShareSettings

__all__ = ["FairShares", "ShareSettings", "UsageFrame", "UsageAggregator"]
