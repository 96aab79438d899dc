"""Crashes of workers: which tasks are suspected, and where these start next."""

import cbor2
import pytest

from crocusrouter import work
from crocusrouter.work import progress as progresses
from crocusrouter.work import tracking
from crocusrouter.work.tests import build

_RESTART_S = 3.3
_WORKERS = tuple(f"w{number}" for number in range(9))


def _key(job, index=0, step=0):
    return work.TaskKey(job, 0, step, index)


def _crash(pool_state, worker_id, at, back_after_s=_RESTART_S):
    """Crash a worker; its next incarnation answers some seconds later."""
    work.note_silent(pool_state, worker_id, at)
    work.note_replaced(pool_state, worker_id, at + back_after_s)
    return at + back_after_s


def _lose(pool_state, worker_id, at):
    """Lose a worker for good; its leases expire."""
    work.note_silent(pool_state, worker_id, at)
    work.note_lapsed(pool_state, worker_id, "its lease has ended", at + 6.1)
    return at + 6.1


def _list_crashes(pool_state, key):
    return pool_state.find_tracked_step(key).progress.crashes.get(
        key.position, []
    )


def _journal_crashes(pool_state):
    pool_state.note_crashes_journaled(list(pool_state.jobs))
    pool_state.dirty.clear()


def _report_runs(pool_state, worker_id, now):
    build.apply_report(pool_state, worker_id, now=now, sent_at=now - 0.001)


@pytest.mark.parametrize("lose_worker", [_crash, _lose], ids=["back", "lost"])
@pytest.mark.parametrize(
    "step",
    [
        build.make_step(1),
        build.make_step(5),
        build.make_step(3, gang=True),
        build.make_step(1, lasting=True),
        build.make_step(2, copies=True),
    ],
    ids=["single", "wide", "gang", "lasting", "copies"],
)
def test_task_under_which_workers_crash_at_its_start_is_given_up(
    step, lose_worker
):
    """A job that crashes each of its workers must fail, not run for ever.

    Otherwise a caller reads "running" while one worker after the other is lost
    under the job, also if each stays away for longer than a lease.
    """
    pool_state = build.make_pool_state(
        build.make_job("j", step), workers=_WORKERS
    )
    now, crash_count = 0.0, 0
    while not pool_state.jobs["j"].is_final and crash_count < len(_WORKERS):
        build.apply_plan(pool_state, now)
        worker_id = next(iter(pool_state.runs.values())).worker_id
        now = lose_worker(pool_state, worker_id, now + 0.01)
        crash_count += 1
        _journal_crashes(pool_state)
    assert pool_state.jobs["j"].progress.final_state is work.State.FAILED
    assert crash_count == 3


def test_start_without_an_answer_counts():
    """A worker may crash before it answers the start that crashed it.

    The run was never confirmed then.
    """
    pool_state = build.make_pool_state(build.make_job("j", build.make_step()))
    build.apply_plan(pool_state, confirm=False)
    run = pool_state.runs[_key("j")]
    pool_state.note_maybe_started(run.key, run.number)
    _crash(pool_state, run.worker_id, 2.5)
    assert _list_crashes(pool_state, _key("j")) == [(run.number, True)]


@pytest.mark.parametrize(
    ("sealed", "was_evacuated", "maybe_begun"),
    [(True, False, True), (False, True, True), (False, False, False)],
    ids=["said-it-leaves", "upkeep", "never-sent"],
)
def test_end_that_is_no_crash_is_not_counted(
    sealed, was_evacuated, maybe_begun
):
    pool_state = build.make_pool_state(build.make_job("j", build.make_step()))
    build.apply_plan(pool_state, confirm=False)
    run = pool_state.runs[_key("j")]
    worker = pool_state.workers[run.worker_id]
    worker.was_draining, worker.was_evacuated = sealed, was_evacuated
    if maybe_begun:
        pool_state.note_started(run.key, run.number, 0.0)
    _crash(pool_state, run.worker_id, 0.1)
    assert not _list_crashes(pool_state, _key("j"))


def test_worker_that_was_only_cut_off_withdraws_the_crash():
    """A worker may fall silent right after a start and report the run later."""
    pool_state = build.make_pool_state(build.make_job("j", build.make_step()))
    build.apply_plan(pool_state)
    run = pool_state.runs[_key("j")]
    work.note_silent(pool_state, run.worker_id, 0.5)
    assert _list_crashes(pool_state, _key("j"))
    _report_runs(pool_state, run.worker_id, 1.0)
    assert not _list_crashes(pool_state, _key("j"))


# Guards against sound jobs that are told as failed for starts which were never
# carried out: a worker that answers again has not crashed, and says nothing of
# runs that it does not know.
@pytest.mark.parametrize("has_lapsed", [False, True])
@pytest.mark.parametrize("confirmed", [False, True])
def test_worker_that_answers_again_withdraws_crashes_of_unknown_runs(
    confirmed, has_lapsed
):
    pool_state = build.make_pool_state(build.make_job("j", build.make_step()))
    build.apply_plan(pool_state, confirm=confirmed)
    run = pool_state.runs[_key("j")]
    pool_state.note_maybe_started(run.key, run.number)
    if has_lapsed:
        _lose(pool_state, run.worker_id, 0.5)
    else:
        work.note_silent(pool_state, run.worker_id, 0.5)
    assert _list_crashes(pool_state, _key("j"))
    build.apply_report(
        pool_state, run.worker_id, now=9.0, sent_at=8.9, running=()
    )
    assert not _list_crashes(pool_state, _key("j"))


def test_new_owner_knows_of_an_uncertain_crash():
    """A crash must count although the owner is lost before it is certain.

    Nobody else knew what was running on the worker, so the task would have one
    crash fewer.
    """
    pool_state = build.make_pool_state(build.make_job("j", build.make_step()))
    build.apply_plan(pool_state)
    run = pool_state.runs[_key("j")]
    work.note_silent(pool_state, run.worker_id, 0.1)
    assert "j" in pool_state.dirty
    progress = progresses.parse_progress(
        progresses.dump_progress(pool_state.jobs["j"].progress)
    )
    new_owner = build.make_pool_state(workers=_WORKERS)
    new_owner.put_job(pool_state.jobs["j"].job, progress, 2, 2.0)
    new_owner.open_due_occurrences(build.WALL, 2.0)
    build.apply_plan(new_owner, 2.0)
    next_run = new_owner.runs[_key("j")]
    next_run.number = run.number + 1
    assert not new_owner.workers[next_run.worker_id].may_start_tasks(2.0)
    now = _crash(new_owner, next_run.worker_id, 2.1)
    _journal_crashes(new_owner)
    build.apply_plan(new_owner, now)
    next_run = new_owner.runs[_key("j")]
    next_run.number = run.number + 2
    _crash(new_owner, next_run.worker_id, now + 0.1)
    assert new_owner.jobs["j"].progress.final_state is work.State.FAILED


def test_progress_of_an_earlier_version_has_no_crashes():
    progress = progresses.Progress()
    progress.get(0, 0).crashes[0] = [progresses.Crash(7, True)]
    assert (
        progresses.parse_progress(progresses.dump_progress(progress))
        == progress
    )
    old_record = cbor2.dumps([None, 0.0, [[0, 0, [1], {}, {}]]])
    assert progresses.parse_progress(old_record).steps[0, 0].crashes == {}


def test_nothing_of_a_job_starts_before_its_crash_is_journaled():
    """A crash must be journaled before the job's next start.

    Otherwise an owner that is lost right after that start leaves no record of
    the crash to the next owner.
    """
    pool_state = build.make_pool_state(build.make_job("j", build.make_step()))
    build.apply_plan(pool_state)
    now = _crash(pool_state, pool_state.runs[_key("j")].worker_id, 0.1)
    assert build.apply_plan(pool_state, now).placements == []
    _journal_crashes(pool_state)
    assert build.apply_plan(pool_state, now).placements


def test_task_beside_a_crashing_one_is_not_given_up():
    """An innocent task must not be given up together with a crashing one.

    Two jobs start on one worker, which crashes. If they run together again,
    both have two crashes. Each gets a worker of its own for its next start, so
    that the second crash counts against only one of them.
    """
    pool_state = build.make_pool_state(
        build.make_job("bad", build.make_step(gpu=2)),
        build.make_job("good", build.make_step(gpu=2)),
        workers=("w0",),
    )
    build.apply_plan(pool_state)
    now = _crash(pool_state, "w0", 0.1)
    _journal_crashes(pool_state)
    for worker_id in _WORKERS[1:]:
        pool_state.set_worker(build.make_entry(worker_id), now)
        build.mark_usable(pool_state.workers[worker_id])
    build.apply_plan(pool_state, now)
    bad_run, good_run = (
        pool_state.runs[_key("bad")],
        pool_state.runs[_key("good")],
    )
    assert bad_run.worker_id != good_run.worker_id
    assert not pool_state.workers[good_run.worker_id].may_start_tasks(now)
    now = _crash(pool_state, bad_run.worker_id, now + 0.1)
    _journal_crashes(pool_state)
    _report_runs(pool_state, good_run.worker_id, now)
    build.apply_plan(pool_state, now)
    _crash(pool_state, pool_state.runs[_key("bad")].worker_id, now + 0.1)
    assert pool_state.jobs["bad"].progress.final_state is work.State.FAILED
    assert not pool_state.jobs["good"].is_final


def test_long_runs_are_not_suspected_beside_one_that_has_just_started():
    pool_state = build.make_pool_state(
        build.make_job("old", build.make_step(gpu=2)), workers=("w0", "w1")
    )
    build.apply_plan(pool_state)
    worker_id = pool_state.runs[_key("old")].worker_id
    _report_runs(pool_state, worker_id, 8.0)
    pool_state.runs[_key("old")].progressed_at = 8.0
    build.add_job(
        pool_state, build.make_job("new", build.make_step(gpu=2)), now=8.0
    )
    build.apply_plan(pool_state, 8.0)
    assert pool_state.runs[_key("new")].worker_id == worker_id
    _crash(pool_state, worker_id, 8.1)
    assert [
        crash.early for crash in _list_crashes(pool_state, _key("old"))
    ] == [False]
    assert [
        crash.early for crash in _list_crashes(pool_state, _key("new"))
    ] == [True]


def test_task_that_crashes_late_is_given_up_after_four():
    """A task may crash its worker only after some seconds of work.

    Each time it does, other tasks have run there for as long.
    """
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step()), workers=_WORKERS
    )
    now, crash_count = 0.0, 0
    while not pool_state.jobs["j"].is_final and crash_count < len(_WORKERS):
        build.apply_plan(pool_state, now)
        worker_id = pool_state.runs[_key("j")].worker_id
        _report_runs(pool_state, worker_id, now + 2.5)
        now = _crash(pool_state, worker_id, now + 4.0)
        crash_count += 1
        _journal_crashes(pool_state)
    assert crash_count == 4


# Guards against a lasting job that is told as failed, with all its sound tasks
# stopped, since one worker crashes again and again under one of them.
def test_lasting_task_is_not_given_up_for_late_crashes():
    step = build.make_step(2, lasting=True, per_worker=1)
    pool_state = build.make_pool_state(
        build.make_job("j", step), workers=_WORKERS
    )
    now = 0.0
    for crash_count in range(7):
        build.apply_plan(pool_state, now)
        worker_id = pool_state.runs[_key("j")].worker_id
        _report_runs(pool_state, worker_id, now + 8.0)
        now = _crash(pool_state, worker_id, now + 9.0)
        _journal_crashes(pool_state)
        assert len(_list_crashes(pool_state, _key("j"))) == crash_count + 1
    assert pool_state.jobs["j"].progress.final_state is None
    assert _key("j", 1) in pool_state.runs
    successor = build.make_pool_state()
    job, progress = pool_state.jobs["j"].job, pool_state.jobs["j"].progress
    successor.put_job(job, progress, 2, now)
    assert successor.jobs["j"].progress.final_state is None


def test_run_that_has_worked_for_long_is_cleared():
    pool_state = build.make_pool_state(build.make_job("j", build.make_step()))
    tracked_step = pool_state.find_tracked_step(_key("j"))
    tracked_step.progress.crashes[0] = [progresses.Crash(0, True)]
    build.apply_plan(pool_state)
    run = pool_state.runs[_key("j")]
    _report_runs(pool_state, run.worker_id, 1.0)
    assert tracked_step.progress.is_suspect
    _report_runs(pool_state, run.worker_id, tracking.TRIAL_S)
    assert not tracked_step.progress.is_suspect
    _report_runs(pool_state, run.worker_id, 61.0)
    assert not tracked_step.progress.crashes


def test_one_task_of_a_suspected_step_is_tried_at_a_time():
    """A wide step that crashes its workers must not crash one for each task.

    The first tasks of a step crashed one worker each, and so did the second
    ones: 20 workers of 24.
    """
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step(4)), workers=_WORKERS
    )
    tracked_step = pool_state.find_tracked_step(_key("j"))
    tracked_step.progress.crashes[2] = [progresses.Crash(0, True)]
    build.apply_plan(pool_state)
    assert list(tracked_step.runs_by_index) == [2]
    assert build.apply_plan(pool_state, 1.0).placements == []
    _report_runs(pool_state, tracked_step.runs_by_index[2].worker_id, 2.5)
    build.apply_plan(pool_state, 2.5)
    assert not tracked_step.waiting_indices


def test_suspect_does_not_wait_for_a_quiet_worker_for_ever():
    """A suspected task must start even if no worker is ever quiet.

    Under load, tasks start on every worker all the time, and an innocent task
    that was running beside a crash never started again.
    """
    pool_state = build.make_pool_state(
        build.make_job("busy", build.make_step()), workers=("w0",)
    )
    build.apply_plan(pool_state)
    build.add_job(pool_state, build.make_job("j", build.make_step()))
    tracked_step = pool_state.find_tracked_step(_key("j"))
    tracked_step.progress.crashes[0] = [progresses.Crash(0, True)]
    assert build.apply_plan(pool_state, 1.0).placements == []
    busy_run = pool_state.runs[_key("busy")]
    busy_run.ordered_at = busy_run.progressed_at = 4.5
    build.apply_plan(pool_state, 4.5)
    assert tracked_step.runs_by_index


def test_many_suspects_leave_workers_to_others():
    """Trials must not take up all workers of a pool.

    Several workers crash by themselves at once, each with a task of another job
    that has just started. Trials for all of these tasks would keep all other
    tasks from starting for two seconds.
    """
    suspected_jobs = [
        build.make_job(f"s{number}", build.make_step()) for number in range(6)
    ]
    workers = [f"w{number}" for number in range(8)]
    pool_state = build.make_pool_state(*suspected_jobs, workers=workers)
    for job in suspected_jobs:
        tracked_step = pool_state.find_tracked_step(_key(job.id))
        tracked_step.progress.crashes[0] = [progresses.Crash(0, True)]
    now = 0.0
    while not all(_key(job.id) in pool_state.runs for job in suspected_jobs):
        build.apply_plan(pool_state, now)
        trial_count = sum(
            not worker.may_start_tasks(now)
            for worker in pool_state.workers.values()
        )
        assert trial_count <= 2
        now += 0.5
    assert now <= 5.0


@pytest.mark.parametrize(
    ("crashes", "state"),
    [
        ([(1, True), (2, True)], None),
        ([(1, True), (2, True), (3, True)], work.State.FAILED),
        ([(1, False), (2, False), (3, True)], None),
        ([(1, False), (2, False), (3, False), (4, False)], work.State.FAILED),
    ],
    ids=["two", "three-early", "three", "four"],
)
def test_new_owner_gives_up_tasks_that_its_predecessor_could_not(
    crashes, state
):
    """A task must be given up although its owner could not record that.

    A task is given up while the store is unavailable, and the owner is lost
    before it can write. Each new owner would start the task again.
    """
    progress = work.Progress()
    progress.get(0, 0).crashes[0] = [
        progresses.Crash(run, early) for run, early in crashes
    ]
    pool_state = build.make_pool_state()
    job = build.make_job("j", build.make_step())
    pool_state.put_job(job, progress, 2, 0.0)
    assert pool_state.jobs["j"].progress.final_state is state
    assert ("j" in pool_state.dirty) is (state is not None)


def test_trial_respects_the_limit_of_tasks_per_worker():
    """A trial must not exceed a step's limit of tasks per worker.

    The worker with the least load may be the one on which another task of the
    step is still running.
    """
    step = build.make_step(2, per_worker=1)
    pool_state = build.make_pool_state(
        build.make_job("j", step), workers=("w0",)
    )
    tracked_step = pool_state.find_tracked_step(_key("j"))
    build.apply_plan(pool_state)
    tracked_step.progress.crashes[1] = [progresses.Crash(0, True)]
    pool_state.runs[_key("j")].progressed_at = 2.5
    assert build.apply_plan(pool_state, 2.5).placements == []
    pool_state.set_worker(build.make_entry("w1"), 2.5)
    build.mark_usable(pool_state.workers["w1"])
    build.apply_plan(pool_state, 2.5)
    assert pool_state.runs[_key("j", 1)].worker_id == "w1"


def test_innocent_gang_is_not_given_up_where_workers_restart_by_themselves():
    """A sound job that met three restarts of workers must not fail."""
    gang = build.make_step(3, gang=True, gpu=2)
    others = [
        build.make_job(f"k{number}", build.make_step(1, gpu=8))
        for number in range(6)
    ]
    pool_state = build.make_pool_state(
        build.make_job("j", gang), *others, workers=_WORKERS
    )
    now = 0.0
    for _ in range(3):
        build.apply_plan(pool_state, now)
        ours = next(
            run.worker_id
            for key, run in pool_state.runs.items()
            if key.job == "j"
        )
        beside = next(
            run.worker_id
            for run in pool_state.runs.values()
            if run.worker_id != ours
        )
        for worker in (beside, ours):
            _crash(pool_state, worker, now + 0.4)
        now += 0.4 + _RESTART_S
        _journal_crashes(pool_state)
    assert pool_state.jobs["j"].progress.final_state is None
