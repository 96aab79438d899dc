import pytest

from crocusrouter import templates
from crocusrouter.jobs import backfill
from crocusrouter.jobs import estimates as learned
from crocusrouter.jobs import placement
from crocusrouter.jobs import queue
from crocusrouter.jobs.tests import build
from crocusrouter.jobs.tests import test_book_machine as machines
from crocusrouter.templates import Level


@pytest.mark.parametrize(
    ("ends", "at", "workers"),
    [
        ({"w0": [(9.0, 0b1100)]}, 9.0, {"w0", "w1"}),
        ({"w0": [(9.0, 0b1100)], "w2": [(5.0, 0b1111)]}, 5.0, {"w2", "w3"}),
        ({"w0": [(9.0, 0b0100), (12.0, 0b1000)]}, 12.0, {"w0", "w1"}),
        # What should have ended long ago can end at any moment.
        ({"w0": [(-5.0, 0b1100)]}, 1.0, {"w0", "w1"}),
        ({}, None, None),
    ],
)
def test_unit_with_room_first_is_held(ends, at, workers):
    floor = build.build_floor(0b0011, 0b1111, 0b0000, 0b1111)
    ask = placement.Ask("dc.1", "a", Level.RACK, 8)
    held = backfill.reserve_unit(ask, floor, ends, now=1.0)
    if at is None:
        assert held is None
    else:
        assert (held.at, held.workers) == (at, workers)


def test_shorter_jobs_go_first_but_not_for_ever():
    catalog = build.build_catalog(build.build_template("c"))
    long_job = build.build_job(1)
    estimates = learned.Estimates({("c", "tag"): (100.0,) * 3})
    for submitted_at, first in ((50.0, 1), (250.0, 0)):
        short = build.build_job(int(submitted_at))
        short = _rename(short, "quick")
        ordered = queue.order_queue(
            [long_job, short], (), {}, catalog, estimates
        )
        assert ordered.index(long_job) == first


def _rename(job, kind):
    import dataclasses

    spec = dataclasses.replace(job.spec, kind=kind)
    return dataclasses.replace(job, spec=spec)


# The customer waits for a large job while small ones keep coming. It starts
# when enough of the first loans end, although small jobs queue all the time.
def test_large_job_is_not_starved_by_small_ones():
    machine = machines.BookMachine()
    machine.book.catalog = build.build_catalog(
        build.build_template("c", weights=templates.Weights(completion=1.0))
    )
    machine.submit([("c", (1, "worker"), 6.0)] * 24)
    machine.run_on(2)
    machine.submit([("c", (8, "rack"), 2.0)])
    large = f"dc.{machine.number}"
    for _ in range(20):
        machine.submit([("c", (1, "worker"), 6.0)] * 2)
        machine.run_on(2)
        if machine.book.jobs[large].is_final:
            break
    assert str(machine.book.jobs[large].state) == "done"
