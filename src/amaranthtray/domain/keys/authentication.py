"""Whether a caller's key opens a queue."""

from __future__ import annotations

import hmac
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, TypeAlias

from ..ids import KeyId, TeamName
from ..requests.model import OPEN_TEAM
from .minting import KEY_SEPARATOR, MAX_KEY_TEXT_LENGTH, digest_of

if TYPE_CHECKING:
    from ..configuration.model import Configuration, Queue, Team
    from ..ids import QueueName

SelectorMatcher: TypeAlias = Callable[[str, Mapping[str, str]], bool]
"""Whether a selector matches labels."""

_NO_DIGEST = "0" * 64
"""Compared with when the key id is unknown, so that both ways take as long."""


class KeyRefusalReason(StrEnum):
    """Why a key was refused."""

    MISSING = "missing_key"
    MALFORMED = "malformed_key"
    UNKNOWN = "unknown_key"
    STALE = "stale_configuration"
    NOT_SELECTED = "team_not_selected"
    NO_QUEUE = "unknown_queue"


@dataclass(frozen=True, slots=True)
class CallerIdentity:
    """The work may be taken.

    Attributes:
        team: Team that the work is accounted to.
        key_id: The key that came with it; none in an open queue without a key.
    """

    team: TeamName
    key_id: KeyId | None


@dataclass(frozen=True, slots=True)
class KeyRefused:
    """The work may not be taken."""

    reason: KeyRefusalReason


def authenticate(
    cfg: Configuration,
    key_text: str | None,
    queue: QueueName,
    *,
    selects: SelectorMatcher,
    config_age_ms: int = 0,
) -> CallerIdentity | KeyRefused:
    """Returns the team whose key was sent, if its work may enter the queue.

    An open queue needs no key, but a key that is sent must be right.

    Args:
        cfg: Configuration in force.
        key_text: The whole key as sent; none or empty if none was sent.
        queue: Queue that the work is submitted to.
        selects: Matches the queue's selector with the team's labels.
        config_age_ms: Time since the configuration was last known to be fresh,
            from the platform or from a peer that sees it.
    """
    target = cfg.queues.get(queue)
    if target is None:
        return KeyRefused(KeyRefusalReason.NO_QUEUE)
    if not key_text:
        if target.is_open:
            return CallerIdentity(OPEN_TEAM, None)
        return KeyRefused(KeyRefusalReason.MISSING)
    owner = identify_caller(cfg, key_text)
    if isinstance(owner, KeyRefused):
        return owner
    team = cfg.teams[owner.team]
    refusal = _refuse_team(team, target, selects, config_age_ms)
    return KeyRefused(refusal) if refusal else owner


def identify_caller(cfg: Configuration, key_text: str) -> CallerIdentity | KeyRefused:
    """Returns the team that a caller key belongs to."""
    key_id = key_id_of(key_text)
    if key_id is None:
        return KeyRefused(KeyRefusalReason.MALFORMED)
    key = cfg.keys.get(key_id)
    digest = key.digest if key else _NO_DIGEST
    if not matches_digest(key_text, digest) or key is None or key.team not in cfg.teams:
        return KeyRefused(KeyRefusalReason.UNKNOWN)
    return CallerIdentity(key.team, key_id)


def key_id_of(key_text: str) -> KeyId | None:
    """Returns the public part of a key text; none if it is malformed."""
    if len(key_text) > MAX_KEY_TEXT_LENGTH or not key_text.isascii():
        return None
    key_id, separator, secret = key_text.partition(KEY_SEPARATOR)
    return KeyId(key_id) if key_id and separator and secret else None


def matches_digest(key_text: str, digest: str | None) -> bool:
    """Compares a key with a digest in constant time; none never matches."""
    expected = digest or _NO_DIGEST
    return hmac.compare_digest(digest_of(key_text), expected) and digest is not None


def _refuse_team(
    team: Team, queue: Queue, selects: SelectorMatcher, config_age_ms: int
) -> KeyRefusalReason | None:
    grace_ms = team.cutoff_grace_ms
    if grace_ms is not None and config_age_ms > grace_ms:
        return KeyRefusalReason.STALE
    if queue.selector and not selects(queue.selector, team.labels):
        return KeyRefusalReason.NOT_SELECTED
    return None
