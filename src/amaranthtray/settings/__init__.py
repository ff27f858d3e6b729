"""Settings of an entry: TOML files, environment overrides and validated models."""

from __future__ import annotations

from .load import SECRET_VARIABLE, load, loads, peer_secret, read_text
from .model import (
    BootstrapSettings,
    EntrySettings,
    HostListSettings,
    LogFormat,
    LogLevel,
    LogSettings,
    MetricSettings,
    PeerSettings,
    PlatformSettings,
    RequestSettings,
    Settings,
    TraceSettings,
)
from .toml_document import TomlDocument

__all__ = [
    "SECRET_VARIABLE",
    "BootstrapSettings",
    "EntrySettings",
    "HostListSettings",
    "LogFormat",
    "LogLevel",
    "LogSettings",
    "MetricSettings",
    "PeerSettings",
    "PlatformSettings",
    "RequestSettings",
    "Settings",
    "TomlDocument",
    "TraceSettings",
    "load",
    "loads",
    "peer_secret",
    "read_text",
]
