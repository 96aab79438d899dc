"""Tests for the records of jobs that were cancelled before they were stored."""

import pytest

from crocusrouter import codec
from crocusrouter import work
from crocusrouter.pools import tombstones
from crocusrouter.work.tests import build


# Guards against an owner of an earlier version that runs a tombstone, or ends
# because it can't read one: to it, a tombstone is a job of another pool.
def test_tombstone_is_a_cancelled_job_of_no_pool():
    value = tombstones.build_tombstone("0a", 5.0)
    job = codec.unpack(work.Job, value)
    assert (job.id, job.pool, job.steps) == ("0a", "", ())
    assert job.cancelled
    assert tombstones.is_tombstone(job)


@pytest.mark.parametrize("cancelled", [False, True])
def test_submitted_job_is_no_tombstone(cancelled):
    job = build.make_job("0a", build.make_step(1), cancelled=cancelled)
    assert not tombstones.is_tombstone(job)
