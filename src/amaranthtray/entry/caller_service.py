"""What the callers' interface does, independent of the HTTP server."""

from __future__ import annotations
