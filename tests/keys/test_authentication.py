"""Which keys are accepted for which queues."""

from __future__ import annotations

import pytest

import builders
from amaranthtray.domain.configuration import AddKey, Configuration, WithdrawKey
from amaranthtray.domain.configuration.log import apply
from amaranthtray.domain.ids import KeyId, QueueName, Revision, TeamName
from amaranthtray.domain.keys import (
    CallerIdentity,
    KeyRefusalReason,
    KeyRefused,
    authenticate,
    mint_key,
)
from amaranthtray.domain.requests.model import OPEN_TEAM

RED, RED_TEXT = builders.key(1, team="red")
BLUE, BLUE_TEXT = builders.key(2, team="blue")
CFG = apply(
    builders.configuration(
        revision=1,
        teams=(
            builders.team("red", labels={"tier": "gold"}),
            builders.team("blue", cutoff_grace_ms=1_000),
        ),
        queues=(
            builders.queue("any"),
            builders.queue("open", is_open=True),
            builders.queue("gold", selector="tier=gold"),
        ),
    ),
    builders.record(2, AddKey(RED), AddKey(BLUE)),
)


def matches_selector(selector: str, labels: dict[str, str]) -> bool:
    name, _, value = selector.partition("=")
    return labels.get(name) == value


def authenticate_for(
    key_text: str | None,
    queue: str = "any",
    *,
    cfg: Configuration = CFG,
    config_age_ms: int = 0,
) -> CallerIdentity | KeyRefused:
    return authenticate(
        cfg,
        key_text,
        QueueName(queue),
        matches_selector=matches_selector,
        config_age_ms=config_age_ms,
    )


@pytest.mark.parametrize(
    ("key_text", "queue", "refusal"),
    [
        (None, "any", KeyRefusalReason.MISSING),
        ("", "any", KeyRefusalReason.MISSING),
        ("nodot", "any", KeyRefusalReason.MALFORMED),
        (".secret", "any", KeyRefusalReason.MALFORMED),
        (f"{RED.key_id}.", "any", KeyRefusalReason.MALFORMED),
        (f"{RED.key_id}.\u00e9", "any", KeyRefusalReason.MALFORMED),
        ("k0-n1." + "x" * 300, "any", KeyRefusalReason.MALFORMED),
        (f"{RED.key_id}.wrong", "any", KeyRefusalReason.UNKNOWN),
        ("k0-n9.secret9", "any", KeyRefusalReason.UNKNOWN),
        (RED_TEXT + "x", "open", KeyRefusalReason.UNKNOWN),
        (BLUE_TEXT, "gold", KeyRefusalReason.NOT_SELECTED),
        (RED_TEXT, "none", KeyRefusalReason.NO_QUEUE),
    ],
)
def test_refused_keys(
    key_text: str | None, queue: str, refusal: KeyRefusalReason
) -> None:
    assert authenticate_for(key_text, queue) == KeyRefused(refusal)


@pytest.mark.parametrize(
    ("key_text", "queue", "team", "key_id"),
    [
        (RED_TEXT, "any", "red", RED.key_id),
        (RED_TEXT, "gold", "red", RED.key_id),
        (RED_TEXT, "open", "red", RED.key_id),
        (None, "open", OPEN_TEAM, None),
    ],
)
def test_accepted_keys(
    key_text: str | None, queue: str, team: str, key_id: KeyId | None
) -> None:
    assert authenticate_for(key_text, queue) == CallerIdentity(TeamName(team), key_id)


def test_a_withdrawn_key_is_refused_and_the_new_one_of_a_rotation_works() -> None:
    new, new_text = builders.key(3, team="red", minted=2)
    with_both_keys = apply(CFG, builders.record(3, AddKey(new)))
    rotated = apply(with_both_keys, builders.record(4, WithdrawKey(RED.key_id)))

    assert isinstance(authenticate_for(RED_TEXT, cfg=with_both_keys), CallerIdentity)
    assert isinstance(authenticate_for(new_text, cfg=with_both_keys), CallerIdentity)
    assert authenticate_for(RED_TEXT, cfg=rotated) == KeyRefused(
        KeyRefusalReason.UNKNOWN
    )
    assert isinstance(authenticate_for(new_text, cfg=rotated), CallerIdentity)


@pytest.mark.parametrize(
    ("key_text", "age_ms", "is_accepted"),
    [(BLUE_TEXT, 1_000, True), (BLUE_TEXT, 1_001, False), (RED_TEXT, 10**9, True)],
)
def test_a_team_chooses_whether_its_keys_work_under_an_old_configuration(
    key_text: str, age_ms: int, is_accepted: bool
) -> None:
    outcome = authenticate_for(key_text, config_age_ms=age_ms)

    assert isinstance(outcome, CallerIdentity) == is_accepted


def test_minted_keys_differ_and_carry_their_revision() -> None:
    first, second = mint_key(Revision(26)), mint_key(Revision(26))

    assert first.text != second.text
    assert first.key_id.startswith("k1a-")
    assert first.text.startswith(f"{first.key_id}.")
    assert first.text not in first.digest
