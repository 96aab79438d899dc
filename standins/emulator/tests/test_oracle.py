"""Each check of the oracle reports violations made by hand, and no others."""

import dataclasses

import pytest

from crocusrouter import work
from standins import emulator
from standins.emulator import impairment_log as impairment_logs
from standins.emulator import oracle as oracles

_FIRST_TASK = work.TaskKey("j", 0, 0, 0)
_SECOND_TASK = work.TaskKey("j", 0, 1, 0)


def _make_oracle():
    oracle = oracles.JobOracle()
    steps = (work.Step(1, work.Room()), work.Step(1, work.Room(), after=(0,)))
    oracle.jobs["j"] = work.Job(
        "j", "q", "p", "a", 1, 2, 1.0, 1.0, "", steps, 0.0
    )
    return oracle


def _apply_events(oracle, events):
    for at, (kind, *args) in enumerate(events):
        match kind:
            case "start":
                oracle.note_start(*args, float(at))
            case "end":
                oracle.note_end(*args, float(at))
            case "cancel":
                oracle.cancelled["j"] = at - 10.0
            case "lost":
                oracle.note_lost(*args)
            case "again":
                oracle.allow_rerun(*args)
            case "crash":
                oracle.note_lost(*args)
                oracle.note_crash(args[1], [args[1]], float(at))
            case "forget":
                oracle.allow_uncounted_failure(*args)


@pytest.mark.parametrize(
    ("events", "broken"),
    [
        ([("start", "w0", _FIRST_TASK, 1)], []),
        (
            [("start", "w0", _FIRST_TASK, 1), ("start", "w1", _FIRST_TASK, 2)],
            ["twice"],
        ),
        (
            [
                ("start", "w0", _FIRST_TASK, 1),
                ("lost", "w0", _FIRST_TASK, 1),
                ("start", "w1", _FIRST_TASK, 2),
            ],
            [],
        ),
        (
            [
                ("start", "w0", _FIRST_TASK, 1),
                ("end", "w0", _FIRST_TASK, 1, "done"),
                ("start", "w1", _FIRST_TASK, 2),
            ],
            ["twice"],
        ),
        (
            [
                ("start", "w0", _FIRST_TASK, 1),
                ("end", "w0", _FIRST_TASK, 1, "done"),
                ("again", _FIRST_TASK),
                ("start", "w1", _FIRST_TASK, 2),
            ],
            [],
        ),
        ([("start", "w0", _SECOND_TASK, 1)], ["order"]),
        ([("start", "w0", _FIRST_TASK._replace(job="k"), 1)], ["unasked"]),
        ([("cancel",), ("start", "w0", _FIRST_TASK, 1)], ["unasked"]),
        (
            [
                ("start", "w0", _FIRST_TASK, 1),
                ("end", "w0", _FIRST_TASK, 1, "failed"),
                ("start", "w0", _FIRST_TASK, 2),
                ("end", "w0", _FIRST_TASK, 2, "failed"),
                ("start", "w0", _FIRST_TASK, 3),
            ],
            ["budget"],
        ),
        (
            [
                ("start", "w0", _FIRST_TASK, 1),
                ("end", "w0", _FIRST_TASK, 1, "failed"),
                ("start", "w0", _FIRST_TASK, 2),
                ("end", "w0", _FIRST_TASK, 2, "failed"),
                ("forget", _FIRST_TASK),
                ("start", "w1", _FIRST_TASK, 3),
            ],
            [],
        ),
    ],
)
def test_rules_about_starts(events, broken):
    oracle = _make_oracle()
    _apply_events(oracle, events)
    assert [line.split()[1].rstrip(":") for line in oracle.broken] == broken


@pytest.mark.parametrize("lasting", [False, True])
def test_only_tasks_that_end_have_a_limit_of_attempts(lasting):
    oracle = _make_oracle()
    step = work.Step(1, work.Room(), lasting=lasting)
    oracle.jobs["j"] = dataclasses.replace(oracle.jobs["j"], steps=(step,))
    for run in (1, 2, 3):
        oracle.note_start("w0", _FIRST_TASK, run, 1.0)
        oracle.note_end("w0", _FIRST_TASK, run, "failed", 2.0)
    assert bool(oracle.broken) is not lasting


@pytest.mark.parametrize(
    ("refused", "accepted", "done", "state", "broken"),
    [
        (True, False, 0, None, ["refused"]),
        (False, True, 2, "done", []),
        (False, True, 2, "running", ["lost"]),
        (False, True, 1, "done", ["mixed"]),
        (False, True, 1, "running", ["lost"]),
        (False, True, 2, None, ["lost"]),
        (False, True, 2, "failed", ["lost"]),
    ],
)
def test_rules_about_final_states(refused, accepted, done, state, broken):
    oracle = _make_oracle()
    oracle.refused |= {"j"} if refused else set()
    oracle.accepted |= {"j"} if accepted else set()
    oracle.note_start("w0", _FIRST_TASK, 1, 0.0)
    for key in (_FIRST_TASK, _SECOND_TASK)[:done]:
        oracle.note_end("w0", key, 1, "done", 1.0)
    oracle.check_final_states({"j": state})
    found = [line.partition(":")[0] for line in oracle.broken]
    assert found == broken


# A worker reports a failure and crashes before the confirmation. An owner that
# received the report counts the failure, a successor can't: both are right.
@pytest.mark.parametrize("state", ["failed", "done", "running"])
def test_failure_reported_just_before_a_crash_may_count(state):
    oracle = _make_oracle()
    oracle.accepted.add("j")
    for run in (1, 2):
        oracle.note_start("w0", _FIRST_TASK, run, 0.0)
        oracle.note_end("w0", _FIRST_TASK, run, "failed", 1.0)
    oracle.allow_uncounted_failure(_FIRST_TASK)
    for key in (_FIRST_TASK, _SECOND_TASK) if state == "done" else ():
        oracle.note_end("w1", key, 3, "done", 2.0)
    oracle.check_final_states({"j": state})
    assert bool(oracle.broken) is (state == "running")


def _crash(run):
    return [
        ("start", "w0", _FIRST_TASK, run),
        ("crash", "w0", _FIRST_TASK, run),
    ]


@pytest.mark.parametrize(
    ("crashes", "broken"), [(3, 0), (5, 0), (6, 1), (7, 1)]
)
def test_starts_after_crashes_are_counted(crashes, broken):
    oracle = _make_oracle()
    for run in range(1, crashes + 1):
        _apply_events(oracle, _crash(run))
    assert len(oracle.broken) == broken


@pytest.mark.parametrize(
    ("crashes", "lost"), [(0, True), (1, True), (2, False)]
)
def test_job_is_given_up_only_after_two_crashes(crashes, lost):
    oracle = _make_oracle()
    oracle.accepted.add("j")
    for run in range(1, crashes + 1):
        _apply_events(oracle, _crash(run))
    oracle.check_final_states({"j": "failed"})
    assert bool(oracle.broken) is lost


def test_gang_runs_again_if_its_only_end_was_lost():
    """A gang's first member is done when its worker crashes with the others.

    No owner knew of that end and the whole gang ran again. The oracle took
    this for a second run of a task that was done.
    """
    oracle = _make_oracle()
    step = work.Step(2, work.Room(), gang=True)
    job = work.Job("g", "q", "p", "a", 1, 2, 1.0, 1.0, "", (step,), 0.0)
    oracle.jobs["g"] = job
    keys = [work.TaskKey("g", 0, 0, index) for index in (0, 1)]
    for key in keys:
        oracle.note_start("w0", key, 1, 0.0)
    oracle.note_end("w0", keys[0], 1, "done", 1.0)
    oracle.note_lost("w0", keys[1], 1)
    oracle.allow_rerun(keys[0])
    for key in keys:
        oracle.note_start("w1", key, 2, 2.0)
    assert oracle.broken == []


# A cancel without an answer may be carried out later, so the job may be shown
# as cancelled without a confirmation. If no cancel was sent, the job is lost.
@pytest.mark.parametrize(
    ("cancel_sent", "broken"), [(True, False), (False, True)]
)
def test_cancel_without_an_answer_may_be_carried_out(cancel_sent, broken):
    oracle = _make_oracle()
    oracle.accepted.add("j")
    if cancel_sent:
        oracle.cancels_sent.add("j")
    for number, key in enumerate((_FIRST_TASK, _SECOND_TASK)):
        oracle.note_start("w0", key, number + 1, 0.0)
        oracle.note_end("w0", key, number + 1, "done", 1.0)
    oracle.check_final_states({"j": "cancelled"})
    assert bool(oracle.broken) is broken


# All entries were killed and are back, but most jobs are still not accepted.
@pytest.mark.parametrize(
    ("accepted_before", "outcomes_later", "broken"),
    [
        (4, [False] * 4, True),
        (4, [True] + [False] * 3, False),
        (4, [True] + [False] * 4, True),
        (4, [False] * 3, False),
        (0, [False] * 4, False),
    ],
)
def test_few_jobs_are_accepted_after_all_entries_are_back(
    accepted_before, outcomes_later, broken
):
    oracle = _make_oracle()
    oracle.submissions = [(float(at), at < accepted_before) for at in range(4)]
    oracle.entries_back_at = 10.0
    oracle.submissions += [
        (23.0 + at, served) for at, served in enumerate(outcomes_later)
    ]
    oracle.check_final_states({})
    assert bool(oracle.broken) is broken


@pytest.mark.parametrize(
    ("pool", "labels", "running_count", "broken"),
    [
        ("p", {"fast", "r1"}, 0, False),
        ("other", {"fast"}, 0, True),
        ("p", {"r1"}, 0, True),
        ("p", {"fast"}, 1, True),
    ],
)
def test_start_on_an_unsuitable_worker(pool, labels, running_count, broken):
    oracle = _make_oracle()
    step = work.Step(2, work.Room(), label="fast", per_worker=1)
    job = dataclasses.replace(oracle.jobs["j"], steps=(step,))
    oracle.jobs["j"] = job
    oracle.check_placement(
        _FIRST_TASK, ("w0", pool, frozenset(labels)), running_count, 1.0
    )
    assert bool(oracle.broken) is broken


# Part of a gang is started and the rest is not, though nothing was impaired.
@pytest.mark.parametrize(
    ("impaired_at", "cancel_sent", "broken"),
    [(None, False, True), (1.0, False, True), (8.0, False, False)]
    + [(None, True, False)],
)
def test_gang_that_stays_incomplete(impaired_at, cancel_sent, broken):
    oracle = _make_oracle()
    impairments = impairment_logs.ImpairmentLog()
    if impaired_at is not None:
        impairments.note_impaired("w0", impaired_at)
    if cancel_sent:
        oracle.cancels_sent.add("j")
    oracle.note_start("w0", _FIRST_TASK, 1, 7.0)
    oracle.note_end("w0", _FIRST_TASK, 1, "alone", 10.0)
    oracle.check_incomplete_gangs(impairments.is_unimpaired_since)
    assert bool(oracle.broken) is broken
    assert oracle.excused_gangs == (impaired_at == 8.0)


# A run of a cancelled job isn't stopped, or only seconds after the cancel.
@pytest.mark.parametrize(
    ("cancelled_at", "calm_since", "was_late", "checks", "broken", "judged"),
    [
        (None, 0.0, False, (20.0, 40.0, None), 0, 0),
        (10.0, 0.0, False, (10.1, None), 0, 1),
        (10.0, 0.0, False, (13.1, None), 0, 1),
        (10.0, 0.0, False, (13.3, None), 1, 1),
        (10.0, 0.0, False, (13.3, 13.4, 20.0), 1, 1),
        (10.0, 0.0, False, (13.1,), 0, 0),
        (10.0, 12.0, False, (15.1, None), 0, 1),
        (10.0, 12.0, False, (15.3, None), 1, 1),
        (10.0, 12.0, False, (12.0, None), 0, 0),
        (10.0, 0.0, True, (15.9, None), 0, 0),
        (10.0, 0.0, True, (19.1, None), 0, 1),
        (10.0, 0.0, True, (19.3, None), 1, 1),
        (10.0, 17.0, True, (20.1, None), 0, 1),
        (20.0, 0.0, True, (23.1, None), 0, 1),
        (20.0, 0.0, True, (23.3, None), 1, 1),
    ],
)
def test_run_that_goes_on_after_a_cancel(
    cancelled_at, calm_since, was_late, checks, broken, judged
):
    oracle = _make_oracle()
    if cancelled_at is not None:
        oracle.cancelled["j"] = cancelled_at
    started_at = 13.0
    run = oracles.ObservedRun(_FIRST_TASK, 1, "w0", started_at, was_late)
    for at in checks:
        runs = [run] if at is not None else []
        now = at if at is not None else 50.0
        oracle.check_cancelled_runs(runs, calm_since, now)
    kinds = [line.split()[1] for line in oracle.broken]
    assert kinds == ["unasked:"] * broken
    assert oracle.judged_cancels == judged


def test_each_run_of_a_cancelled_job_is_judged_by_itself():
    oracle = _make_oracle()
    oracle.cancelled["j"] = 10.0
    runs = [
        oracles.ObservedRun(key, number, worker, 0.0, False)
        for key in (_FIRST_TASK, _SECOND_TASK)
        for number in (1, 2)
        for worker in ("w0", "w1")
    ]
    oracle.check_cancelled_runs(runs, 0.0, 12.5)
    oracle.check_cancelled_runs(runs[:3], 0.0, 13.5)
    assert len(oracle.broken) == 3
    assert oracle.judged_cancels == 8
    assert oracle.longest_after_cancel == pytest.approx(3.5)


# Runs of cancelled jobs are excused for as long as anything is impaired, but
# not because a worker shuts down gracefully.
@pytest.mark.parametrize(
    ("note", "calm_since"),
    [
        (lambda log: log.note_impaired("w0", 5.0), 5.0),
        (lambda log: log.note_impaired("e0", 5.0), 5.0),
        (lambda log: log.note_store_impaired(5.0), 5.0),
        (lambda log: log.note_links_impaired(5.0), 5.0),
        (lambda log: log.note_shutting_down(5.0), 1.0),
    ],
)
def test_calm_begins_after_the_latest_impairment(note, calm_since):
    impairments = impairment_logs.ImpairmentLog()
    assert impairments.find_calm_since() == float("-inf")
    impairments.note_impaired("e1", 1.0)
    note(impairments)
    assert impairments.find_calm_since() == calm_since


# Two holders of a lease order the upkeep of one VM in the same epoch, or a
# holder does so after the holder of a later epoch.
@pytest.mark.parametrize(
    ("orders", "broken"),
    [
        ([("e0", 5), ("e0", 5)], False),
        ([("e0", 5), ("e1", 6)], False),
        ([("e0", 5), ("e1", 5)], True),
        ([("e1", 6), ("e0", 5)], True),
    ],
)
async def test_concurrent_upkeep_orders_of_holders(
    orders, broken, autojump_clock
):
    cluster = emulator.Cluster(1)
    cluster.vms.upkeep_begun.add("w0")
    for holder, epoch in orders:
        cluster.vms.begin(holder, epoch, "w0")
    assert bool(cluster.oracle.broken) is broken
