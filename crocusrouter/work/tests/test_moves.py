"""Tests for jobs that move to another pool while some of their tasks run."""

import dataclasses

import pytest

from crocusrouter import work
from crocusrouter.work import moves
from crocusrouter.work import progress as progresses
from crocusrouter.work import worker_port
from crocusrouter.work.tests import build

_FORMER = "p"
_PRESENT = "other"
_NO_JOBS: frozenset[str] = frozenset()


def _set_queue_pool(pool_state, pool, version):
    pool_state.queue_pools = {"q": pool}
    pool_state.config_version = version
    moves.mark_moves(pool_state)


def _make_former(job, *, starts=True):
    """Return the state of a pool that has the job and whose queue has moved."""
    pool_state = build.make_pool_state(job)
    pool_state.pool = _FORMER
    if starts:
        build.apply_plan(pool_state)
    _set_queue_pool(pool_state, _PRESENT, 2)
    return pool_state


def _build(pool_state, *, may_move=True):
    return moves.build_update(
        pool_state, pool_state.jobs["j"], _NO_JOBS, may_move=may_move
    )


def _store(update):
    """Return progress as another owner reads it."""
    return work.parse_progress(work.dump_progress(update.progress))


def _confirm(pool_state, update):
    """Apply what the owner does once a move is written."""
    tracked_job = pool_state.jobs["j"]
    tracked_job.is_being_moved = False
    tracked_job.job = update.job
    moves.merge_progress(pool_state, tracked_job, _store(update), 1.0)


def _make_present(update, revision=9):
    """Return the state of the pool to which a job has moved."""
    pool_state = build.make_pool_state()
    pool_state.pool = _PRESENT
    # Runs of different pools never have the same number.
    pool_state.last_run_number = 1000
    _set_queue_pool(pool_state, _PRESENT, 2)
    pool_state.put_job(update.job, _store(update), revision, 1.0)
    pool_state.open_due_occurrences(build.WALL, 1.0)
    return pool_state


def _list_started(pool_state):
    plan = build.apply_plan(pool_state, now=2.0)
    return {index for placement in plan.placements for index in placement.spots}


def _end(pool_state, index, outcome, number=1):
    run = pool_state.runs[work.TaskKey("j", 0, 0, index)]
    running = tuple(
        worker_port.ReportedRun(other.key, other.number)
        for other in pool_state.workers[run.worker_id].runs.values()
        if other is not run
    )
    report = worker_port.Report(
        1000,
        running,
        (worker_port.RunEnd(number, run.key, run.number, outcome, ""),),
    )
    work.apply_report(pool_state, run.worker_id, report, 3.0, 3.0)


# Guards against jobs that start on workers of a service that their queue has
# left.
def test_moving_job_starts_nothing_here():
    pool_state = _make_former(build.make_job("j", build.make_step(4)))
    tracked_step = next(iter(pool_state.jobs["j"].steps.values()))
    for index in (2, 3):
        pool_state.drop_run(tracked_step.runs_by_index[index])
        tracked_step.waiting_indices.add(index)
    assert work.plan(pool_state, 2.0, build.WALL).placements == []


# Guards against a task that runs in two pools at once.
@pytest.mark.parametrize(
    ("step", "running", "startable"),
    [
        (build.make_step(4), {0, 1}, {2, 3}),
        (build.make_step(4, lasting=True), {0, 1}, {2, 3}),
        (build.make_step(4, gang=True), {0, 1, 2, 3}, set()),
        (build.make_step(4, gang=True), {1}, set()),
        (build.make_step(4), set(), {0, 1, 2, 3}),
    ],
)
def test_new_home_starts_only_what_the_former_one_does_not_run(
    step, running, startable
):
    former = _make_former(build.make_job("j", step))
    tracked_step = next(iter(former.jobs["j"].steps.values()))
    for index in set(range(4)) - running:
        former.drop_run(tracked_step.runs_by_index[index])
        tracked_step.waiting_indices.add(index)
    present = _make_present(_build(former))
    assert _list_started(present) == startable


# Guards against a start in the former pool while a move without an answer may
# still be carried out.
def test_nothing_starts_while_a_move_may_be_carried_out():
    former = _make_former(build.make_job("j", build.make_step(2)), starts=False)
    _build(former)
    _set_queue_pool(former, _FORMER, 3)
    assert former.jobs["j"].move_to == ""
    assert work.plan(former, 2.0, build.WALL).placements == []
    former.jobs["j"].is_being_moved = False
    assert work.plan(former, 2.0, build.WALL).placements != []


# Guards against a move that is written a second time, before the next decision.
def test_job_that_has_moved_does_not_move_again():
    former = _make_former(build.make_job("j", build.make_step(2)))
    update = _build(former)
    _confirm(former, update)
    assert _build(former).progress.moves == update.progress.moves == 1


# Guards against jobs that go back and forth while owners know different
# versions of the configuration.
@pytest.mark.parametrize(("version", "goes_back"), [(1, False), (3, True)])
def test_only_a_later_configuration_moves_a_job_again(version, goes_back):
    former = _make_former(build.make_job("j", build.make_step(2)), starts=False)
    present = _make_present(_build(former))
    _set_queue_pool(present, _FORMER, version)
    assert bool(present.jobs["j"].move_to) == goes_back


# Guards against a move that leaves out tasks which run on a worker that has not
# reported to a new owner yet.
def test_job_that_may_run_on_an_unreported_worker_stays():
    former = _make_former(build.make_job("j", build.make_step(2)), starts=False)
    former.dirty.clear()
    former.epoch = 100
    former.workers["w0"].reached = False
    moves.mark_moves(former)
    assert former.dirty == set()
    former.workers["w0"].reached = True
    moves.mark_moves(former)
    assert former.dirty == {"j"}


# Guards against ends that one owner journals and another one overwrites.
def test_ends_in_both_pools_are_kept():
    former = _make_former(build.make_job("j", build.make_step(4)))
    tracked_step = next(iter(former.jobs["j"].steps.values()))
    for index in (2, 3):
        former.drop_run(tracked_step.runs_by_index[index])
        tracked_step.waiting_indices.add(index)
    update = _build(former)
    _confirm(former, update)
    present = _make_present(update)
    build.apply_plan(present, now=2.0)
    _end(present, 2, worker_port.RunOutcome.DONE)
    stored = _store(_build(present))
    _end(former, 0, worker_port.RunOutcome.DONE)
    moves.merge_progress(former, former.jobs["j"], stored, 3.0)
    moves.release_ended_tasks(former)
    stored = _store(_build(former))
    assert stored.steps[0, 0].done == {0, 2}
    assert stored.steps[0, 0].held == {1: _FORMER}
    _end(present, 3, worker_port.RunOutcome.DONE, number=2)
    moves.merge_progress(present, present.jobs["j"], stored, 4.0)
    assert present.jobs["j"].progress.steps[0, 0].done == {0, 2, 3}


# Guards against a task whose run in the former pool ends without success, and
# which starts nowhere any more.
@pytest.mark.parametrize(
    "outcome", [worker_port.RunOutcome.FAILED, worker_port.RunOutcome.LAPSED]
)
@pytest.mark.parametrize("lasting", [False, True])
def test_released_task_starts_in_the_new_home(outcome, lasting):
    step = build.make_step(2, lasting=lasting)
    former = _make_former(build.make_job("j", step, max_attempts=3))
    update = _build(former)
    _confirm(former, update)
    present = _make_present(update)
    assert _list_started(present) == set()
    _end(former, 1, outcome)
    moves.release_ended_tasks(former)
    assert former.dirty == {"j"}
    assert work.plan(former, 9.0, build.WALL).placements == []
    moves.merge_progress(
        present, present.jobs["j"], _store(_build(former)), 4.0
    )
    assert _list_started(present) == {1}


# Guards against a gang whose first members start again elsewhere while others
# of its last start still run.
def test_gang_is_released_as_a_whole():
    step = build.make_step(2, gang=True)
    former = _make_former(build.make_job("j", step))
    _confirm(former, _build(former))
    _end(former, 0, worker_port.RunOutcome.BROKEN)
    moves.release_ended_tasks(former)
    assert former.jobs["j"].progress.steps[0, 0].held == dict.fromkeys(
        range(2), _FORMER
    )
    _end(former, 1, worker_port.RunOutcome.STOPPED, number=2)
    moves.release_ended_tasks(former)
    assert former.jobs["j"].progress.steps[0, 0].held == {}


# Guards against a job that never fails, since its failures are spread over two
# pools.
def test_failures_in_both_pools_add_up():
    former = _make_former(build.make_job("j", build.make_step(1)))
    update = _build(former)
    _confirm(former, update)
    present = _make_present(update)
    _end(former, 0, worker_port.RunOutcome.FAILED)
    moves.release_ended_tasks(former)
    moves.merge_progress(
        present, present.jobs["j"], _store(_build(former)), 4.0
    )
    build.apply_plan(present, now=5.0)
    _end(present, 0, worker_port.RunOutcome.FAILED)
    assert present.jobs["j"].progress.final_state is work.State.FAILED


# Guards against runs in the former pool that go on once their job is over.
@pytest.mark.parametrize("cancelled", [False, True])
def test_end_of_a_job_stops_its_runs_in_the_former_pool(cancelled):
    former = _make_former(build.make_job("j", build.make_step(2)))
    update = _build(former)
    _confirm(former, update)
    if cancelled:
        job = dataclasses.replace(update.job, cancelled=True)
        former.put_job(job, work.Progress(), 20, 5.0)
    else:
        present = _make_present(update)
        present.finish(present.jobs["j"], work.State.FAILED, 5.0)
        final_update = _build(present)
        assert final_update.job is not None
        moves.merge_progress(
            former, former.jobs["j"], _store(final_update), 5.0
        )
    assert len(former.outbox) == 2


# Guards against a job that is told as failed for crashes that its former pool
# has not judged yet.
def test_move_does_not_give_up_a_job_for_crashes_of_held_tasks():
    former = _make_former(build.make_job("j", build.make_step(2)))
    progress = former.jobs["j"].progress.steps[0, 0]
    progress.crashes[0] = [
        progresses.Crash(number, True) for number in range(3)
    ]
    present = _make_present(_build(former))
    assert present.jobs["j"].progress.final_state is None


# Guards against ends that are lost when a successor loads a job of its own pool
# that has been away, with tasks that its pool held meanwhile.
def test_successor_decides_about_tasks_held_by_its_own_pool():
    former = _make_former(build.make_job("j", build.make_step(2)))
    update = _build(former)
    back = dataclasses.replace(
        update.progress, home=_FORMER, moves=update.progress.moves + 1
    )
    job = dataclasses.replace(update.job, pool=_FORMER, moves=back.moves)
    stored = work.parse_progress(work.dump_progress(back))
    successor = build.make_pool_state()
    successor.pool = _FORMER
    successor.put_job(job, stored, 20, 5.0)
    successor.open_due_occurrences(build.WALL, 5.0)
    tracked_job = successor.jobs["j"]
    tracked_job.progress.steps[0, 0].done.add(1)
    moves.merge_progress(
        successor,
        tracked_job,
        work.parse_progress(work.dump_progress(back)),
        6.0,
    )
    assert tracked_job.progress.steps[0, 0].done == {1}


# Guards against a successor that takes tasks which it holds for tasks of a job
# accepted after its takeover, as the job's record is newer.
def test_held_tasks_wait_until_all_workers_have_reported():
    former = _make_former(build.make_job("j", build.make_step(2)))
    update = _build(former)
    successor = build.make_pool_state()
    successor.pool, successor.epoch = _FORMER, 10
    successor.workers["w0"].reached = False
    successor.put_job(
        update.job, _store(update), 20, 5.0, is_home=False, is_older=True
    )
    successor.open_due_occurrences(build.WALL, 5.0)
    moves.release_ended_tasks(successor)
    progress = successor.jobs["j"].progress.steps[0, 0]
    assert progress.held == dict.fromkeys(range(2), _FORMER)
    successor.workers["w0"].reached = True
    moves.release_ended_tasks(successor)
    assert progress.held == {}
