"""Tests that finished jobs are removed from the store only after their time."""

import trio

from crocusrouter.pools import keys
from crocusrouter.work.tests import build
from standins.emulator import cluster as clusters


async def test_finished_job_is_removed_after_its_retention(autojump_clock):
    """Finished jobs must not accumulate: each takeover reads every stored job
    and would take longer from day to day.
    """
    cluster = clusters.Cluster(1)
    job = build.make_job(
        "0123456789abcdef", build.make_step(1, expected_s=1.0), pool="match"
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        assert await cluster.submit(job) == "accepted"
        await trio.sleep(500.0)
        assert keys.build_job_key(job.id) in cluster.store.items
        await trio.sleep(200.0)
        assert keys.build_job_key(job.id) not in cluster.store.items
        assert keys.build_progress_key(job.id) not in cluster.store.items
        nursery.cancel_scope.cancel()
    assert cluster.oracle.broken == []
