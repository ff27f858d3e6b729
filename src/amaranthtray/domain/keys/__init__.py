"""API keys of callers and operators."""

from __future__ import annotations

from .authentication import (
    CallerIdentity,
    KeyRefusalReason,
    KeyRefused,
    SelectorMatcher,
    authenticate,
    identify_caller,
)
from .minting import MintedKey, digest_of, key_from_secret, mint_key
from .operators import (
    authorize,
    bootstrap_operator,
    identify_operator,
    may_change,
    required_role,
)

__all__ = [
    "CallerIdentity",
    "KeyRefusalReason",
    "KeyRefused",
    "MintedKey",
    "SelectorMatcher",
    "authenticate",
    "authorize",
    "bootstrap_operator",
    "digest_of",
    "identify_caller",
    "identify_operator",
    "key_from_secret",
    "may_change",
    "mint_key",
    "required_role",
]
