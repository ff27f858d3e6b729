"""A watch on a connection that died silently must not hide changes for long."""

from __future__ import annotations

import pytest

from amaranthtray.domain.scheduling.start_check import MAX_AGE_SHARE
from amaranthtray.jobs import (
    duty_task,
    evacuation_follower,
    fleet_manager,
    host_list_follower,
    job_feed,
    times,
)
from amaranthtray.platform.store_client import WATCH_SLACK_MS

ACT_AGAIN_MS = 3_000
"""Time after the end of a fault within which a machine must act again."""


@pytest.mark.parametrize(
    "module",
    [duty_task, evacuation_follower, fleet_manager, host_list_follower, job_feed],
)
def test_a_dead_watch_times_out_before_a_machine_must_act_again(
    module: object,
) -> None:
    waits = {
        name: value for name, value in vars(module).items() if name.endswith("WATCH_MS")
    }
    assert waits == {"WATCH_MS": times.WATCH_MS}
    assert times.WATCH_MS + WATCH_SLACK_MS < ACT_AGAIN_MS


def test_a_quiet_watch_is_not_too_old_for_a_start() -> None:
    """Guards against starts that wait although nothing has changed."""
    assert 2 / times.WATCHES_PER_LIMIT < MAX_AGE_SHARE
