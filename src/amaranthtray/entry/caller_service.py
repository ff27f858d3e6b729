"""What the callers' interface does, independent of the HTTP server."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.result import Failure

from ..backend.client import Payload
from ..domain.errors import Problem
from ..domain.ids import Millis, QueueName, RequestId
from ..domain.keys import Accepted, KeyRefusal, KeyRefused, authenticate, identify
from ..domain.requests.model import (
    OPEN_TEAM,
    Answered,
    NotRun,
    NotRunReason,
    Request,
    Unknown,
    WorkClass,
)
from . import replies
from .clock import now_ms
from .results import ResultCache
from .submission import Submission, parse_submission

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ..domain.ids import TeamName
    from ..domain.keys import Selects
    from ..settings.model import Settings
    from .config_view import ConfigView
    from .replies import Reply
    from .request_task import Final, RequestTask
    from .shutdown import Readiness
