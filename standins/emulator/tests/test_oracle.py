"""Each check of the oracle reports violations made by hand, and no others."""

import dataclasses

import pytest

from crocusrouter import work
from standins import emulator
from standins.emulator import oracle as oracles
from standins.emulator import touch as touches

_FIRST = work.TaskKey("j", 0, 0, 0)
_SECOND = work.TaskKey("j", 0, 1, 0)


def _make_oracle():
    held = oracles.Oracle()
    steps = (work.Step(1, work.Room()), work.Step(1, work.Room(), after=(0,)))
    held.jobs["j"] = work.Job(
        "j", "q", "p", "a", 1, 2, 1.0, 1.0, "", steps, 0.0
    )
    return held


def _apply(held, events):
    for at, (what, *facts) in enumerate(events):
        match what:
            case "start":
                held.note_start(*facts, float(at))
            case "end":
                held.note_end(*facts, float(at))
            case "cancel":
                held.cancelled["j"] = at - 10.0
            case "lost":
                held.note_lost(*facts)
            case "again":
                held.allow_again(*facts)
            case "crash":
                held.note_lost(*facts)
                held.note_crash(facts[1], [facts[1]], float(at))
            case "forget":
                held.forget_failure(*facts)


@pytest.mark.parametrize(
    ("events", "broken"),
    [
        ([("start", "w0", _FIRST, 1)], []),
        (
            [("start", "w0", _FIRST, 1), ("start", "w1", _FIRST, 2)],
            ["twice"],
        ),
        (
            [
                ("start", "w0", _FIRST, 1),
                ("lost", "w0", _FIRST, 1),
                ("start", "w1", _FIRST, 2),
            ],
            [],
        ),
        (
            [
                ("start", "w0", _FIRST, 1),
                ("end", "w0", _FIRST, 1, "done"),
                ("start", "w1", _FIRST, 2),
            ],
            ["twice"],
        ),
        (
            [
                ("start", "w0", _FIRST, 1),
                ("end", "w0", _FIRST, 1, "done"),
                ("again", _FIRST),
                ("start", "w1", _FIRST, 2),
            ],
            [],
        ),
        ([("start", "w0", _SECOND, 1)], ["order"]),
        ([("start", "w0", _FIRST._replace(job="k"), 1)], ["unasked"]),
        ([("cancel",), ("start", "w0", _FIRST, 1)], ["unasked"]),
        (
            [
                ("start", "w0", _FIRST, 1),
                ("end", "w0", _FIRST, 1, "failed"),
                ("start", "w0", _FIRST, 2),
                ("end", "w0", _FIRST, 2, "failed"),
                ("start", "w0", _FIRST, 3),
            ],
            ["budget"],
        ),
        (
            [
                ("start", "w0", _FIRST, 1),
                ("end", "w0", _FIRST, 1, "failed"),
                ("start", "w0", _FIRST, 2),
                ("end", "w0", _FIRST, 2, "failed"),
                ("forget", _FIRST),
                ("start", "w1", _FIRST, 3),
            ],
            [],
        ),
    ],
)
def test_rules_about_starts(events, broken):
    held = _make_oracle()
    _apply(held, events)
    assert [line.split()[1].rstrip(":") for line in held.broken] == broken


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
def test_rules_about_the_end_of_a_day(refused, accepted, done, state, broken):
    held = _make_oracle()
    held.refused |= {"j"} if refused else set()
    held.accepted |= {"j"} if accepted else set()
    held.note_start("w0", _FIRST, 1, 0.0)
    for key in (_FIRST, _SECOND)[:done]:
        held.note_end("w0", key, 1, "done", 1.0)
    held.check_over({"j": state})
    found = [line.partition(":")[0] for line in held.broken]
    assert found == broken


# A worker reports a failure and crashes before the confirmation. An owner that
# received the report counts the failure, a successor can't: both are right.
@pytest.mark.parametrize("state", ["failed", "done", "running"])
def test_failure_told_just_before_a_crash_may_count(state):
    held = _make_oracle()
    held.accepted.add("j")
    for run in (1, 2):
        held.note_start("w0", _FIRST, run, 0.0)
        held.note_end("w0", _FIRST, run, "failed", 1.0)
    held.forget_failure(_FIRST)
    for key in (_FIRST, _SECOND) if state == "done" else ():
        held.note_end("w1", key, 3, "done", 2.0)
    held.check_over({"j": state})
    assert bool(held.broken) is (state == "running")


def _crash(run):
    return [("start", "w0", _FIRST, run), ("crash", "w0", _FIRST, run)]


@pytest.mark.parametrize(
    ("crashes", "broken"), [(3, 0), (5, 0), (6, 1), (7, 1)]
)
def test_starts_after_crashes_are_counted(crashes, broken):
    held = _make_oracle()
    for run in range(1, crashes + 1):
        _apply(held, _crash(run))
    assert len(held.broken) == broken


@pytest.mark.parametrize(
    ("crashes", "lost"), [(0, True), (1, True), (2, False)]
)
def test_job_is_given_up_only_after_two_crashes(crashes, lost):
    held = _make_oracle()
    held.accepted.add("j")
    for run in range(1, crashes + 1):
        _apply(held, _crash(run))
    held.check_over({"j": "failed"})
    assert bool(held.broken) is lost


def test_gang_runs_again_if_its_only_end_was_lost():
    """A gang's first member is done when its worker crashes with the others.

    No owner knew of that end and the whole gang ran again. The oracle took
    this for a second run of a task that was done.
    """
    held = _make_oracle()
    step = work.Step(2, work.Room(), gang=True)
    job = work.Job("g", "q", "p", "a", 1, 2, 1.0, 1.0, "", (step,), 0.0)
    held.jobs["g"] = job
    keys = [work.TaskKey("g", 0, 0, index) for index in (0, 1)]
    for key in keys:
        held.note_start("w0", key, 1, 0.0)
    held.note_end("w0", keys[0], 1, "done", 1.0)
    held.note_lost("w0", keys[1], 1)
    held.allow_again(keys[0])
    for key in keys:
        held.note_start("w1", key, 2, 2.0)
    assert held.broken == []


# A cancel without an answer may be carried out later, so the job may be shown
# as cancelled without a confirmation. If no cancel was sent, the job is lost.
@pytest.mark.parametrize(("asked", "broken"), [(True, False), (False, True)])
def test_cancel_without_an_answer_may_be_carried_out(asked, broken):
    held = _make_oracle()
    held.accepted.add("j")
    if asked:
        held.asked_to_cancel.add("j")
    for number, key in enumerate((_FIRST, _SECOND)):
        held.note_start("w0", key, number + 1, 0.0)
        held.note_end("w0", key, number + 1, "done", 1.0)
    held.check_over({"j": "cancelled"})
    assert bool(held.broken) is broken


# All entries were killed and are back, but most jobs are still not accepted.
@pytest.mark.parametrize(
    ("before", "later", "broken"),
    [
        (4, [False] * 4, True),
        (4, [True] + [False] * 3, False),
        (4, [True] + [False] * 4, True),
        (4, [False] * 3, False),
        (0, [False] * 4, False),
    ],
)
def test_few_are_served_after_all_entries_are_back(before, later, broken):
    held = _make_oracle()
    held.tries = [(float(at), at < before) for at in range(4)]
    held.back_at = 10.0
    held.tries += [(23.0 + at, served) for at, served in enumerate(later)]
    held.check_over({})
    assert bool(held.broken) is broken


@pytest.mark.parametrize(
    ("pool", "labels", "beside", "broken"),
    [
        ("p", {"fast", "r1"}, 0, False),
        ("other", {"fast"}, 0, True),
        ("p", {"r1"}, 0, True),
        ("p", {"fast"}, 1, True),
    ],
)
def test_start_on_a_worker_that_may_not_run_the_task(
    pool, labels, beside, broken
):
    held = _make_oracle()
    step = work.Step(2, work.Room(), label="fast", per_worker=1)
    job = dataclasses.replace(held.jobs["j"], steps=(step,))
    held.jobs["j"] = job
    held.check_place(_FIRST, ("w0", pool, frozenset(labels)), beside, 1.0)
    assert bool(held.broken) is broken


# Part of a gang is started and the rest is not, though nothing was impaired.
@pytest.mark.parametrize(
    ("impaired_at", "asked", "broken"),
    [(None, False, True), (1.0, False, True), (8.0, False, False)]
    + [(None, True, False)],
)
def test_gang_of_which_only_a_part_is_started(impaired_at, asked, broken):
    held = _make_oracle()
    touch = touches.Touch()
    if impaired_at is not None:
        touch.note_impaired("w0", impaired_at)
    if asked:
        held.asked_to_cancel.add("j")
    held.note_start("w0", _FIRST, 1, 7.0)
    held.note_end("w0", _FIRST, 1, "alone", 10.0)
    held.judge_alone(touch.is_calm)
    assert bool(held.broken) is broken
    assert held.excused_alone == (impaired_at == 8.0)


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
async def test_holders_that_order_beside_each_other(
    orders, broken, autojump_clock
):
    held = emulator.Cluster(1)
    held.vms.served.add("w0")
    for holder, epoch in orders:
        held.vms.begin(holder, epoch, "w0")
    assert bool(held.oracle.broken) is broken
