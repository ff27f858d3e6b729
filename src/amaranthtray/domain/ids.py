"""Identifiers shared by all packages of the domain."""

from __future__ import annotations

from typing import NewType

HostId = NewType("HostId", str)
RackId = NewType("RackId", str)
ZoneId = NewType("ZoneId", str)
RegionId = NewType("RegionId", str)
PoolName = NewType("PoolName", str)
TeamName = NewType("TeamName", str)
QueueName = NewType("QueueName", str)
WaveName = NewType("WaveName", str)
KeyId = NewType("KeyId", str)

EntryId = NewType("EntryId", str)
Incarnation = NewType("Incarnation", str)
"""Identifies one lifetime of an entry process; a restart begins a new one."""

RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
OperationId = NewType("OperationId", str)
"""Chosen by a writer to determine after a lost reply whether its write took effect."""

Revision = NewType("Revision", int)
"""Position in the configuration log; 0 is the empty configuration."""

Term = NewType("Term", int)
"""Fencing token of a duty; a higher term supersedes a lower one."""

Millis = NewType("Millis", int)
"""Milliseconds on a monotonic clock, unless the name says wall-clock time."""
