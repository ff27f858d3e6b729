"""Key ids, which carry the configuration revision at which they were minted.

An id can be added only for a bounded number of revisions after its minting, so that
tombstones of withdrawn ids need not be kept for ever.
"""

from __future__ import annotations

import re

from ..ids import KeyId, Revision

KEY_ID_LIFETIME_REVISIONS = 4_096
"""Revisions after minting during which a key id can be added."""

_KEY_ID = re.compile(r"k([0-9a-f]{1,12})-([0-9a-z]{1,32})")
_DIGEST = re.compile(r"[0-9a-f]{64}")


def format_key_id(revision: Revision, suffix: str) -> KeyId:
    """Returns the id minted at a revision; ``suffix`` makes it unique."""
    return KeyId(f"k{revision:x}-{suffix}")


def minted_at(key_id: KeyId) -> Revision | None:
    """Returns the revision at which an id was minted; none if it is malformed."""
    match = _KEY_ID.fullmatch(key_id)
    return Revision(int(match[1], 16)) if match else None


def is_addable(key_id: KeyId, revision: Revision) -> bool:
    """Returns whether an id is young enough for the record at ``revision``."""
    minted = minted_at(key_id)
    if minted is None:
        return False
    return revision - KEY_ID_LIFETIME_REVISIONS <= minted < revision


def is_digest(text: str) -> bool:
    """Returns whether ``text`` is a SHA-256 in lower-case hexadecimal."""
    return _DIGEST.fullmatch(text) is not None
