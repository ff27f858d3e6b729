"""What a link shows a host that has restarted before it believes its report."""

from __future__ import annotations

from amaranthtray.domain.scheduling.messages import HostReport, StartOutcome
from amaranthtray.jobs.ports import HostStatus
from jobs.test_host_link import INCARNATION, FakeHost, a_link

NEXT = INCARNATION + 1


class RestartedHost(FakeHost):
    """A host of which each poll shows the next incarnation."""

    def __init__(self) -> None:
        super().__init__(lambda: StartOutcome.STARTED)
        self.tokens: list[int] = []

    def poll(self, *args: object) -> HostStatus:  # type: ignore[override]
        self.tokens.append(self.fencing_token)
        return HostStatus(clock_ms=0, born=NEXT, running=(), ends=())


def test_a_report_of_a_new_incarnation_follows_a_token_that_no_former_order_had() -> (
    None
):
    """Guards against a run that starts late after its absence was reported."""
    api = RestartedHost()
    link, posted = a_link(api)
    former_token = api.fencing_token
    link._poll(0, 0)
    assert [type(each) for each in posted] == [HostReport]
    assert api.tokens[-1] > former_token
