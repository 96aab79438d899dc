import dataclasses

import pytest

from crocusrouter import work
from crocusrouter.work import replacement
from crocusrouter.work import tracking
from crocusrouter.work import worker_port
from crocusrouter.work.tests import build

HOW = worker_port.RunOutcome


def _key(job, index=0, step=0, occurrence=0):
    return work.TaskKey(job, occurrence, step, index)


@pytest.mark.parametrize(
    ("steps", "ends", "state"),
    [
        ([build.make_step(2)], [HOW.DONE, HOW.DONE], work.State.DONE),
        ([build.make_step(2)], [HOW.DONE, HOW.FAILED], None),
        ([build.make_step(2, gang=True)], [HOW.DONE], work.State.DONE),
        ([build.make_step(1, lasting=True)], [HOW.DONE], None),
        ([build.make_step(1, lasting=True)], [HOW.FAILED], None),
    ],
)
def test_ends_decide_the_final_state(steps, ends, state):
    pool_state = build.make_pool_state(build.make_job("j", *steps))
    build.apply_plan(pool_state)
    for index, how in enumerate(ends):
        run = pool_state.runs[_key("j", index)]
        build.apply_report(pool_state, run.worker_id, (_key("j", index), how))
    assert pool_state.jobs["j"].progress.final_state is state


def test_final_state_is_shown_once_durable():
    """A final state is shown only after the journal holds it.

    Otherwise a caller may read "done", and "running" later: the owner is
    killed, and the new owner has not read the last end.
    """
    pool_state = build.make_pool_state(build.make_job("j", build.make_step()))
    build.apply_plan(pool_state)
    run = pool_state.runs[_key("j")]
    build.apply_report(pool_state, run.worker_id, (_key("j"), HOW.DONE))
    assert pool_state.jobs["j"].show_state() is work.State.RUNNING
    pool_state.note_durable(["j"])
    assert pool_state.jobs["j"].show_state() is work.State.DONE


def test_failed_end_listed_again_counts_once():
    """A failure that is read twice must not cost the job two attempts.

    A task fails, and the owner journals that but is killed before it confirms
    the end. The new owner reads the journal and then the same end again.
    Failures are kept by the number of the run, so this one counts once.
    """
    job = build.make_job("j", build.make_step(), max_attempts=2)
    pool_state = build.make_pool_state(job, workers=("w0",))
    progress = work.Progress()
    progress.get(0, 0).failed_runs[0] = [7]
    successor = build.make_pool_state(workers=("w0",))
    successor.put_job(
        job, work.parse_progress(work.dump_progress(progress)), 2, 0.0
    )
    successor.open_due_occurrences(build.WALL, 0.0)
    ended = worker_port.RunEnd(3, _key("j"), 7, HOW.FAILED)
    work.apply_report(
        successor, "w0", worker_port.Report(0, (), (ended,)), 0.0, 0.0
    )
    assert pool_state.jobs["j"].progress.final_state is None
    assert successor.jobs["j"].progress.final_state is None


def test_job_fails_after_its_last_attempt():
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step(2), max_attempts=2)
    )
    for now in (0.0, 10.0):
        build.apply_plan(pool_state, now=now)
        run = pool_state.runs[_key("j")]
        build.apply_report(
            pool_state, run.worker_id, (_key("j"), HOW.FAILED), now=now + 1
        )
    assert pool_state.jobs["j"].progress.final_state is work.State.FAILED
    other_run = pool_state.runs[_key("j", 1)]
    assert other_run.phase is tracking.Phase.STOPPING


def test_lost_gang_member_stops_the_gang():
    """A gang must not keep running without one of its members.

    After a member's worker is lost, the others are stopped, and none starts
    again before all have ended.
    """
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step(2, gpu=8, gang=True))
    )
    build.apply_plan(pool_state)
    first_run, second_run = (
        pool_state.runs[_key("j", index)] for index in (0, 1)
    )
    pool_state.note_lapsed(first_run.worker_id, "test", 1.0)
    assert second_run.phase is tracking.Phase.STOPPING
    assert build.apply_plan(pool_state, now=5.0).placements == []
    build.apply_report(
        pool_state, second_run.worker_id, (second_run.key, HOW.STOPPED), now=6.0
    )
    assert pool_state.find_tracked_step(first_run.key).waiting_indices == {0, 1}


@pytest.mark.parametrize(
    ("confirmed", "sent_at", "still_runs"),
    [(True, 2.0, False), (True, -1.0, True), (False, 2.0, True)],
)
def test_run_missing_from_a_report(confirmed, sent_at, still_runs):
    """A task must not count as running for ever if its worker does not know it.

    This happens if a previous owner confirmed the end of the run and died. Only
    a report that was requested after the start was confirmed proves it.
    """
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step()), workers=("w0",)
    )
    build.apply_plan(pool_state, confirm=confirmed)
    build.apply_report(pool_state, "w0", now=3.0, sent_at=sent_at, running=())
    assert (_key("j") in pool_state.runs) is still_runs


def test_new_owner_adopts_wanted_runs_and_stops_strays():
    """After a takeover a task must neither start twice nor run unwanted."""
    job = build.make_job("j", build.make_step(2))
    cancelled_job = build.make_job("x", build.make_step(1), cancelled=True)
    pool_state = build.make_pool_state(job, cancelled_job)
    running = (
        worker_port.ReportedRun(_key("j"), 5),
        worker_port.ReportedRun(_key("x"), 6),
    )
    build.apply_report(pool_state, "w0", running=running)
    assert pool_state.runs[_key("j")].number == 5
    assert pool_state.find_tracked_step(_key("j")).waiting_indices == {1}
    assert [order.key for _, order in pool_state.outbox] == [_key("x")]


def test_task_of_a_rejected_start_waits_and_starts_on_another_worker():
    pool_state = build.make_pool_state(build.make_job("j", build.make_step()))
    build.apply_plan(pool_state, confirm=False)
    run = pool_state.runs[_key("j")]
    pool_state.note_never_started(_key("j"), run.number, "no-room", 0.0)
    assert build.apply_plan(pool_state, now=0.1).placements == []
    plan = build.apply_plan(pool_state, now=1.0)
    assert plan.placements[0].spots[0] != run.worker_id


def test_cancelled_job_stops_and_starts_nothing():
    job = build.make_job("j", build.make_step(2))
    pool_state = build.make_pool_state(job)
    build.apply_plan(pool_state)
    cancelled_job = build.make_job("j", build.make_step(2), cancelled=True)
    pool_state.put_job(cancelled_job, work.Progress(), 9, 1.0)
    assert {run.phase for run in pool_state.runs.values()} == {
        tracking.Phase.STOPPING
    }
    assert work.plan(pool_state, 2.0, build.WALL).placements == []
    assert pool_state.jobs["j"].show_state() is work.State.CANCELLED


def test_occurrences_open_on_time():
    job = build.make_job(
        "j",
        build.make_step(),
        repeats=3,
        first_due=build.WALL + 10,
        interval_s=5.0,
    )
    pool_state = build.make_pool_state(job)
    assert pool_state.find_next_due() == build.WALL + 10
    for wall, opened in ((9.9, 0), (10.0, 1), (14.9, 1), (21.0, 3)):
        pool_state.open_due_occurrences(build.WALL + wall, wall)
        assert pool_state.jobs["j"].opened_count == opened


def test_pending_counts_jobs_that_have_not_started():
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step()),
        build.make_job("k", build.make_step(1, gpu=99)),
    )
    build.apply_plan(pool_state)
    assert pool_state.count_pending("q") == 1


@pytest.mark.parametrize(
    ("jobs", "suspected"), [(("j", "j"), False), (("j", "k"), True)]
)
def test_failures_of_different_jobs_make_the_worker_suspect(jobs, suspected):
    """Jobs must not use up their attempts on a worker that fails all tasks."""
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step(2), max_attempts=9),
        build.make_job("k", build.make_step(2), max_attempts=9),
        workers=("w0",),
    )
    build.apply_plan(pool_state)
    for index, job in enumerate(jobs):
        build.apply_report(pool_state, "w0", (_key(job, index), HOW.FAILED))
    assert pool_state.workers["w0"].may_start_tasks(2.0) is not suspected
    assert pool_state.workers["w0"].may_start_tasks(20.0)


# Guards against a pool in which nothing starts for 4 s, and longer with each
# further failure: tasks of two jobs that always fail have failed everywhere.
@pytest.mark.parametrize(
    ("workers", "suspected"), [(1, 1), (2, 1), (3, 1), (6, 2), (12, 4)]
)
def test_failing_jobs_make_no_more_than_a_third_suspect(workers, suspected):
    names = [f"w{number}" for number in range(workers)]
    step = build.make_step(workers, per_worker=1)
    pool_state = build.make_pool_state(
        *(build.make_job(name, step, max_attempts=99) for name in "jk"),
        workers=names,
    )
    build.apply_plan(pool_state)
    for now in (1.0, 2.0):
        for worker_id in names:
            for run in list(pool_state.workers[worker_id].runs.values()):
                build.apply_report(
                    pool_state, worker_id, (run.key, HOW.FAILED), now=now
                )
        may_start = [
            pool_state.workers[worker_id].may_start_tasks(now + 0.5)
            for worker_id in names
        ]
        assert may_start.count(False) == suspected
        build.apply_plan(pool_state, now=now + 0.5)
    build.add_job(pool_state, build.make_job("x", build.make_step()))
    plan = build.apply_plan(pool_state, now=2.5)
    # Of two workers, the steps that wait for the first hold the second.
    assert len(plan.placements) == (workers > 2)


@pytest.mark.parametrize("how", [None, HOW.DONE])
def test_report_before_the_first_decision(how):
    """A new owner must not repeat tasks that have run, or stop those that run.

    Workers report before its first decision, when no occurrence is open yet.
    Such a report opens the occurrence.
    """
    pool_state = build.make_pool_state()
    job = build.make_job(
        "j",
        build.make_step(1),
        repeats=2,
        first_due=build.WALL + 9,
        interval_s=50.0,
    )
    pool_state.put_job(job, work.Progress(), 2, 0.0)
    running = () if how else (worker_port.ReportedRun(_key("j"), 5),)
    ended = (worker_port.RunEnd(1, _key("j"), 5, how),) if how else ()
    work.apply_report(
        pool_state, "w0", worker_port.Report(0, running, ended), 0.0, 0.0
    )
    pool_state.open_due_occurrences(build.WALL + 9, 9.0)
    assert pool_state.outbox == []
    assert work.plan(pool_state, 9.0, build.WALL + 9).placements == []


def test_jobs_are_over_once_none_of_their_tasks_runs():
    """A job must not be removed while a worker still runs one of its tasks.

    The task would then be unknown, and would keep running until its lease ends.
    """
    job = build.make_job("j", build.make_step(1))
    pool_state = build.make_pool_state(job)
    build.apply_plan(pool_state)
    run = pool_state.runs[_key("j")]
    cancelled_job = build.make_job("j", build.make_step(1), cancelled=True)
    pool_state.put_job(cancelled_job, work.Progress(), 9, 1.0)
    assert pool_state.list_ended_jobs(before=5.0) == []
    build.apply_report(
        pool_state, run.worker_id, (run.key, HOW.STOPPED), now=2.0
    )
    assert pool_state.list_ended_jobs(before=1.0) == []
    assert pool_state.list_ended_jobs(before=5.0) == ["j"]


def test_runs_lost_with_their_worker_are_logged():
    """The log must show with which worker a run was lost, and how soon.

    Without these lines, a task that starts again and again can't be explained.
    """
    pool_state = build.make_pool_state(build.make_job("j", build.make_step(2)))
    build.apply_plan(pool_state, now=1.0)
    worker_id = pool_state.runs[_key("j")].worker_id
    pool_state.note_silent(worker_id, 1.25)
    replacement.note_incarnation_replaced(pool_state, worker_id, 4.0)
    lost_events = [
        fields for kind, fields in pool_state.events if kind == "run:lost"
    ]
    assert [fields["task"] for fields in lost_events] == [
        _key("j"),
        _key("j", 1),
    ]
    assert {fields["ran_s"] for fields in lost_events} == {0.25}


def test_worker_with_a_stray_gets_nothing_until_the_stray_has_ended():
    """A worker that does not check its room must not get too many tasks.

    A run of a cancelled job, found after a takeover, still takes room there.
    """
    cancelled_job = build.make_job("c", build.make_step(), cancelled=True)
    pool_state = build.make_pool_state(cancelled_job, workers=("w0",))
    build.add_job(pool_state, build.make_job("j", build.make_step(gpu=8)))
    stray = worker_port.ReportedRun(_key("c"), 7)
    build.apply_report(pool_state, "w0", running=(stray,))
    assert [order for _, order in pool_state.outbox] == [
        worker_port.Stop(_key("c"), 7)
    ]
    assert build.apply_plan(pool_state, 1.0).placements == []
    build.apply_report(pool_state, "w0", running=(), now=1.2)
    assert build.apply_plan(pool_state, 1.2).placements


@pytest.mark.parametrize(
    ("gpu", "over"), [(8, False), (4, True)], ids=["whole", "shrunk"]
)
def test_worker_whose_room_has_shrunk_below_its_runs(gpu, over):
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step(gpu=6)), workers=("w0",)
    )
    build.apply_plan(pool_state)
    pool_state.set_worker(build.make_entry("w0", gpu=gpu), 1.0)
    assert (
        pool_state.workers["w0"].is_overcommitted(build.make_step(gpu=6).charge)
        is over
    )
    assert not pool_state.workers["w0"].is_overcommitted(
        build.make_step(gpu=0).charge
    )


def test_job_ends_whose_last_occurrence_was_done_before_it_was_opened():
    """A job must end although its last occurrence ended under a previous owner.

    An owner is lost after the second occurrence has ended and before the first
    has. The new owner hears of the first one's end from a worker before its
    first decision has opened the second, and no run ends after that.
    """
    job = build.make_job(
        "j", build.make_step(), repeats=2, first_due=build.WALL, interval_s=1.0
    )
    progress = work.Progress()
    progress.get(1, 0).done.add(0)
    pool_state = build.make_pool_state(workers=("w0",))
    pool_state.put_job(job, progress, 2, 0.0)
    end = worker_port.RunEnd(1, _key("j"), 7, HOW.DONE)
    work.apply_report(
        pool_state, "w0", worker_port.Report(0, (), (end,)), 1.0, 1.0
    )
    assert pool_state.jobs["j"].progress.final_state is None
    pool_state.open_due_occurrences(build.WALL + 5.0, 1.1)
    assert pool_state.jobs["j"].progress.final_state is work.State.DONE


# Guards against a gang of a cancelled job that nobody stops: an earlier run of
# it had ended on workers that were cut off, and was reported once they were
# back, when the gang had been started again elsewhere.
@pytest.mark.parametrize("ended_before_cancel", [False, True])
def test_second_run_of_a_gang_is_stopped_with_its_job(ended_before_cancel):
    steps = (
        build.make_step(2, gpu=8, gang=True),
        build.make_step(1, after=(0,)),
    )
    job = build.make_job("j", *steps)
    pool_state = build.make_pool_state(job, workers=("w0", "w1", "w2", "w3"))
    build.apply_plan(pool_state)
    first_workers = [run.worker_id for run in pool_state.runs.values()]
    first_number = pool_state.runs[_key("j")].number
    for worker_id in first_workers:
        pool_state.note_silent(worker_id, 1.0)
        pool_state.note_lapsed(worker_id, "test", 8.0)
    build.apply_plan(pool_state, now=9.0)
    second_runs = list(pool_state.runs.values())
    assert all(run.number > first_number for run in second_runs)
    if ended_before_cancel:
        run_end = worker_port.RunEnd(1, _key("j"), first_number, HOW.DONE)
        report = worker_port.Report(0, (), (run_end,))
        work.apply_report(pool_state, first_workers[0], report, 9.5, 10.0)
    cancelled_job = dataclasses.replace(job, cancelled=True)
    pool_state.put_job(cancelled_job, work.Progress(), 99, 10.5)
    assert {run.phase for run in second_runs} == {tracking.Phase.STOPPING}


# Guards against a stop that was lost on its way and is never sent again.
@pytest.mark.parametrize(
    ("reports_at", "expected"),
    [([2.0, 2.9], 1), ([2.0, 3.1], 2), ([3.1, 3.2, 4.7], 3)],
)
def test_stop_of_a_run_that_is_still_reported_is_repeated(reports_at, expected):
    pool_state = build.make_pool_state(build.make_job("j", build.make_step(1)))
    build.apply_plan(pool_state)
    run = pool_state.runs[_key("j")]
    pool_state.stop_run(run, "test", 1.5)
    for now in reports_at:
        build.apply_report(pool_state, run.worker_id, now=now)
    stop = worker_port.Stop(run.key, run.number)
    assert pool_state.outbox == [(run.worker_id, stop)] * expected


# Guards against a task that counts as running for ever: its start had no
# answer, and the only stop of it was lost with an unexpected error.
@pytest.mark.parametrize(
    ("reports_at", "expected"),
    [([2.0, 2.9], 1), ([2.0, 3.1], 2), ([3.1, 3.2, 4.7], 3)],
)
def test_stop_of_a_start_that_was_not_confirmed_is_repeated(
    reports_at, expected
):
    pool_state = build.make_pool_state(build.make_job("j", build.make_step(1)))
    build.apply_plan(pool_state, confirm=False)
    run = pool_state.runs[_key("j")]
    pool_state.stop_run(run, "test", 1.5)
    for now in reports_at:
        build.apply_report(pool_state, run.worker_id, now=now, running=())
    stop = worker_port.Stop(run.key, run.number)
    assert pool_state.outbox == [(run.worker_id, stop)] * expected


@pytest.mark.parametrize("how", [HOW.DONE, HOW.FAILED])
def test_lasting_task_runs_once_when_an_earlier_end_is_learnt_late(how):
    """A lasting task ran twice after its earlier run was listed as done."""
    job = build.make_job("j", build.make_step(1, lasting=True))
    pool_state = build.make_pool_state(job)
    build.apply_plan(pool_state)
    first_run = pool_state.runs[_key("j")]
    pool_state.note_lapsed(first_run.worker_id, "test", 10.0)
    pool_state.unlist_worker(first_run.worker_id)
    build.apply_plan(pool_state, now=20.0)
    second_run = pool_state.runs[_key("j")]
    assert second_run.worker_id != first_run.worker_id
    run_end = worker_port.RunEnd(1, _key("j"), first_run.number, how)
    report = worker_port.Report(0, (), (run_end,))
    work.apply_report(pool_state, first_run.worker_id, report, 21.0, 21.0)
    assert build.apply_plan(pool_state, now=30.0).placements == []
    assert pool_state.runs[_key("j")] is second_run


# Guards against runs that go on, with renewed leases and nothing that could
# stop them, once the record of their job has been removed.
def test_runs_of_a_forgotten_job_are_stopped():
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step(1, lasting=True))
    )
    build.apply_plan(pool_state)
    run = pool_state.runs[_key("j")]
    pool_state.forget_job("j")
    report = worker_port.Report(
        1, (worker_port.ReportedRun(_key("j"), run.number, "", 0.0, 0.0),), ()
    )
    for now in (10.0, 20.0):
        work.apply_report(pool_state, run.worker_id, report, now, now)
    stopped = [order for _, order in pool_state.outbox]
    assert worker_port.Stop(_key("j"), run.number) in stopped


# Guards against a step that seems to have waited since its job arrived: it was
# let off its rack, and counted as late for a trial, as soon as its turn came.
@pytest.mark.parametrize(
    ("after", "expected"), [((), 0.0), ((0,), 9.0), ((0, 1), 9.0)]
)
def test_step_waits_since_its_turn_came(after, expected):
    steps = [
        build.make_step(),
        build.make_step(),
        build.make_step(2, after=after),
    ]
    pool_state = build.make_pool_state(build.make_job("j", *steps))
    build.apply_plan(pool_state)
    for position, at in ((1, 4.0), (0, 9.0)):
        key = work.TaskKey("j", 0, position, 0)
        worker_id = pool_state.runs[key].worker_id
        build.apply_report(pool_state, worker_id, (key, HOW.DONE), now=at)
    tracked_step = pool_state.find_tracked_step(work.TaskKey("j", 0, 2, 0))
    assert tracked_step.waiting_since == expected


def test_step_of_an_adopted_job_waits_since_its_turn_came():
    """A new owner reads from the journal that the earlier step has ended."""
    steps = [build.make_step(), build.make_step(after=(0,))]
    pool_state = build.make_pool_state()
    progress = work.Progress()
    progress.get(0, 0).done.add(0)
    job = build.make_job("j", *steps)
    pool_state.put_job(job, progress, 99, 7.0)
    pool_state.open_due_occurrences(build.WALL, 7.0)
    tracked_step = pool_state.find_tracked_step(work.TaskKey("j", 0, 1, 0))
    assert tracked_step.waiting_since == 7.0
