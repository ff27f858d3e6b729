"""Idempotency claims of virtual entries in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure, Success

from ..domain.requests.idempotency_messages import (
    Claim,
    ClaimAbsent,
    ClaimHeld,
    ClaimResult,
    ClaimUnavailable,
    ClaimUnsure,
    ClaimWon,
)
from ..store.contract import Conflict, EffectUnknown, Versioned

if TYPE_CHECKING:
    from ..domain.requests.tracked import RequestKey
    from ..store.contract import Store

PREFIX = "claims/"


def create_claim(store: Store, key: RequestKey, claim: Claim) -> ClaimResult:
    """Claims a request, unless another entry has."""
    match store.create(_claim_key(key), msgspec.json.encode(claim)):
        case Success():
            return ClaimWon()
        case Failure(Conflict(found=Versioned(value=held))):
            return ClaimHeld(msgspec.json.decode(held, type=Claim))
        case Failure(EffectUnknown()):
            return ClaimUnsure()
    return ClaimUnavailable()


def read_claim(store: Store, key: RequestKey) -> ClaimResult:
    """Returns who has claimed a request."""
    match store.get(_claim_key(key)):
        case Success(Versioned(value=value)):
            return ClaimHeld(msgspec.json.decode(value, type=Claim))
        case Success(_):
            return ClaimAbsent()
    return ClaimUnavailable()


def _claim_key(key: RequestKey) -> str:
    return f"{PREFIX}{key.team}/{key.request_id}"
