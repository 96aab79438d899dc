"""Jobs leave the store after their time, and not before."""

import trio

from crocusrouter.pools import keys
from crocusrouter.work.tests import build
from standins.emulator import cluster as clusters


async def test_job_is_removed_after_its_time(autojump_clock):
    """Every job ever accepted is read at each takeover, which takes longer
    from day to day.
    """
    held = clusters.Cluster(1)
    job = build.make_job(
        "0123456789abcdef", build.make_step(1, expected_s=1.0), pool="match"
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(held.run)
        await trio.sleep(3.0)
        assert await held.submit(job) == "accepted"
        await trio.sleep(500.0)
        assert keys.build_job_key(job.id) in held.store.items
        await trio.sleep(200.0)
        assert keys.build_job_key(job.id) not in held.store.items
        assert keys.build_progress_key(job.id) not in held.store.items
        nursery.cancel_scope.cancel()
    assert held.oracle.broken == []
