"""Queues, pools and teams as jobs see them, at one version of the configuration."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

from ..ids import PoolName, QueueName, TeamName
from .model import NO_RESOURCES, QueueTerms, Resources


@dataclass(frozen=True, slots=True, kw_only=True)
class JobQueue:
    """A queue of jobs.

    Attributes:
        name: Name of the queue.
        host_header: Host header of calls to the queue.
        path_prefix: Prefix of the paths of calls to the queue.
        pool: Pool whose hosts run its tasks.
        priority: Scheduling priority; 0 is the highest.
        max_attempts: Failed runs of a task after which its job has failed.
        slowdown_factor: Multiple of a job's critical path within which it is in time.
        target_ms: Time that is added to that multiple.
        timeout_ms: Timeout of a call.
        is_open: Whether calls need no key.
        needs_advice: Whether a placement policy selects the hosts.
    """

    name: QueueName
    host_header: str
    path_prefix: str
    pool: PoolName
    priority: int = 0
    max_attempts: int = 1
    slowdown_factor: float = 1.0
    target_ms: int = 0
    timeout_ms: int = 0
    is_open: bool = False
    needs_advice: bool = False

    @property
    def address(self) -> str:
        """Returns host header and path prefix under which callers ask for its jobs."""
        return self.host_header + self.path_prefix

    @property
    def terms(self) -> QueueTerms:
        """Returns what the queue decides for a job that it accepts."""
        return QueueTerms(
            address=self.address,
            priority=self.priority,
            slowdown_factor=self.slowdown_factor,
            target_ms=self.target_ms,
            needs_advice=self.needs_advice,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class JobPool:
    """A pool of hosts.

    Attributes:
        name: Name of the pool.
        enforces_capacity: Whether its hosts refuse runs that do not fit.
        is_standby: Whether its hosts are off and cost nothing.
    """

    name: PoolName
    enforces_capacity: bool = True
    is_standby: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class JobTeam:
    """A team that owns jobs.

    Attributes:
        name: Name of the team.
        weight: Share of the team in a full pool.
        cap: Maximum resources of its running tasks; 0 for no limit.
    """

    name: TeamName
    weight: int = 1
    cap: Resources = NO_RESOURCES


@dataclass(frozen=True, slots=True, kw_only=True)
class Catalog:
    """One version of the configuration.

    Attributes:
        version: Version that the operator assigned.
        store_version: Version of the stored document.
        queues: Queues; longer path prefixes come first.
        pools: Pools by name.
        teams: Teams by name.
        team_by_digest: Teams by the digest of their keys.
        max_body_bytes: Maximum size of the body of a call.
    """

    version: int
    store_version: int
    queues: tuple[JobQueue, ...] = ()
    pools: Mapping[PoolName, JobPool]
    teams: Mapping[TeamName, JobTeam]
    team_by_digest: Mapping[str, TeamName]
    max_body_bytes: int = 262_144

    def route(self, host_header: str, path: str) -> JobQueue | None:
        """Returns the queue of a call: the longest prefix for its host header."""
        for queue in self.queues:
            if queue.host_header == host_header and path.startswith(queue.path_prefix):
                return queue
        return None

    def queue(self, name: QueueName) -> JobQueue | None:
        """Returns the queue with the given name, if there is one."""
        return next((queue for queue in self.queues if queue.name == name), None)

    def team_of_key(self, key: str) -> TeamName | None:
        """Returns the team that owns ``key``; only digests of keys are compared."""
        return self.team_by_digest.get(digest_of(key))


def digest_of(key: str) -> str:
    """Returns the digest under which a key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()
