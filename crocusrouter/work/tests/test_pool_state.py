import pytest

from crocusrouter import work
from crocusrouter.work import orders
from crocusrouter.work import replacement
from crocusrouter.work import runs
from crocusrouter.work.tests import build

HOW = orders.How


def _key(job, index=0, step=0, occurrence=0):
    return work.TaskKey(job, occurrence, step, index)


@pytest.mark.parametrize(
    ("steps", "hows", "state"),
    [
        ([build.make_step(2)], [HOW.DONE, HOW.DONE], work.State.DONE),
        ([build.make_step(2)], [HOW.DONE, HOW.FAILED], None),
        ([build.make_step(2, gang=True)], [HOW.DONE], work.State.DONE),
        ([build.make_step(1, lasting=True)], [HOW.DONE], None),
        ([build.make_step(1, lasting=True)], [HOW.FAILED], None),
    ],
)
def test_ends_decide_the_final_state(steps, hows, state):
    pool_state = build.make_book(build.make_job("j", *steps))
    build.start_planned(pool_state)
    for index, how in enumerate(hows):
        run = pool_state.runs[_key("j", index)]
        build.report(pool_state, run.worker, (_key("j", index), how))
    assert pool_state.jobs["j"].progress.final is state


def test_final_state_is_told_once_durable():
    """A caller reads "done", the owner is killed, and its successor, which
    has not read the last end, says "running".

    So the state is told only after the journal holds it.
    """
    pool_state = build.make_book(build.make_job("j", build.make_step()))
    build.start_planned(pool_state)
    run = pool_state.runs[_key("j")]
    build.report(pool_state, run.worker, (_key("j"), HOW.DONE))
    assert pool_state.jobs["j"].show_state() is work.State.RUNNING
    pool_state.note_durable(["j"])
    assert pool_state.jobs["j"].show_state() is work.State.DONE


def test_failed_end_listed_again_counts_once():
    """A job fails although it had an attempt left.

    A task fails, the owner journals that and is killed before it confirms
    the end; its successor reads the journal and the same end once more.
    Failures are kept by number of run, so it counts once.
    """
    job = build.make_job("j", build.make_step(), max_attempts=2)
    pool_state = build.make_book(job, workers=("w0",))
    progress = work.Progress()
    progress.get(0, 0).failed[0] = [7]
    successor = build.make_book(workers=("w0",))
    successor.put_job(
        job, work.parse_progress(work.dump_progress(progress)), 2, 0.0
    )
    successor.open_due(build.WALL, 0.0)
    ended = orders.Ended(3, _key("j"), 7, HOW.FAILED)
    work.take_report(successor, "w0", orders.Report(0, (), (ended,)), 0.0, 0.0)
    assert pool_state.jobs["j"].progress.final is None
    assert successor.jobs["j"].progress.final is None


def test_failures_of_all_attempts_end_the_job():
    pool_state = build.make_book(
        build.make_job("j", build.make_step(2), max_attempts=2)
    )
    for now in (0.0, 10.0):
        build.start_planned(pool_state, now=now)
        run = pool_state.runs[_key("j")]
        build.report(
            pool_state, run.worker, (_key("j"), HOW.FAILED), now=now + 1
        )
    assert pool_state.jobs["j"].progress.final is work.State.FAILED
    other = pool_state.runs[_key("j", 1)]
    assert other.phase is runs.Phase.STOPPING


def test_member_that_is_lost_takes_the_gang_with_it():
    """Part of a gang runs on without use after a member's worker is lost.

    The others are stopped, and none starts again before all have ended.
    """
    pool_state = build.make_book(
        build.make_job("j", build.make_step(2, gpu=8, gang=True))
    )
    build.start_planned(pool_state)
    first, second = (pool_state.runs[_key("j", index)] for index in (0, 1))
    pool_state.note_lapsed(first.worker, "test", 1.0)
    assert second.phase is runs.Phase.STOPPING
    assert build.start_planned(pool_state, now=5.0).placements == []
    build.report(pool_state, second.worker, (second.key, HOW.STOPPED), now=6.0)
    assert pool_state.find_work(first.key).waiting == {0, 1}


@pytest.mark.parametrize(
    ("confirmed", "sent_at", "still_runs"),
    [(True, 2.0, False), (True, -1.0, True), (False, 2.0, True)],
)
def test_run_missing_from_a_report(confirmed, sent_at, still_runs):
    """A task counts as running for ever although its worker knows nothing
    of it: an earlier owner confirmed its end and died.

    Only a report asked for after the start was confirmed tells that.
    """
    pool_state = build.make_book(
        build.make_job("j", build.make_step()), workers=("w0",)
    )
    build.start_planned(pool_state, confirm=confirmed)
    build.report(pool_state, "w0", now=3.0, sent_at=sent_at, running=())
    assert (_key("j") in pool_state.runs) is still_runs


def test_successor_adopts_what_runs_and_stops_strays():
    """After a takeover a task must neither start twice nor run unwanted."""
    job = build.make_job("j", build.make_step(2))
    gone = build.make_job("x", build.make_step(1), cancelled=True)
    pool_state = build.make_book(job, gone)
    rows = (orders.Running(_key("j"), 5), orders.Running(_key("x"), 6))
    build.report(pool_state, "w0", running=rows)
    assert pool_state.runs[_key("j")].number == 5
    assert pool_state.find_work(_key("j")).waiting == {1}
    assert [order.key for _, order in pool_state.outbox] == [_key("x")]


def test_rejected_start_waits_and_goes_elsewhere():
    pool_state = build.make_book(build.make_job("j", build.make_step()))
    build.start_planned(pool_state, confirm=False)
    run = pool_state.runs[_key("j")]
    pool_state.note_not_begun(_key("j"), run.number, "no-room", 0.0)
    assert build.start_planned(pool_state, now=0.1).placements == []
    plan = build.start_planned(pool_state, now=1.0)
    assert plan.placements[0].spots[0] != run.worker


def test_cancelled_job_stops_and_starts_nothing():
    job = build.make_job("j", build.make_step(2))
    pool_state = build.make_book(job)
    build.start_planned(pool_state)
    cancelled = build.make_job("j", build.make_step(2), cancelled=True)
    pool_state.put_job(cancelled, work.Progress(), 9, 1.0)
    assert {run.phase for run in pool_state.runs.values()} == {
        runs.Phase.STOPPING
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
    pool_state = build.make_book(job)
    assert pool_state.find_next_due() == build.WALL + 10
    for wall, opened in ((9.9, 0), (10.0, 1), (14.9, 1), (21.0, 3)):
        pool_state.open_due(build.WALL + wall, wall)
        assert pool_state.jobs["j"].opened == opened


def test_pending_counts_jobs_that_have_not_begun():
    pool_state = build.make_book(
        build.make_job("j", build.make_step()),
        build.make_job("k", build.make_step(1, gpu=99)),
    )
    build.start_planned(pool_state)
    assert pool_state.count_pending("q") == 1


@pytest.mark.parametrize(
    ("jobs", "suspected"), [(("j", "j"), False), (("j", "k"), True)]
)
def test_failures_of_different_jobs_are_the_workers_fault(jobs, suspected):
    """Jobs spend their attempts on a worker that fails all it starts."""
    pool_state = build.make_book(
        build.make_job("j", build.make_step(2), max_attempts=9),
        build.make_job("k", build.make_step(2), max_attempts=9),
        workers=("w0",),
    )
    build.start_planned(pool_state)
    for index, job in enumerate(jobs):
        build.report(pool_state, "w0", (_key(job, index), HOW.FAILED))
    assert pool_state.workers["w0"].may_take(2.0) is not suspected
    assert pool_state.workers["w0"].may_take(20.0)


@pytest.mark.parametrize("how", [None, HOW.DONE])
def test_report_before_the_first_decision(how):
    """A successor starts tasks again that have run, or stops what runs.

    Workers report before it has made its first decision, when no occurrence
    is open yet; such a report opens the occurrence.
    """
    pool_state = build.make_book()
    job = build.make_job(
        "j",
        build.make_step(1),
        repeats=2,
        first_due=build.WALL + 9,
        interval_s=50.0,
    )
    pool_state.put_job(job, work.Progress(), 2, 0.0)
    running = () if how else (orders.Running(_key("j"), 5),)
    ended = (orders.Ended(1, _key("j"), 5, how),) if how else ()
    work.take_report(
        pool_state, "w0", orders.Report(0, running, ended), 0.0, 0.0
    )
    pool_state.open_due(build.WALL + 9, 9.0)
    assert pool_state.outbox == []
    assert work.plan(pool_state, 9.0, build.WALL + 9).placements == []


def test_jobs_are_over_once_nothing_of_them_runs():
    """A job is removed while a worker still runs a task of it; the task is
    then unknown, and stays there until its lease ends.
    """
    job = build.make_job("j", build.make_step(1))
    pool_state = build.make_book(job)
    build.start_planned(pool_state)
    run = pool_state.runs[_key("j")]
    cancelled = build.make_job("j", build.make_step(1), cancelled=True)
    pool_state.put_job(cancelled, work.Progress(), 9, 1.0)
    assert pool_state.list_over(before=5.0) == []
    build.report(pool_state, run.worker, (run.key, HOW.STOPPED), now=2.0)
    assert pool_state.list_over(before=1.0) == []
    assert pool_state.list_over(before=5.0) == ["j"]


def test_runs_lost_with_their_worker_are_told():
    """Tasks start again and again, and no line tells with which worker the
    last run ended, nor how soon after its start.
    """
    pool_state = build.make_book(build.make_job("j", build.make_step(2)))
    build.start_planned(pool_state, now=1.0)
    worker = pool_state.runs[_key("j")].worker
    pool_state.note_silent(worker, 1.25)
    replacement.note_gone(pool_state, worker, 4.0)
    lost = [facts for what, facts in pool_state.events if what == "run:lost"]
    assert [facts["task"] for facts in lost] == [_key("j"), _key("j", 1)]
    assert {facts["ran_s"] for facts in lost} == {0.25}


def test_worker_with_a_stray_gets_nothing_until_it_has_ended():
    """A worker that does not check its room starts more than fits there: a
    run of a cancelled job, found after a takeover, still takes its part.
    """
    cancelled = build.make_job("c", build.make_step(), cancelled=True)
    pool_state = build.make_book(cancelled, workers=("w0",))
    build.put(pool_state, build.make_job("j", build.make_step(gpu=8)))
    running = orders.Running(_key("c"), 7)
    build.report(pool_state, "w0", running=(running,))
    assert [order for _, order in pool_state.outbox] == [
        orders.Stop(_key("c"), 7)
    ]
    assert build.start_planned(pool_state, 1.0).placements == []
    build.report(pool_state, "w0", running=(), now=1.2)
    assert build.start_planned(pool_state, 1.2).placements


@pytest.mark.parametrize(
    ("gpu", "over"), [(8, False), (4, True)], ids=["whole", "shrunk"]
)
def test_room_that_has_shrunk_below_its_runs(gpu, over):
    pool_state = build.make_book(
        build.make_job("j", build.make_step(gpu=6)), workers=("w0",)
    )
    build.start_planned(pool_state)
    pool_state.set_worker(build.make_entry("w0", gpu=gpu), 1.0)
    assert (
        pool_state.workers["w0"].is_over(build.make_step(gpu=6).charge) is over
    )
    assert not pool_state.workers["w0"].is_over(build.make_step(gpu=0).charge)


def test_job_ends_whose_last_occurrence_was_done_before_it_was_opened():
    """A caller reads "running" for ever although everything has ended well.

    An owner is lost after the second occurrence has ended and before the first
    one has. Its successor hears the first one's end from a worker, before its
    first decision has opened the second, and nothing ends after that.
    """
    job = build.make_job(
        "j", build.make_step(), repeats=2, first_due=build.WALL, interval_s=1.0
    )
    progress = work.Progress()
    progress.get(1, 0).done.add(0)
    pool_state = build.make_book(workers=("w0",))
    pool_state.put_job(job, progress, 2, 0.0)
    end = orders.Ended(1, _key("j"), 7, HOW.DONE)
    work.take_report(pool_state, "w0", orders.Report(0, (), (end,)), 1.0, 1.0)
    assert pool_state.jobs["j"].progress.final is None
    pool_state.open_due(build.WALL + 5.0, 1.1)
    assert pool_state.jobs["j"].progress.final is work.State.DONE
