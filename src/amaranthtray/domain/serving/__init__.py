"""Serving of requests at one entry, within limits and fair shares."""

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
