"""The request desk together with the limits and shares that it works under."""

from __future__ import annotations

from .messages import (
    ConfigurationInForce,
    GrantArrived,
    HostsListed,
    HostsReported,
    LeaveBegun,
    SendHostNews,
    SendReport,
    SendUsage,
    ServingEffect,
    ServingMessage,
    SourceEnded,
    TermFollowed,
    UsageArrived,
    ZoneShared,
)
from .serving import Serving, ServingContext
from .settings import ServingSettings

__all__ = [
    "ConfigurationInForce",
    "GrantArrived",
    "HostsListed",
    "HostsReported",
    "LeaveBegun",
    "SendHostNews",
    "SendReport",
    "SendUsage",
    "Serving",
    "ServingEffect",
    "ServingMessage",
    "ServingContext",
    "ServingSettings",
    "SourceEnded",
    "TermFollowed",
    "UsageArrived",
    "ZoneShared",
]
