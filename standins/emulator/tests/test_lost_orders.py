"""Tasks whose orders are lost start again."""

import pytest
import trio

from crocusrouter import work
from crocusrouter.work import worker_port
from standins import emulator
from standins.emulator import cluster as clusters
from standins.emulator import worker as worker_views

# A start is given up after 2 s. Its stop is sent again with a report that comes
# 1.5 s later, and there is a report a second.
_DONE_WITHIN_S = 10.0


# Guards against a job with nothing running for ever: the start of its task had
# no answer, and its first stops ended with an error that nobody expected.
@pytest.mark.parametrize("failed_stops", [0, 1, 2])
async def test_task_starts_again_although_its_stop_has_failed(
    failed_stops, autojump_clock, monkeypatch
):
    original_start = worker_views.WorkerView.start
    original_stop = worker_views.WorkerView.stop
    lost_runs = set()
    stops = []

    async def lose_first_start(view, epoch, order, until_ms, timeout_s):
        if not lost_runs or order.run in lost_runs:
            lost_runs.add(order.run)
            await trio.sleep(timeout_s)
            return worker_port.NoAnswer("lost")
        return await original_start(view, epoch, order, until_ms, timeout_s)

    async def fail_first_stops(view, epoch, order, timeout_s):
        stops.append(order)
        if len(stops) <= failed_stops:
            raise RuntimeError("test")
        return await original_stop(view, epoch, order, timeout_s)

    monkeypatch.setattr(worker_views.WorkerView, "start", lose_first_start)
    monkeypatch.setattr(worker_views.WorkerView, "stop", fail_first_stops)
    cluster = emulator.Cluster(3)
    step = work.Step(1, work.Room(1000, 1000, 1), 1.0)
    job = work.Job(
        "00000000000000aa",
        steps=(step,),
        queue="q",
        pool=clusters.POOL,
        customer="a",
        priority=1,
        max_attempts=3,
        slack=3.0,
        target_s=5.0,
        payload="job",
        accepted_at=1_700_000_000.0,
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        assert await cluster.submit(job) == "accepted"
        await trio.sleep(_DONE_WITHIN_S)
        states = await cluster.read_states()
        nursery.cancel_scope.cancel()
    assert len(lost_runs) == 1
    assert states == {job.id: "done"}
    assert cluster.oracle.broken == []
