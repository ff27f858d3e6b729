"""Records are written under one term, and lost replies are resolved."""

from __future__ import annotations

from dataclasses import replace

from amaranthtray.domain.ids import PoolName, Term
from amaranthtray.domain.jobs.model import JobId
from amaranthtray.domain.scheduling.messages import StoreJobs
from amaranthtray.domain.upkeep.moves import PoolLoad
from amaranthtray.jobs import keys
from amaranthtray.jobs.record_writer import RecordWriter
from amaranthtray.store.faults import Fault
from jobs.store_site import StoreSite

POOL = PoolName("p")


def a_writer(site: StoreSite, term: int = 1) -> RecordWriter:
    writer = RecordWriter(POOL, Term(term), store=site.store, log=site.log)
    assert writer.fence_older_terms()
    return writer


def a_batch(*records: tuple[str, bytes]) -> StoreJobs:
    rows = tuple((JobId(job), data) for job, data in records)
    return StoreJobs(1, rows, {}, frozenset(), PoolLoad())


def stored(site: StoreSite, job: str) -> bytes | None:
    versioned = site.platform.read(keys.record_key(POOL, JobId(job)))
    return versioned.value if versioned else None


def test_a_batch_larger_than_a_transaction_is_written_whole() -> None:
    site = StoreSite()
    rows = [(f"j{number}", b"x") for number in range(70)]
    assert a_writer(site).write(a_batch(*rows))
    assert all(stored(site, job) == b"x" for job, _ in rows)


def test_an_older_term_can_not_write() -> None:
    site = StoreSite()
    old = a_writer(site)
    a_writer(site, term=2)
    assert not old.write(a_batch(("j", b"old")))
    assert old.is_superseded
    assert stored(site, "j") is None


def test_a_write_whose_reply_was_lost_is_written_again() -> None:
    site = StoreSite()
    writer = a_writer(site)
    site.plan_faults("commit", Fault.LOST_REPLY)
    assert not writer.write(a_batch(("j", b"1")))
    assert not writer.write(a_batch(("j", b"2")))
    assert writer.write(a_batch(("j", b"3")))
    assert stored(site, "j") == b"3"


def test_a_delayed_write_does_not_undo_a_later_one() -> None:
    site = StoreSite()
    writer = a_writer(site)
    site.plan_faults("commit", Fault.LATE_EFFECT)
    assert not writer.write(a_batch(("j", b"1")))
    assert writer.write(a_batch(("j", b"2")))
    site.platform.apply_delayed_writes()
    assert stored(site, "j") == b"2"


def test_removed_jobs_lose_their_record_and_specification() -> None:
    site = StoreSite()
    writer = a_writer(site)
    spec_key = keys.job_key(POOL, JobId("j"), keys.SPEC)
    site.store.create(spec_key, b"spec")
    writer.write(a_batch(("j", b"1")))
    assert writer.write(replace(a_batch(), removed=(JobId("j"),)))
    assert stored(site, "j") is None
    assert site.platform.read(spec_key) is None
