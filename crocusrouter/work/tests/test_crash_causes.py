"""Crashes of workers that something else than a task explains."""

import cbor2
import pytest

from crocusrouter import work
from crocusrouter.work import crash_causes
from crocusrouter.work import crash_records
from crocusrouter.work import progress as progresses
from crocusrouter.work.tests import build

_RESTART_S = 3.3
_WORKERS = tuple(f"w{number}" for number in range(20))


def _key(job, index=0):
    return work.TaskKey(job, 0, 0, index)


def _crash(pool_state, worker_id, at):
    work.note_silent(pool_state, worker_id, at)
    work.note_replaced(pool_state, worker_id, at + _RESTART_S)
    return at + _RESTART_S


def _journal_crashes(pool_state):
    pool_state.note_crashes_journaled(list(pool_state.jobs))
    pool_state.dirty.clear()


def _find_idle_workers(pool_state, count):
    return [
        worker_id
        for worker_id, worker in pool_state.workers.items()
        if not worker.runs and not worker.replaced
    ][:count]


def _crash_at_each_start(pool_state, job, others_per_start, max_starts=10):
    """Crash the worker of a job at each start, beside some idle workers.

    Returns:
        How often the job was started before it was given up.
    """
    now = 0.0
    for starts in range(max_starts):
        if pool_state.jobs[job].is_final:
            return starts
        while _key(job) not in pool_state.runs:
            build.apply_plan(pool_state, now)
            now += 0.5
        for worker_id in _find_idle_workers(pool_state, others_per_start):
            _crash(pool_state, worker_id, now)
        now = _crash(pool_state, pool_state.runs[_key(job)].worker_id, now)
        _journal_crashes(pool_state)
    return max_starts


@pytest.mark.parametrize(
    ("worker_count", "others_per_start", "start_count"),
    [(20, 0, 3), (40, 1, 3), (20, 2, 4), (200, 2, 3)],
    ids=["alone", "few", "many", "few-of-a-large-pool"],
)
def test_task_gets_one_more_start_where_many_workers_crash(
    worker_count, others_per_start, start_count
):
    """A sound job is told as failed where workers restart by themselves.

    A task that does crash its workers must still be given up in time.
    """
    workers = tuple(f"w{number}" for number in range(worker_count))
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step()), workers=workers
    )
    starts = _crash_at_each_start(pool_state, "j", others_per_start)
    assert starts == start_count


def test_task_of_an_earlier_owner_gets_no_more_starts():
    """A task that crashes its workers starts too often after takeovers.

    Crashes that no owner could record come on top of those that are counted.
    """
    pool_state = build.make_pool_state(workers=_WORKERS)
    pool_state.epoch = 5
    job = build.make_job("j", build.make_step())
    build.add_job(pool_state, job, created=3)
    assert _crash_at_each_start(pool_state, "j", others_per_start=2) == 3


@pytest.mark.parametrize(
    ("waiting_since", "now", "is_placed"),
    [(8.0, 10.0, False), (8.0, 12.5, True), (3.0, 9.1, True)],
    ids=["other-crash", "calm", "waited-long"],
)
def test_last_start_waits_until_no_other_worker_crashes(
    waiting_since, now, is_placed
):
    """A sound job meets one crash after the other in a series of restarts."""
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step()), workers=_WORKERS
    )
    tracked_step = pool_state.find_tracked_step(_key("j"))
    tracked_step.progress.crashes[0] = [
        progresses.Crash(number, True) for number in range(3)
    ]
    tracked_step.waiting_since = waiting_since
    _crash(pool_state, "w0", 9.0)
    plan = build.apply_plan(pool_state, now)
    assert bool(plan.placements) is is_placed


def test_tasks_that_crash_workers_do_not_excuse_each_other():
    """Two tasks that crash their workers at the same times would go on."""
    jobs = [build.make_job(name, build.make_step(gpu=8)) for name in "ab"]
    pool_state = build.make_pool_state(*jobs, workers=_WORKERS)
    now, crash_count = 0.0, 0
    while not all(tracked.is_final for tracked in pool_state.jobs.values()):
        build.apply_plan(pool_state, now)
        for run in list(pool_state.runs.values()):
            _crash(pool_state, run.worker_id, now + 0.01)
            crash_count += 1
        now += _RESTART_S
        _journal_crashes(pool_state)
    assert crash_count == 6


def _run_beside_bad_job(good_starts_earlier_s):
    """Crash a worker under a job that starts some time after another one."""
    pool_state = build.make_pool_state(
        build.make_job("good", build.make_step(gpu=2)), workers=("w0",)
    )
    build.apply_plan(pool_state, 0.0)
    now = good_starts_earlier_s
    build.add_job(
        pool_state, build.make_job("bad", build.make_step(gpu=2)), now=now
    )
    build.apply_plan(pool_state, now)
    now = _crash(pool_state, "w0", now + 0.01)
    _journal_crashes(pool_state)
    for worker_id in _WORKERS[1:]:
        pool_state.set_worker(build.make_entry(worker_id), now)
        build.mark_usable(pool_state.workers[worker_id])
    return pool_state, now


@pytest.mark.parametrize(
    ("earlier_s", "early"), [(0.0, True), (0.5, True), (1.5, False)]
)
def test_task_that_had_worked_longer_is_no_early_suspect(earlier_s, early):
    """A sound job is given up because others crash workers that it runs on.

    The worker still answered the other's start, so it had survived until then.
    """
    pool_state, _ = _run_beside_bad_job(earlier_s)
    crashes = pool_state.find_tracked_step(_key("good")).progress.crashes
    assert [crash.early for crash in crashes[0]] == [early]


def test_crash_is_withdrawn_once_its_cause_is_given_up():
    """A sound job is given up by crashes whose cause is known by then."""
    pool_state, now = _run_beside_bad_job(0.0)
    while not pool_state.jobs["bad"].is_final:
        build.apply_plan(pool_state, now)
        run = pool_state.runs[_key("bad")]
        now = _crash(pool_state, run.worker_id, now + 0.01)
        _journal_crashes(pool_state)
    crashes = pool_state.find_tracked_step(_key("good")).progress.crashes
    assert crashes[0] == []
    assert not pool_state.jobs["good"].is_final


def test_gang_gets_no_more_starts_than_its_tasks():
    """A gang whose members crash workers by turns would start without bound.

    No member alone reaches the bound on crashes that have another cause.
    """
    progress = progresses.StepProgress()
    progress.crashes[0] = [progresses.Crash(number, True) for number in (1, 2)]
    progress.crashes[1] = [progresses.Crash(number, True) for number in (3, 4)]
    progress.crashes[1].append(progresses.Crash(5, True))
    progress.explained_runs = {0: {1, 2}, 1: {3, 4, 5}}
    assert not progress.has_crashed_too_often(1)
    assert progress.has_crashed_too_often(1, is_gang=True)


def test_crashes_seen_by_an_earlier_owner_excuse_nobody():
    """A new owner does not know what ran on a worker before it answered."""
    pool_state = build.make_pool_state(workers=_WORKERS)
    for worker_id in _WORKERS[:9]:
        pool_state.workers[worker_id].reached = False
        _crash(pool_state, worker_id, 1.0)
    analysis = crash_causes.CrashAnalysis(pool_state)
    assert analysis.find_last_crash_elsewhere("j") is None


def test_worker_counts_once_if_it_lapses_and_is_replaced():
    pool_state = build.make_pool_state(workers=_WORKERS)
    work.note_silent(pool_state, "w0", 1.0)
    work.note_lapsed(pool_state, "w0", "its lease has ended", 7.0)
    work.note_replaced(pool_state, "w0", 8.0)
    assert list(pool_state.worker_crashes.values()) == [
        crash_records.WorkerCrash("w0", 1.0, (), is_certain=True)
    ]


def test_worker_that_was_only_cut_off_explains_nothing():
    """A task that crashes its workers would be excused by cuts of others."""
    pool_state = build.make_pool_state(workers=_WORKERS)
    work.note_silent(pool_state, "w0", 1.0)
    pool_state.unlist_worker("w0")
    work.note_lapsed(pool_state, "w0", "its lease has ended", 7.0)
    assert pool_state.worker_crashes["w0"].is_certain
    build.apply_report(pool_state, "w0", now=8.0)
    assert not pool_state.worker_crashes


def test_old_crashes_are_forgotten():
    pool_state = build.make_pool_state(workers=_WORKERS)
    for number in range(1000):
        crash = crash_records.WorkerCrash(
            f"w{number}", 1.0, (), is_certain=True
        )
        crash_causes.note_worker_crash(pool_state, crash)
    assert len(pool_state.worker_crashes) < 500
    assert "w999" in pool_state.worker_crashes


def test_new_owner_knows_which_crashes_are_explained():
    """A new owner would give a sound job up by crashes with another cause."""
    progress = work.Progress()
    step_progress = progress.get(0, 0)
    step_progress.crashes[0] = [
        progresses.Crash(number, True) for number in range(3)
    ]
    step_progress.explained_runs[0] = {0, 2}
    journaled_progress = work.parse_progress(work.dump_progress(progress))
    assert journaled_progress == progress
    pool_state = build.make_pool_state()
    job = build.make_job("j", build.make_step())
    pool_state.put_job(job, journaled_progress, 2, 0.0)
    assert not pool_state.jobs["j"].is_final


def test_progress_of_an_earlier_version_has_no_explained_runs():
    record = cbor2.dumps([None, 0.0, [[0, 0, [], {}, {}, {0: [[7, True]]}]]])
    progress = work.parse_progress(record).steps[0, 0]
    assert progress.crashes == {0: [progresses.Crash(7, True)]}
    assert progress.explained_runs == {}
