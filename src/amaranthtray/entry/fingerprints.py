"""Digest of everything that defines the work of a request."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..domain.requests.model import Request

DIGEST_BYTES = 16


def fingerprint_of(request: Request, body: bytes) -> str:
    """Returns a digest that tells a copy from other content under the same id."""
    digest = hashlib.blake2b(body, digest_size=DIGEST_BYTES)
    digest.update(f"\0{request.queue}\0{request.repeatable}".encode())
    return digest.hexdigest()
