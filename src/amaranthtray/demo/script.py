"""Steps of the demo: requests while hosts reboot, fail and drain."""

from __future__ import annotations

import threading
import uuid
from typing import TYPE_CHECKING, Any

from ..cli.client import AdminClient
from ..domain.configuration import (
    AddKey,
    Budget,
    Change,
    Pool,
    PutPool,
    PutQueue,
    PutTeam,
    PutWave,
    Queue,
    Team,
    TeamKey,
    Wave,
    WithdrawKey,
)
from ..domain.configuration.model import EMPTY_REVISION
from ..domain.ids import (
    HostId,
    OperationId,
    PoolName,
    QueueName,
    Revision,
    TeamName,
    WaveName,
)
from ..domain.keys import MintedKey, mint_key
from ..domain.requests.model import WorkClass
from .call_log import CallLog, Summary
from .callers import Call, Callers
from .fleet import Fleet, wait_until

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


WEB = PoolName("web")
BATCH = PoolName("batch")
BOOKINGS = QueueName("bookings")
REPORTS = QueueName("reports")
SIGNS = QueueName("signs")
RED = TeamName("red")
BLUE = TeamName("blue")
ADMIN_TIMEOUT_MS = 5_000
UNAUTHORIZED_STATUS = 401
CALLS_PER_ROUND = 96
UNREPEATABLE_PER_ROUND = 24
REBOOTS = WaveName("reboots")
FIRST_WAVE_ROUND = 100
MAX_WAVE_ROUNDS = 20
KILLED_HOST = HostId("z1-h1")
DRAINED_HOST = HostId("z2-h1")


class DemoScript:
    """Runs the demo on a fleet.

    Args:
        fleet: A fleet that has been started.
        print_line: Prints a line of progress.

    Attributes:
        red: Key of the larger team.
        blue: Key of the smaller team.
    """

    def __init__(self, fleet: Fleet, print_line: Callable[[str], None]) -> None:
        self._fleet = fleet
        self._print_line = print_line
        self._call_log = CallLog()
        urls = [fleet.caller_url(number) for number in range(len(fleet.entries))]
        self._callers = Callers(urls, self._call_log)
        admin = [fleet.admin_url(number) for number in range(len(fleet.entries))]
        self._admin = AdminClient(
            admin, fleet.operator.text, timeout_ms=ADMIN_TIMEOUT_MS
        )
        self.red = mint_key(EMPTY_REVISION)
        self.blue = mint_key(EMPTY_REVISION)

    def run(self) -> Summary:
        """Runs all steps and returns the totals of the calls."""
        self.configure()
        self._print_line("round 1: urgent, patient, open and unrepeatable work")
        self._callers.send_all(self._calls_of_round(1))
        self._reboot_web_pool()
        self._lose_backend_servers()
        self._withdraw_key()
        return self._call_log.summary(self._fleet.servers.values())

    def configure(self) -> None:
        """Creates pools, teams, queues and keys, and places the hosts."""
        self._commit(
            PutPool(Pool(WEB, "tier=web", budget=Budget(max_out=2))),
            PutPool(Pool(BATCH, "tier=batch", budget=Budget(max_out=2))),
            PutTeam(Team(RED, share=3, limit=40)),
            PutTeam(Team(BLUE, share=1, limit=20)),
            PutQueue(Queue(BOOKINGS, WEB)),
            PutQueue(Queue(REPORTS, BATCH)),
            PutQueue(Queue(SIGNS, WEB, is_open=True)),
            AddKey(_team_key(self.red, RED)),
            AddKey(_team_key(self.blue, BLUE)),
        )
        self._wait_for_placement()
        self._print_line("configured 2 pools, 2 teams, 3 queues and 2 keys")

    def _wait_for_placement(self) -> None:
        wait_until(self._is_placed, "all hosts placed by the conductors")
        count = len(self._fleet.hosts)
        self._print_line(f"the conductors placed {count} hosts by their labels")

    def _is_placed(self) -> bool:
        hosts = self._fleet.hosts.values()
        return all(
            entry.view.current.pool_of(host.host_id) == host.labels["tier"]
            for entry in self._fleet.entries
            for host in hosts
        )

    def _reboot_web_pool(self) -> None:
        self._print_line(f"a wave reboots the hosts of pool {WEB} while requests run")
        self._commit(PutWave(Wave(REBOOTS, f"tier={WEB}")))
        for number in range(MAX_WAVE_ROUNDS):
            if self._is_rebooted():
                break
            self._callers.send_all(self._calls_of_round(FIRST_WAVE_ROUND + number))
        wait_until(self._is_rebooted, f"the end of wave {REBOOTS}")
        wave = self._read_wave()
        self._print_line(f"wave {REBOOTS} has rebooted {wave['done']} hosts")

    def _is_rebooted(self) -> bool:
        return self._read_wave().get("is_complete") is True

    def _read_wave(self) -> dict[str, Any]:
        found: dict[str, Any] = self._admin.read(f"waves/{REBOOTS}").unwrap()
        return found

    def _lose_backend_servers(self) -> None:
        self._print_line(
            f"round 2: {KILLED_HOST} is killed and {DRAINED_HOST} drained on the way"
        )
        timer = threading.Timer(0.1, self._kill_and_drain)
        timer.start()
        self._callers.send_all(self._calls_of_round(2))
        timer.join()

    def _kill_and_drain(self) -> None:
        self._fleet.servers[KILLED_HOST].stop()
        self._fleet.servers[DRAINED_HOST].start_leaving()

    def _withdraw_key(self) -> None:
        revision = self._commit(WithdrawKey(self.blue.key_id))
        self._print_line(f"withdrew the key of team {BLUE} at revision {revision}")
        before = len(self._call_log.sent)
        calls = (self._make_call(3, number, self.blue) for number in range(6))
        results = self._callers.send_all(calls)
        refused = sum(result.status == UNAUTHORIZED_STATUS for result in results)
        sent = len(self._call_log.sent) - before
        self._print_line(f"the withdrawn key was refused {refused} times of {sent}")

    def _calls_of_round(self, number: int) -> Iterator[Call]:
        for index in range(CALLS_PER_ROUND):
            key = self.red if index % 3 else self.blue
            yield self._make_call(number, index, key)
        issued = self._callers.issue_ids(self.red.text, UNREPEATABLE_PER_ROUND)
        for request_id in issued:
            body = b"sleep:5 once " + request_id.encode()
            yield Call(request_id, BOOKINGS, body, self.red.text, repeatable=False)

    def _make_call(self, round_number: int, index: int, key: MintedKey) -> Call:
        request_id = f"r{round_number}-{index}"
        body = b"sleep:20 " + uuid.uuid4().bytes
        if index % 8 == 0 and round_number < 3:
            return Call(request_id, SIGNS, body)
        if index % 4 == 1:
            patient = WorkClass.PATIENT
            return Call(request_id, REPORTS, body, key.text, patient)
        return Call(request_id, BOOKINGS, body, key.text)

    def _commit(self, *changes: Change) -> Revision:
        op_id = OperationId(uuid.uuid4().hex)
        committed = self._admin.commit(changes, op_id=op_id).unwrap()
        revision = Revision(committed.revision)
        description = f"revision {revision} in force at every entry"
        wait_until(lambda: self._is_in_force(revision), description)
        return revision

    def _is_in_force(self, revision: Revision) -> bool:
        entries = self._fleet.entries
        return all(entry.view.current.revision >= revision for entry in entries)


def _team_key(key: MintedKey, team: TeamName) -> TeamKey:
    return TeamKey(key.key_id, team, key.digest)
