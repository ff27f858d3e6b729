"""Keys are made where the command runs; only their digests leave it."""

from __future__ import annotations

import hashlib
import secrets
from dataclasses import dataclass

from ..domain.ids import KeyId

KEY_ID_BYTES = 6
SECRET_BYTES = 32


@dataclass(frozen=True, slots=True)
class NewKey:
    """A key that was just made.

    Attributes:
        key_id: Public part, the prefix of the key.
        text: The whole key; printed once and never kept.
    """

    key_id: KeyId
    text: str

    @property
    def digest(self) -> str:
        """Returns the SHA-256 of the whole key, in hexadecimal."""
        return hashlib.sha256(self.text.encode()).hexdigest()


def make_key(prefix: str) -> NewKey:
    """Makes a key from the system's random source.

    Args:
        prefix: First letter of the key id; tells callers' keys from operators'.
    """
    key_id = KeyId(prefix + secrets.token_hex(KEY_ID_BYTES))
    return NewKey(key_id, f"{key_id}.{secrets.token_urlsafe(SECRET_BYTES)}")
