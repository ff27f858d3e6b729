"""A watch on a connection that went silent must not hide changes for long."""

from __future__ import annotations

import pytest

from amaranthtray.jobs import (
    duty_task,
    fleet_manager,
    host_list_follower,
    job_feed,
    times,
)
from amaranthtray.platform.store_client import WATCH_SLACK_MS

ACT_AGAIN_MS = 3_000
"""A machine has to act again so long after trouble has ended."""


@pytest.mark.parametrize(
    "module", [duty_task, fleet_manager, host_list_follower, job_feed]
)
def test_a_dead_watch_ends_before_the_machine_counts_as_in_touch(
    module: object,
) -> None:
    waits = {
        name: value for name, value in vars(module).items() if name.endswith("WATCH_MS")
    }
    assert waits == {"WATCH_MS": times.WATCH_MS}
    assert times.WATCH_MS + WATCH_SLACK_MS < ACT_AGAIN_MS
