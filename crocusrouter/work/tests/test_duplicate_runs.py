"""Two runs of one task are told apart from what reports usually show."""

import pytest

from crocusrouter import work
from crocusrouter.work import worker_port
from crocusrouter.work.tests import build

_KEY = work.TaskKey("j", 0, 0, 0)
_HOW = worker_port.RunOutcome


def _report(pool_state, worker_id, *, running=(), ended=()):
    report = worker_port.Report(
        0,
        tuple(worker_port.ReportedRun(_KEY, run) for run in running),
        tuple(
            worker_port.RunEnd(number, _KEY, run, how)
            for number, (run, how) in enumerate(ended, start=1)
        ),
    )
    work.apply_report(pool_state, worker_id, report, 1.0, 1.0)


def _list_duplicates(pool_state):
    return [
        fields
        for event, fields in pool_state.events
        if event == "run:duplicate"
    ]


def _start(**overrides):
    """Return a pool in which the task runs as run 5 on w0."""
    job = build.make_job("j", build.make_step(1, **overrides))
    pool_state = build.make_pool_state(job)
    pool_state.add_run(_KEY, 5, "w0", 0.0)
    pool_state.note_started(_KEY, 5, 0.1)
    return pool_state


@pytest.mark.parametrize(
    ("worker_id", "running", "ended", "duplicates"),
    [
        ("w0", [5], [], 0),
        ("w0", [], [(5, _HOW.DONE)], 0),
        ("w1", [3], [], 1),
        ("w1", [], [(3, _HOW.DONE)], 1),
        ("w1", [], [(3, _HOW.STOPPED)], 0),
        ("w1", [], [(3, _HOW.LAPSED)], 0),
    ],
)
def test_run_beside_the_known_one_is_noted(
    worker_id, running, ended, duplicates
):
    pool_state = _start()
    _report(pool_state, worker_id, running=running, ended=ended)
    assert len(_list_duplicates(pool_state)) == duplicates


@pytest.mark.parametrize(("gang", "duplicates"), [(False, 1), (True, 0)])
def test_run_of_a_done_task_is_noted(gang, duplicates):
    """Members of a gang are reported as running after its first end."""
    pool_state = _start(gang=gang)
    build.add_job(pool_state, build.make_job("k", build.make_step()))
    tracked_step = pool_state.find_tracked_step(_KEY)
    pool_state.drop_run(pool_state.runs[_KEY])
    tracked_step.progress.done.add(0)
    _report(pool_state, "w1", running=[3])
    assert len(_list_duplicates(pool_state)) == duplicates


def test_duplicate_is_noted_once():
    """It is reported again until it has been stopped."""
    pool_state = _start()
    for _ in range(3):
        _report(pool_state, "w1", running=[3])
    assert len(_list_duplicates(pool_state)) == 1


# Guards against lines that can't tell why a task ran twice: its worker was
# unknown to the owner, or was counted as lapsed too early.
@pytest.mark.parametrize("foreseen", [False, True])
@pytest.mark.parametrize("lapsed", [False, True])
def test_line_tells_the_causes_apart(lapsed, foreseen):
    pool_state = _start()
    worker = pool_state.workers["w1"]
    worker.is_foreseen = foreseen
    worker.all_runs_ended = lapsed
    _report(pool_state, "w1", running=[3])
    [fields] = _list_duplicates(pool_state)
    assert (fields["foreseen"], fields["lapsed"]) == (foreseen, lapsed)
    assert (fields["other_run"], fields["other_worker"]) == (5, "w0")
