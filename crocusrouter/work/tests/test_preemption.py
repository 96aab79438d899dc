import collections
import random

import pytest

from crocusrouter import work
from crocusrouter.work import preemption
from crocusrouter.work.tests import build


def _make_full_pool_state(seed):
    """Return a state of a full pool with random runs and waiting gangs."""
    rng = random.Random(seed)
    workers = [f"w{number}" for number in range(8)]
    pool_state = build.make_pool_state(
        workers=workers, racks=[f"r0-{number // 4}" for number in range(8)]
    )
    for number in range(12):
        step = build.make_step(
            rng.randint(1, 4),
            gpu=rng.choice((1, 2, 4, 8)),
            gang=rng.random() < 0.5,
            checkpoints=rng.random() < 0.5,
        )
        job = build.make_job(f"low{number}", step, priority=rng.randint(1, 2))
        build.add_job(pool_state, job)
        build.apply_plan(pool_state)
    for run in rng.sample(list(pool_state.runs.values()), 3):
        pool_state.stop_run(run, "test", 0.5)
    for number in range(6):
        step = build.make_step(
            rng.randint(1, 6),
            gpu=rng.choice((1, 2, 4, 8)),
            gang=True,
            one_rack=rng.random() < 0.7,
            per_worker=rng.choice((0, 0, 1)),
            expected_s=20.0,
        )
        job = build.make_job(f"high{number}", step, priority=rng.randint(0, 1))
        build.add_job(pool_state, job)
    return pool_state


# A rack is left out of the search if its workers could not hold the tasks even
# with all runs stopped. A wrong count would leave urgent work waiting although
# runs could make room for it.
@pytest.mark.parametrize("seed", range(40))
def test_racks_left_out_of_the_search_have_no_victims(seed, monkeypatch):
    def make_plan():
        plan = work.plan(_make_full_pool_state(seed), 1.0, build.WALL + 1.0)
        return (
            plan.placements,
            plan.reservations,
            [(run.key, reason) for run, reason in plan.stops],
        )

    plan = make_plan()
    monkeypatch.setattr(
        preemption.Losses, "count_slots", lambda *arguments: 1_000_000
    )
    assert make_plan() == plan


# Guards against a worker that gets more tasks of a step than the step allows,
# once an urgent step has to stop other work.
@pytest.mark.parametrize("runs_there", [False, True])
def test_preemption_counts_tasks_that_run_or_are_placed_there(runs_there):
    step = build.make_step(3, per_worker=2)
    pool_state = build.make_pool_state(
        build.make_job("u", step, priority=0),
        build.make_job("l", build.make_step(16), priority=2),
        guaranteed={"a": 8},
    )
    # Stopping runs on w0 costs less, as they have just started.
    spots = {("l", index): ("w1", 0.0) for index in range(8)}
    spots |= {("l", index): ("w0", 4.0) for index in range(8, 15)}
    if runs_there:
        spots["u", 0] = "w0", 4.0
    for number, ((job, index), (worker_id, at)) in enumerate(spots.items()):
        key = work.TaskKey(job, 0, 0, index)
        pool_state.add_run(key, number + 1, worker_id, at)
        pool_state.note_started(key, number + 1, at)
        pool_state.runs[key].progressed_at = 4.5
    plan = work.plan(pool_state, 4.5, build.WALL)
    counts = collections.Counter(
        worker_id
        for placement in [*plan.placements, *plan.reservations]
        if placement.step.job == "u"
        for worker_id in placement.spots.values()
    )
    counts["w0"] += runs_there
    assert counts == {"w0": 2, "w1": 1}
