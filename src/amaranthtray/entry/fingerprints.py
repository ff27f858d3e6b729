"""Digest of all that defines a request's work."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..domain.requests.model import Request

DIGEST_BYTES = 16


def fingerprint_of(request: Request, body: bytes) -> str:
    """Returns the digest that tells a copy of a request from another request."""
    digest = hashlib.blake2b(body, digest_size=DIGEST_BYTES)
    digest.update(f"\0{request.queue}\0{request.repeatable}".encode())
    return digest.hexdigest()
