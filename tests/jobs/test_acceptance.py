"""A job is stored once, under the configuration that allowed it, or never."""

from __future__ import annotations

from dataclasses import replace

import pytest

from amaranthtray.jobs.submission_writer import (
    Submission,
    SubmissionOutcome,
    SubmissionWriter,
)
from amaranthtray.store.faults import Fault
from jobs.store_site import StoreSite
from scheduling.parts import POOL, a_job

CONFIG = "config"


class SubmissionSite(StoreSite):
    """A store with a configuration, and the submission writer under test."""

    def __init__(self) -> None:
        super().__init__()
        self.version = self.store.create(CONFIG, b"1").unwrap()
        self.writer = SubmissionWriter(self.store, CONFIG, self.log)

    def submit(self, name: str = "a", version: int | None = None) -> SubmissionOutcome:
        submission = Submission(POOL, a_job(name=name), version or self.version)
        self.writer.store_group([submission])
        return submission.outcome

    def count_jobs(self) -> int:
        return len(self.platform.read_all("inbox/").items)


def test_a_job_is_stored_once() -> None:
    site = SubmissionSite()
    assert [site.submit(), site.submit()] == [
        SubmissionOutcome.STORED,
        SubmissionOutcome.STORED,
    ]
    assert site.count_jobs() == 1


def test_a_job_is_not_stored_under_an_older_configuration() -> None:
    site = SubmissionSite()
    site.store.compare_and_swap(CONFIG, b"2", version=site.version)
    assert site.submit() is SubmissionOutcome.OUTDATED
    assert site.count_jobs() == 0


@pytest.mark.parametrize("fault", [Fault.LOST_REPLY, Fault.LOST_REQUEST])
def test_a_lost_reply_is_resolved(fault: Fault) -> None:
    site = SubmissionSite()
    site.plan_faults("commit", fault)
    assert site.submit() is SubmissionOutcome.STORED
    assert site.count_jobs() == 1


def test_a_write_that_may_be_delayed_has_an_unknown_outcome() -> None:
    site = SubmissionSite()
    site.plan_faults("commit", *[Fault.LATE_EFFECT] * 3)
    assert site.submit() is SubmissionOutcome.UNKNOWN
    site.platform.apply_delayed_writes()
    assert site.count_jobs() == 1


def test_a_job_reported_as_not_stored_is_never_stored() -> None:
    site = SubmissionSite()
    site.platform.is_down = True
    assert site.submit() is SubmissionOutcome.NOT_STORED
    site.platform.is_down = False
    site.platform.apply_delayed_writes()
    assert site.count_jobs() == 0


def test_a_group_with_a_stored_job_stores_the_others() -> None:
    site = SubmissionSite()
    site.submit("a")
    group = [Submission(POOL, a_job(name=name), site.version) for name in "abc"]
    site.writer.store_group(group)
    assert {each.outcome for each in group} == {SubmissionOutcome.STORED}
    assert site.count_jobs() == 3


def test_a_job_that_is_too_large_keeps_no_other_one_from_being_stored() -> None:
    """Guards against callers that are refused because of another one's job."""
    site = SubmissionSite()
    site.platform.max_value_bytes = 2_000
    large = replace(a_job(name="b"), payload="x" * 2_001)
    specs = [a_job(name="a"), large, a_job(name="c")]
    group = [Submission(POOL, spec, site.version) for spec in specs]
    site.writer.store_group(group)
    stored, not_stored = SubmissionOutcome.STORED, SubmissionOutcome.NOT_STORED
    assert [each.outcome for each in group] == [stored, not_stored, stored]
