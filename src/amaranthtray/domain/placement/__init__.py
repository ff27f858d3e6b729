"""Placement: which pool each host belongs to, and the moves that lead there."""

from __future__ import annotations

from .labels import effective_labels
from .moves import Move, Preview, plan_moves, preview
from .pool_assignment import (
    by_precedence,
    check_ambiguity,
    desired_pool,
    desired_pools,
    first_matching_pool,
    pool_matches,
)
from .view import Member, PoolView, WaveTask, pool_views

__all__ = [
    "Member",
    "Move",
    "PoolView",
    "Preview",
    "WaveTask",
    "by_precedence",
    "check_ambiguity",
    "desired_pool",
    "desired_pools",
    "effective_labels",
    "first_matching_pool",
    "plan_moves",
    "pool_matches",
    "pool_views",
    "preview",
]
