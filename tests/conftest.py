"""Hypothesis profiles: ``ci`` is deterministic, ``fuzz`` is random and runs longer.

Only ``fuzz`` shrinks failing examples, so that CI reports a failure quickly.
"""

from __future__ import annotations

import os

from hypothesis import HealthCheck, Phase, settings

FUZZ_EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "2000"))

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=100,
    stateful_step_count=50,
    phases=(Phase.explicit, Phase.generate, Phase.target),
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile(
    "fuzz",
    deadline=None,
    database=None,
    max_examples=FUZZ_EXAMPLES,
    stateful_step_count=80,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("ci")
