"""The labels of a host as selectors see them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..configuration.model import Configuration
    from ..inventory import Host

HOST_LABEL = "host"
ZONE_LABEL = "zone"
RACK_LABEL = "rack"
REGION_LABEL = "region"


def effective_labels(cfg: Configuration, host: Host) -> dict[str, str]:
    """Returns a host's labels: operators' over the platform's over its location.

    The location gives ``host``, ``zone``, ``rack`` and ``region``, so that a
    selector can name them without anybody labelling hosts.
    """
    return {
        HOST_LABEL: host.host_id,
        ZONE_LABEL: host.zone,
        RACK_LABEL: host.rack,
        REGION_LABEL: host.region,
        **host.labels,
        **cfg.host_labels.get(host.host_id, {}),
    }
