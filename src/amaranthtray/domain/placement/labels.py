"""The labels of a host that selectors are matched against."""

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
    """Returns a host's labels from its location, the platform and operators.

    Labels set by operators override those of the platform, which override those of
    the location. The location provides ``host``, ``zone``, ``rack`` and ``region``,
    so that selectors can use them although nobody set them as labels.
    """
    return {
        HOST_LABEL: host.host_id,
        ZONE_LABEL: host.zone,
        RACK_LABEL: host.rack,
        REGION_LABEL: host.region,
        **host.labels,
        **cfg.host_labels.get(host.host_id, {}),
    }
