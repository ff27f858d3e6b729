"""Placement: which one pool each host belongs to, and the moves to get there."""

from __future__ import annotations

from .labels import effective_labels
from .moves import Move, Preview, plan_moves, preview
from .pool_assignment import (
    check_ambiguity,
    claims,
    desired_pool,
    desired_pools,
    first_claim,
    in_order,
)
from .view import Member, PoolView, WaveTask, pool_views

__all__ = [
    "Member",
    "Move",
    "PoolView",
    "Preview",
    "WaveTask",
    "check_ambiguity",
    "claims",
    "desired_pool",
    "desired_pools",
    "effective_labels",
    "first_claim",
    "in_order",
    "plan_moves",
    "pool_views",
    "preview",
]
