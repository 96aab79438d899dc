"""Blame for workers that crash, and where what is blamed starts next."""

import cbor2
import pytest

from crocusrouter import work
from crocusrouter.work import progress as progresses
from crocusrouter.work import runs
from crocusrouter.work.tests import build

_RETURN_S = 3.3
_WORKERS = tuple(f"w{number}" for number in range(9))


def _key(job, index=0, step=0):
    return work.TaskKey(job, 0, step, index)


def _crash(pool_state, worker, at, back_after_s=_RETURN_S):
    """Crash a worker; another incarnation answers some seconds later."""
    work.note_silent(pool_state, worker, at)
    work.note_replaced(pool_state, worker, at + back_after_s)
    return at + back_after_s


def _lose(pool_state, worker, at):
    """Lose a worker for good; its leases end."""
    work.note_silent(pool_state, worker, at)
    work.note_lapsed(pool_state, worker, "its lease has ended", at + 6.1)
    return at + 6.1


def _list_kept(pool_state, key):
    return pool_state.find_work(key).kept.crashes.get(key.position, [])


def _save(pool_state):
    pool_state.note_crashes_kept(list(pool_state.jobs))
    pool_state.dirty.clear()


def _hear(pool_state, worker, now):
    build.report(pool_state, worker, now=now, sent_at=now - 0.001)


@pytest.mark.parametrize("end", [_crash, _lose], ids=["back", "lost"])
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
def test_task_under_which_workers_crash_at_its_start_is_given_up(step, end):
    """A caller reads "running" for ever while one worker after the other is
    lost under its job, 13 starts in a row and no end in sight. The same where
    each stays away for longer than a lease.
    """
    pool_state = build.make_book(build.make_job("j", step), workers=_WORKERS)
    now, crashed = 0.0, 0
    while not pool_state.jobs["j"].is_final and crashed < len(_WORKERS):
        build.start_planned(pool_state, now)
        worker = next(iter(pool_state.runs.values())).worker
        now = end(pool_state, worker, now + 0.01)
        crashed += 1
        _save(pool_state)
    assert pool_state.jobs["j"].progress.final is work.State.FAILED
    assert crashed == 3


def test_start_without_an_answer_counts():
    """A worker is gone before it has answered the start that ended it, so the
    run was never confirmed.
    """
    pool_state = build.make_book(build.make_job("j", build.make_step()))
    build.start_planned(pool_state, confirm=False)
    run = pool_state.runs[_key("j")]
    pool_state.note_maybe_begun(run.key, run.number)
    _crash(pool_state, run.worker, 2.5)
    assert _list_kept(pool_state, _key("j")) == [(run.number, True)]


@pytest.mark.parametrize(
    ("sealed", "was_evacuated", "maybe_begun"),
    [(True, False, True), (False, True, True), (False, False, False)],
    ids=["said-it-leaves", "upkeep", "never-sent"],
)
def test_end_that_is_no_crash_is_not_counted(
    sealed, was_evacuated, maybe_begun
):
    pool_state = build.make_book(build.make_job("j", build.make_step()))
    build.start_planned(pool_state, confirm=False)
    run = pool_state.runs[_key("j")]
    worker = pool_state.workers[run.worker]
    worker.sealed, worker.was_evacuated = sealed, was_evacuated
    if maybe_begun:
        pool_state.note_taken(run.key, run.number, 0.0)
    _crash(pool_state, run.worker, 0.1)
    assert not _list_kept(pool_state, _key("j"))


def test_worker_that_was_only_cut_off_takes_the_crash_back():
    """A worker is silent right after a start, and tells later that it runs."""
    pool_state = build.make_book(build.make_job("j", build.make_step()))
    build.start_planned(pool_state)
    run = pool_state.runs[_key("j")]
    work.note_silent(pool_state, run.worker, 0.5)
    assert _list_kept(pool_state, _key("j"))
    _hear(pool_state, run.worker, 1.0)
    assert not _list_kept(pool_state, _key("j"))


def test_successor_knows_of_a_crash_that_its_predecessor_only_suspected():
    """The owner is lost between the crash and the worker's return: nobody
    else knew who had been running there, and the task had one crash fewer.
    """
    pool_state = build.make_book(build.make_job("j", build.make_step()))
    build.start_planned(pool_state)
    run = pool_state.runs[_key("j")]
    work.note_silent(pool_state, run.worker, 0.1)
    assert "j" in pool_state.dirty
    kept = progresses.parse_progress(
        progresses.dump_progress(pool_state.jobs["j"].progress)
    )
    successor = build.make_book(workers=_WORKERS)
    successor.put_job(pool_state.jobs["j"].job, kept, 2, 2.0)
    successor.open_due(build.WALL, 2.0)
    build.start_planned(successor, 2.0)
    again = successor.runs[_key("j")]
    again.number = run.number + 1
    assert not successor.workers[again.worker].may_take(2.0)
    now = _crash(successor, again.worker, 2.1)
    _save(successor)
    build.start_planned(successor, now)
    again = successor.runs[_key("j")]
    again.number = run.number + 2
    _crash(successor, again.worker, now + 0.1)
    assert successor.jobs["j"].progress.final is work.State.FAILED


def test_progress_of_an_earlier_version_has_no_crashes():
    kept = progresses.Progress()
    kept.get(0, 0).crashes[0] = [progresses.Crash(7, True)]
    assert progresses.parse_progress(progresses.dump_progress(kept)) == kept
    old = cbor2.dumps([None, 0.0, [[0, 0, [1], {}, {}]]])
    assert progresses.parse_progress(old).steps[0, 0].crashes == {}


def test_nothing_of_a_job_starts_before_its_crash_is_journaled():
    """The owner is lost right after a start that followed a crash, and its
    successor reads no crash.
    """
    pool_state = build.make_book(build.make_job("j", build.make_step()))
    build.start_planned(pool_state)
    now = _crash(pool_state, pool_state.runs[_key("j")].worker, 0.1)
    assert build.start_planned(pool_state, now).placements == []
    _save(pool_state)
    assert build.start_planned(pool_state, now).placements


def test_task_beside_a_crashing_one_is_not_given_up():
    """Two jobs begin on one worker, which crashes. The innocent one ran a
    second time beside the other, and was given up with it.

    Each gets a worker of its own for its next start, so the second crash
    speaks against one of them only.
    """
    pool_state = build.make_book(
        build.make_job("bad", build.make_step(gpu=2)),
        build.make_job("good", build.make_step(gpu=2)),
        workers=("w0",),
    )
    build.start_planned(pool_state)
    now = _crash(pool_state, "w0", 0.1)
    _save(pool_state)
    for name in _WORKERS[1:]:
        pool_state.set_worker(build.make_entry(name), now)
        pool_state.workers[name].reached = True
    build.start_planned(pool_state, now)
    bad, good = pool_state.runs[_key("bad")], pool_state.runs[_key("good")]
    assert bad.worker != good.worker
    assert not pool_state.workers[good.worker].may_take(now)
    now = _crash(pool_state, bad.worker, now + 0.1)
    _save(pool_state)
    _hear(pool_state, good.worker, now)
    build.start_planned(pool_state, now)
    _crash(pool_state, pool_state.runs[_key("bad")].worker, now + 0.1)
    assert pool_state.jobs["bad"].progress.final is work.State.FAILED
    assert not pool_state.jobs["good"].is_final


def test_long_runs_are_not_blamed_beside_one_that_has_just_begun():
    pool_state = build.make_book(
        build.make_job("old", build.make_step(gpu=2)), workers=("w0", "w1")
    )
    build.start_planned(pool_state)
    worker = pool_state.runs[_key("old")].worker
    _hear(pool_state, worker, 8.0)
    pool_state.runs[_key("old")].progressed_at = 8.0
    build.put(
        pool_state, build.make_job("new", build.make_step(gpu=2)), now=8.0
    )
    build.start_planned(pool_state, 8.0)
    assert pool_state.runs[_key("new")].worker == worker
    _crash(pool_state, worker, 8.1)
    assert [crash.early for crash in _list_kept(pool_state, _key("old"))] == [
        False
    ]
    assert [crash.early for crash in _list_kept(pool_state, _key("new"))] == [
        True
    ]


def test_task_that_crashes_late_is_given_up_after_four():
    """A task ends its worker only after some seconds of work, each time
    together with others that have run for as long.
    """
    pool_state = build.make_book(
        build.make_job("j", build.make_step()), workers=_WORKERS
    )
    now, crashed = 0.0, 0
    while not pool_state.jobs["j"].is_final and crashed < len(_WORKERS):
        build.start_planned(pool_state, now)
        worker = pool_state.runs[_key("j")].worker
        _hear(pool_state, worker, now + 2.5)
        now = _crash(pool_state, worker, now + 4.0)
        crashed += 1
        _save(pool_state)
    assert crashed == 4


def test_run_that_has_worked_for_long_is_cleared():
    pool_state = build.make_book(build.make_job("j", build.make_step()))
    found = pool_state.find_work(_key("j"))
    found.kept.crashes[0] = [progresses.Crash(0, True)]
    build.start_planned(pool_state)
    run = pool_state.runs[_key("j")]
    _hear(pool_state, run.worker, 1.0)
    assert found.kept.is_suspect
    _hear(pool_state, run.worker, runs.TRIAL_S)
    assert not found.kept.is_suspect
    _hear(pool_state, run.worker, 61.0)
    assert not found.kept.crashes


def test_one_task_of_a_suspected_step_is_tried_at_a_time():
    """The first tasks of a wide step took one worker each along, and so did
    the second ones: 20 workers of 24.
    """
    pool_state = build.make_book(
        build.make_job("j", build.make_step(4)), workers=_WORKERS
    )
    found = pool_state.find_work(_key("j"))
    found.kept.crashes[2] = [progresses.Crash(0, True)]
    build.start_planned(pool_state)
    assert list(found.running) == [2]
    assert build.start_planned(pool_state, 1.0).placements == []
    _hear(pool_state, found.running[2].worker, 2.5)
    build.start_planned(pool_state, 2.5)
    assert not found.waiting


def test_suspect_does_not_wait_for_a_quiet_worker_for_ever():
    """Under load something begins on every worker all the time, and an
    innocent task that was beside a crash never started again.
    """
    pool_state = build.make_book(
        build.make_job("busy", build.make_step()), workers=("w0",)
    )
    build.start_planned(pool_state)
    build.put(pool_state, build.make_job("j", build.make_step()))
    found = pool_state.find_work(_key("j"))
    found.kept.crashes[0] = [progresses.Crash(0, True)]
    assert build.start_planned(pool_state, 1.0).placements == []
    busy = pool_state.runs[_key("busy")]
    busy.since = busy.progressed_at = 4.5
    build.start_planned(pool_state, 4.5)
    assert found.running


def test_many_suspects_leave_workers_to_others():
    """Several workers crash by themselves at once, each with a task of another
    job that has just begun. Trials for all of them closed every worker, and
    nothing else started for two seconds.
    """
    suspects = [
        build.make_job(f"s{number}", build.make_step()) for number in range(6)
    ]
    workers = [f"w{number}" for number in range(8)]
    pool_state = build.make_book(*suspects, workers=workers)
    for job in suspects:
        found = pool_state.find_work(_key(job.id))
        found.kept.crashes[0] = [progresses.Crash(0, True)]
    now = 0.0
    while not all(_key(job.id) in pool_state.runs for job in suspects):
        build.start_planned(pool_state, now)
        closed = sum(
            not held.may_take(now) for held in pool_state.workers.values()
        )
        assert closed <= 2
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
def test_successor_gives_up_what_its_predecessor_could_not(crashes, state):
    """A task is given up while the store is away, and the owner is lost before
    it can write that down; each successor started the task again.
    """
    progress = work.Progress()
    progress.get(0, 0).crashes[0] = [
        progresses.Crash(run, early) for run, early in crashes
    ]
    pool_state = build.make_book()
    job = build.make_job("j", build.make_step())
    pool_state.put_job(job, progress, 2, 0.0)
    assert pool_state.jobs["j"].progress.final is state
    assert ("j" in pool_state.dirty) is (state is not None)


def test_trial_heeds_the_bound_on_tasks_of_a_worker():
    """Two tasks of a step ran on a worker that its caller wanted to have one
    at most: the emptiest worker was the one on which the first still ran.
    """
    step = build.make_step(2, per_worker=1)
    pool_state = build.make_book(build.make_job("j", step), workers=("w0",))
    found = pool_state.find_work(_key("j"))
    build.start_planned(pool_state)
    found.kept.crashes[1] = [progresses.Crash(0, True)]
    pool_state.runs[_key("j")].progressed_at = 2.5
    assert build.start_planned(pool_state, 2.5).placements == []
    pool_state.set_worker(build.make_entry("w1"), 2.5)
    pool_state.workers["w1"].reached = True
    build.start_planned(pool_state, 2.5)
    assert pool_state.runs[_key("j", 1)].worker == "w1"


def test_innocent_gang_is_not_given_up_where_workers_restart_by_themselves():
    """A caller reads "failed" of a sound job that met three restarts."""
    gang = build.make_step(3, gang=True, gpu=2)
    others = [
        build.make_job(f"k{number}", build.make_step(1, gpu=8))
        for number in range(6)
    ]
    pool_state = build.make_book(
        build.make_job("j", gang), *others, workers=_WORKERS
    )
    now = 0.0
    for _ in range(3):
        build.start_planned(pool_state, now)
        ours = next(
            run.worker for key, run in pool_state.runs.items() if key.job == "j"
        )
        beside = next(
            run.worker for run in pool_state.runs.values() if run.worker != ours
        )
        for worker in (beside, ours):
            _crash(pool_state, worker, now + 0.4)
        now += 0.4 + _RETURN_S
        _save(pool_state)
    assert pool_state.jobs["j"].progress.final is None
