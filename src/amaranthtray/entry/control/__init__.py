"""The control plane of an entry: its work with other entries and the platform.

Nothing here has a thread or a socket: the owner calls ``ControlPlane.step`` and passes
in the store, the links and the clock, so that the scenarios run the same code.
"""

from __future__ import annotations

from .control import ControlContext, ControlPlane
from .ports import Links, ServingPort

__all__ = ["ControlContext", "ControlPlane", "Links", "ServingPort"]
