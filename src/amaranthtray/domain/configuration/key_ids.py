"""Key ids, which contain the configuration revision at which they were minted.

An id can be added only for a bounded number of revisions after it was minted, so that
tombstones of withdrawn ids can be removed after that.
"""

from __future__ import annotations

import re

from ..ids import KeyId, Revision

KEY_ID_LIFETIME_REVISIONS = 4_096
"""Number of revisions after minting during which a key id can be added."""

_KEY_ID = re.compile(r"k([0-9a-f]{1,12})-([0-9a-z]{1,32})")
_DIGEST = re.compile(r"[0-9a-f]{64}")


def format_key_id(revision: Revision, suffix: str) -> KeyId:
    """Returns the key id for a revision; ``suffix`` must make it unique."""
    return KeyId(f"k{revision:x}-{suffix}")


def minted_at(key_id: KeyId) -> Revision | None:
    """Returns the revision at which an id was minted; ``None`` if it is malformed."""
    match = _KEY_ID.fullmatch(key_id)
    return Revision(int(match[1], 16)) if match else None


def is_addable(key_id: KeyId, revision: Revision) -> bool:
    """Returns whether the record at ``revision`` may add an id, by the id's age."""
    minted = minted_at(key_id)
    if minted is None:
        return False
    return revision - KEY_ID_LIFETIME_REVISIONS <= minted < revision


def is_digest(text: str) -> bool:
    """Returns whether ``text`` is a SHA-256 in lower-case hexadecimal."""
    return _DIGEST.fullmatch(text) is not None
