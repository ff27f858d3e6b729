"""Names the outcome of a failed write in metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..store.contract import Conflict, Conflicts, EffectUnknown

if TYPE_CHECKING:
    from ..store.contract import StoreFailure


def write_outcome(failure: StoreFailure) -> str:
    """Returns whether a failed write conflicted, may have taken effect, or did not."""
    match failure:
        case Conflict() | Conflicts():
            return "conflict"
        case EffectUnknown():
            return "unknown"
    return "not_written"
