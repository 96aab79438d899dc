"""Runs of a worker that has been replaced by its next incarnation."""

import pytest

from crocusrouter import work
from crocusrouter.work import tracking
from crocusrouter.work import worker_port
from crocusrouter.work.tests import build

_OLD_WORKER = "w0@5"
_NEW_WORKER = "w0@7"
_FIRST_TASK = work.TaskKey("j", 0, 0, 0)
_SECOND_TASK = work.TaskKey("j", 0, 0, 1)


def _restart(step, late_tasks=()):
    """Return the pool state of a job whose worker has restarted."""
    pool_state = build.make_pool_state(
        build.make_job("j", step), workers=(_OLD_WORKER,)
    )
    build.apply_plan(pool_state)
    for key in late_tasks:
        pool_state.runs[key].maybe_started = True
    stops = [
        worker_port.Stop(key, pool_state.runs[key].number) for key in late_tasks
    ]
    work.add_successor(pool_state, _OLD_WORKER, _NEW_WORKER, 1.0)
    work.note_replaced(pool_state, _OLD_WORKER, 1.0, _NEW_WORKER, stops)
    return pool_state


@pytest.mark.parametrize(
    "late_tasks", [(), (_FIRST_TASK,), (_FIRST_TASK, _SECOND_TASK)]
)
def test_start_that_the_next_process_may_carry_out_is_not_repeated(late_tasks):
    """A task must not start while an earlier start may be carried out late.

    The earlier start could be carried out seconds later, and the task would run
    twice.
    """
    pool_state = _restart(build.make_step(2), late_tasks)
    waiting_indices = {
        key.position
        for key in (_FIRST_TASK, _SECOND_TASK)
        if key not in late_tasks
    }
    assert (
        pool_state.find_tracked_step(_FIRST_TASK).waiting_indices
        == waiting_indices
    )
    assert set(pool_state.workers[_NEW_WORKER].runs) == set(late_tasks)
    assert not pool_state.workers[_OLD_WORKER].runs
    assert [stop.key for worker_id, stop in pool_state.outbox] == list(
        late_tasks
    )
    assert {worker_id for worker_id, _ in pool_state.outbox} <= {_NEW_WORKER}


def test_late_start_waits_again_once_the_next_process_has_stopped_it():
    """A report from before the stop's answer does not show a late start."""
    pool_state = _restart(build.make_step(1), (_FIRST_TASK,))
    number = pool_state.runs[_FIRST_TASK].number
    build.apply_report(pool_state, _NEW_WORKER, now=1.5, running=())
    assert _FIRST_TASK in pool_state.runs
    pool_state.note_stop_accepted(_FIRST_TASK, number, 2.0)
    build.apply_report(pool_state, _NEW_WORKER, now=2.5, running=())
    assert pool_state.find_tracked_step(_FIRST_TASK).waiting_indices == {0}


def test_late_start_that_was_carried_out_is_not_adopted():
    """The worker was told to stop the run; the task waits after its end."""
    pool_state = _restart(build.make_step(1), (_FIRST_TASK,))
    reported_run = worker_port.ReportedRun(
        _FIRST_TASK, pool_state.runs[_FIRST_TASK].number
    )
    build.apply_report(
        pool_state, _NEW_WORKER, now=1.5, running=(reported_run,)
    )
    assert pool_state.runs[_FIRST_TASK].phase is tracking.Phase.STOPPING
    build.apply_report(
        pool_state,
        _NEW_WORKER,
        (_FIRST_TASK, worker_port.RunOutcome.STOPPED),
        now=1.8,
    )
    assert pool_state.find_tracked_step(_FIRST_TASK).waiting_indices == {0}


# Guards against a task that counts as running for ever, on an incarnation that
# has ended already: the answer that named it came after that of the next one.
@pytest.mark.parametrize("last_worker", [None, "w0@9"])
def test_late_start_is_not_left_on_an_incarnation_that_was_replaced(
    last_worker,
):
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step(1)), workers=(_OLD_WORKER,)
    )
    build.apply_plan(pool_state)
    run = pool_state.runs[_FIRST_TASK]
    run.maybe_started = True
    work.add_successor(pool_state, _OLD_WORKER, _NEW_WORKER, 1.0)
    if last_worker is not None:
        work.add_successor(pool_state, _NEW_WORKER, last_worker, 1.5)
    work.note_replaced(pool_state, _NEW_WORKER, 1.5, last_worker)
    stop = worker_port.Stop(run.key, run.number)
    work.note_replaced(pool_state, _OLD_WORKER, 2.0, _NEW_WORKER, [stop])
    tracked_step = pool_state.find_tracked_step(_FIRST_TASK)
    if last_worker is None:
        # As where no incarnation is known that could carry the start out.
        assert tracked_step.waiting_indices == {0}
        assert not pool_state.runs
    else:
        assert run.worker_id == last_worker
        assert pool_state.outbox == [(last_worker, stop)]
    assert not pool_state.workers[_NEW_WORKER].runs


def test_gang_with_a_member_that_may_start_late_is_stopped():
    """The other members would work for a member that is to be stopped."""
    step = build.make_step(2, gang=True, gpu=8)
    pool_state = build.make_pool_state(
        build.make_job("j", step),
        workers=(_OLD_WORKER, "w1@5"),
        racks=("r0", "r0"),
    )
    build.apply_plan(pool_state)
    [member] = pool_state.workers[_OLD_WORKER].runs.values()
    [other_member] = pool_state.workers["w1@5"].runs.values()
    member.maybe_started = True
    work.add_successor(pool_state, _OLD_WORKER, _NEW_WORKER, 1.0)
    stop = worker_port.Stop(member.key, member.number)
    work.note_replaced(pool_state, _OLD_WORKER, 1.0, _NEW_WORKER, [stop])
    assert other_member.phase is tracking.Phase.STOPPING


@pytest.mark.parametrize("late_tasks", [(), (_FIRST_TASK,)])
def test_restart_counts_as_a_crash_under_the_runs_there(late_tasks):
    """A task that crashes its workers must not start again without limit."""
    pool_state = _restart(build.make_step(1), late_tasks)
    assert (
        len(pool_state.find_tracked_step(_FIRST_TASK).progress.crashes[0]) == 1
    )
    restart_events = [
        fields
        for kind, fields in pool_state.events
        if kind == "worker:restarted"
    ]
    assert restart_events == [
        {"worker": _OLD_WORKER, "successor": _NEW_WORKER, "runs": 1}
    ]


@pytest.mark.parametrize("known", [False, True])
def test_next_incarnation_takes_work_once_it_is_listed(known):
    """A worker that drained and restarted must get tasks again."""
    pool_state = build.make_pool_state(workers=(_OLD_WORKER,))
    pool_state.set_worker(build.make_entry(_OLD_WORKER, draining=True), 0.0)
    if known:
        work.add_successor(pool_state, _OLD_WORKER, _NEW_WORKER, 1.0)
        build.mark_usable(pool_state.workers[_NEW_WORKER])
        assert not pool_state.workers[_NEW_WORKER].may_start_tasks(1.0)
    pool_state.set_worker(build.make_entry(_NEW_WORKER), 2.0)
    build.mark_usable(pool_state.workers[_NEW_WORKER])
    assert pool_state.workers[_NEW_WORKER].may_start_tasks(2.0)
    assert pool_state.workers[_OLD_WORKER].was_draining


def test_incarnations_are_found_by_the_platforms_worker_ids():
    pool_state = build.make_pool_state(workers=("w0@5", "w1@5", "w2"))
    pool_state.unlist_worker("w0@5")
    pool_state.set_worker(build.make_entry("w0@7"), 1.0)
    assert work.map_incarnations(pool_state) == {
        "w0": "w0@7",
        "w1": "w1@5",
        "w2": "w2",
    }
