"""What an entry does with other entries and the platform, besides serving.

Nothing here has a thread or a socket: the owner calls ``ControlPlane.step`` and passes in
the store, the links and the clock, so that the entry and the scenarios run the same.
"""

from __future__ import annotations

from .control import ControlContext, ControlPlane
from .ports import Links, ServingPort

__all__ = ["Control", "ControlParts", "Links", "ServingPort"]
