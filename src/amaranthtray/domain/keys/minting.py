"""Creation of keys of the form ``<key_id>.<secret>``, and their digests."""

from __future__ import annotations

import hashlib
import secrets
from dataclasses import dataclass

from ..configuration.key_ids import format_key_id
from ..ids import KeyId, Revision

KEY_SEPARATOR = "."
SECRET_BYTES = 32
ID_SUFFIX_BYTES = 5
MAX_KEY_TEXT_LENGTH = 256


@dataclass(frozen=True, slots=True)
class MintedKey:
    """A new key; its ``text`` is shown once and never stored.

    Attributes:
        key_id: Public part of the key.
        text: The whole key.
        digest: SHA-256 of the text, in hexadecimal.
    """

    key_id: KeyId
    text: str
    digest: str


def mint_key(revision: Revision) -> MintedKey:
    """Returns a new random key whose id contains the configuration revision in force.

    It reads random bytes from the operating system, so deterministic code must not
    call it.
    """
    suffix = secrets.token_hex(ID_SUFFIX_BYTES)
    key_id = format_key_id(revision, suffix)
    return key_from_secret(key_id, secrets.token_urlsafe(SECRET_BYTES))


def key_from_secret(key_id: KeyId, secret: str) -> MintedKey:
    """Returns the key with this id and secret."""
    text = f"{key_id}{KEY_SEPARATOR}{secret}"
    return MintedKey(key_id, text, digest_of(text))


def digest_of(key_text: str) -> str:
    """Returns the SHA-256 of a whole key, in hexadecimal."""
    return hashlib.sha256(key_text.encode()).hexdigest()
