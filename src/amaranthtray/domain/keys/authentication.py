"""Authentication of callers by their API keys."""

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
"""Returns whether a selector matches labels."""

_DUMMY_DIGEST = "0" * 64
"""Digest to compare with if the key id is unknown, so that the check takes as long as
for a known one."""


class KeyRefusalReason(StrEnum):
    """Why a key, or the lack of one, does not admit work to a queue."""

    MISSING = "missing_key"
    MALFORMED = "malformed_key"
    UNKNOWN = "unknown_key"
    STALE = "stale_configuration"
    NOT_SELECTED = "team_not_selected"
    NO_QUEUE = "unknown_queue"


@dataclass(frozen=True, slots=True)
class CallerIdentity:
    """The caller of work that may enter the queue.

    Attributes:
        team: Team that the work is charged to.
        key_id: Id of the key that was sent; None for work without a key in an open
            queue.
    """

    team: TeamName
    key_id: KeyId | None


@dataclass(frozen=True, slots=True)
class KeyRefused:
    """The key, or the lack of one, does not admit the work to the queue."""

    reason: KeyRefusalReason


def authenticate(
    cfg: Configuration,
    key_text: str | None,
    queue: QueueName,
    *,
    matches_selector: SelectorMatcher,
    config_age_ms: int = 0,
) -> CallerIdentity | KeyRefused:
    """Returns the caller whose key was sent, if its work may enter the queue.

    An open queue needs no key, but a key that is sent must be valid.

    Args:
        cfg: Configuration in force.
        key_text: The whole key as sent; None or empty if none was sent.
        queue: Queue that the work is submitted to.
        matches_selector: Matches the queue's selector with the team's labels.
        config_age_ms: Time since the configuration was last known to be current,
            from the platform or from a peer that reaches it.
    """
    target_queue = cfg.queues.get(queue)
    if target_queue is None:
        return KeyRefused(KeyRefusalReason.NO_QUEUE)
    if not key_text:
        if target_queue.is_open:
            return CallerIdentity(OPEN_TEAM, None)
        return KeyRefused(KeyRefusalReason.MISSING)
    caller = identify_caller(cfg, key_text)
    if isinstance(caller, KeyRefused):
        return caller
    team = cfg.teams[caller.team]
    refusal = _check_team(team, target_queue, matches_selector, config_age_ms)
    return KeyRefused(refusal) if refusal else caller


def identify_caller(cfg: Configuration, key_text: str) -> CallerIdentity | KeyRefused:
    """Returns the team that a caller's key belongs to, whatever the queue."""
    key_id = key_id_of(key_text)
    if key_id is None:
        return KeyRefused(KeyRefusalReason.MALFORMED)
    key = cfg.keys.get(key_id)
    digest = key.digest if key else _DUMMY_DIGEST
    if not matches_digest(key_text, digest) or key is None or key.team not in cfg.teams:
        return KeyRefused(KeyRefusalReason.UNKNOWN)
    return CallerIdentity(key.team, key_id)


def key_id_of(key_text: str) -> KeyId | None:
    """Returns the public part of a key, or None if the key is malformed."""
    if len(key_text) > MAX_KEY_TEXT_LENGTH or not key_text.isascii():
        return None
    key_id, separator, secret = key_text.partition(KEY_SEPARATOR)
    return KeyId(key_id) if key_id and separator and secret else None


def matches_digest(key_text: str, digest: str | None) -> bool:
    """Returns whether a key has this digest, in constant time.

    None as the digest never matches and takes as long.
    """
    expected = digest or _DUMMY_DIGEST
    return hmac.compare_digest(digest_of(key_text), expected) and digest is not None


def _check_team(
    team: Team, queue: Queue, matches_selector: SelectorMatcher, config_age_ms: int
) -> KeyRefusalReason | None:
    grace_ms = team.cutoff_grace_ms
    if grace_ms is not None and config_age_ms > grace_ms:
        return KeyRefusalReason.STALE
    if queue.selector and not matches_selector(queue.selector, team.labels):
        return KeyRefusalReason.NOT_SELECTED
    return None
