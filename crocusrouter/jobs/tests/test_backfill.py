import pytest

from crocusrouter import templates
from crocusrouter.jobs import backfill
from crocusrouter.jobs import placement
from crocusrouter.jobs import queue
from crocusrouter.jobs import run_times
from crocusrouter.jobs.tests import build
from crocusrouter.jobs.tests import test_book_machine as machines
from crocusrouter.templates import Level


@pytest.mark.parametrize(
    ("ends", "starts_at", "workers"),
    [
        ({"w0": [(9.0, 0b1100)]}, 9.0, {"w0", "w1"}),
        ({"w0": [(9.0, 0b1100)], "w2": [(5.0, 0b1111)]}, 5.0, {"w2", "w3"}),
        ({"w0": [(9.0, 0b0100), (12.0, 0b1000)]}, 12.0, {"w0", "w1"}),
        # A task that runs longer than expected may end at any moment.
        ({"w0": [(-5.0, 0b1100)]}, 1.0, {"w0", "w1"}),
        ({}, None, None),
    ],
)
def test_unit_with_the_earliest_room_is_reserved(ends, starts_at, workers):
    capacities = build.build_capacities(0b0011, 0b1111, 0b0000, 0b1111)
    request = placement.PlacementRequest("dc.1", "a", Level.RACK, 8)
    reservation = backfill.reserve_unit(request, capacities, ends, now=1.0)
    if starts_at is None:
        assert reservation is None
    else:
        assert (reservation.starts_at, reservation.workers) == (
            starts_at,
            workers,
        )


def test_shorter_jobs_overtake_for_a_bounded_time():
    catalog = build.build_catalog(build.build_template("c"))
    long_job = build.build_job(1)
    run_time_history = run_times.RunTimeHistory({("c", "tag"): (100.0,) * 3})
    for submitted_at, long_job_index in ((50.0, 1), (250.0, 0)):
        short_job = build.build_job(int(submitted_at))
        short_job = _replace_kind(short_job, "quick")
        ordered = queue.order_queue(
            [long_job, short_job], (), {}, catalog, run_time_history
        )
        assert ordered.index(long_job) == long_job_index


def _replace_kind(job, kind):
    import dataclasses

    spec = dataclasses.replace(job.spec, kind=kind)
    return dataclasses.replace(job, spec=spec)


# Small jobs are submitted all the time while a large job waits. Without
# backfill they would take each accelerator that becomes free, and the large job
# would never start.
def test_large_job_is_not_starved_by_small_jobs():
    machine = machines.BookMachine()
    machine.scheduler_state.catalog = build.build_catalog(
        build.build_template(
            "c", weights=templates.PlacementWeights(completion=1.0)
        )
    )
    machine.submit([("c", (1, "worker"), 6.0)] * 24)
    machine.run_on(2)
    machine.submit([("c", (8, "rack"), 2.0)])
    large = f"dc.{machine.job_number}"
    for _ in range(20):
        machine.submit([("c", (1, "worker"), 6.0)] * 2)
        machine.run_on(2)
        if machine.scheduler_state.jobs[large].is_final:
            break
    assert str(machine.scheduler_state.jobs[large].state) == "done"
