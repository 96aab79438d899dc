"""Tests for jobs of which many occurrences are due at once."""

import time

import pytest

from crocusrouter import work
from crocusrouter.work import worker_port
from crocusrouter.work.tests import build

_REPEATS = 20_000
_MINUTES_OF_A_WEEK = 7 * 24 * 60
# A fraction of the owner lease, which ends while a longer decision goes on.
_MAX_DECISION_S = 0.5


def _make_job(repeats, **step_fields):
    return build.make_job(
        "j",
        build.make_step(1, **step_fields),
        repeats=repeats,
        first_due=build.WALL - repeats,
    )


def _end_running(pool_state, now):
    """End all runs as done; return their occurrences."""
    occurrences = []
    for worker_id, worker in pool_state.workers.items():
        ends = [(key, worker_port.RunOutcome.DONE) for key in worker.runs]
        occurrences += [key.occurrence for key, _ in ends]
        build.apply_report(pool_state, worker_id, *ends, now=now)
    return occurrences


# Guards against a decision that takes longer than the owner lease lasts: no
# owner ever starts anything.
def test_decision_on_many_due_occurrences_takes_little_time():
    began_s = time.process_time()
    pool_state = build.make_pool_state(_make_job(_REPEATS))
    build.apply_plan(pool_state)
    assert time.process_time() - began_s < _MAX_DECISION_S
    assert pool_state.runs


# Guards against the same at a takeover, where most of them have ended.
def test_occurrences_that_have_ended_are_passed_over_in_little_time():
    progress = work.Progress()
    for occurrence in range(_MINUTES_OF_A_WEEK - 10):
        progress.get(occurrence, 0).done.add(0)
    pool_state = build.make_pool_state()
    began_s = time.process_time()
    pool_state.put_job(_make_job(_MINUTES_OF_A_WEEK), progress, 2, 0.0)
    pool_state.open_due_occurrences(build.WALL, 0.0)
    plan = build.apply_plan(pool_state)
    assert time.process_time() - began_s < _MAX_DECISION_S
    started = {placement.step.occurrence for placement in plan.placements}
    assert started == set(range(_MINUTES_OF_A_WEEK - 10, _MINUTES_OF_A_WEEK))


def test_all_due_occurrences_run_once():
    pool_state = build.make_pool_state(_make_job(1_000))
    ended = []
    for tick in range(1, 1_000):
        now = tick * 0.25
        pool_state.open_due_occurrences(build.WALL, now)
        build.apply_plan(pool_state, now)
        ended += _end_running(pool_state, now + 0.1)
        if pool_state.jobs["j"].progress.final_state is not None:
            break
    assert pool_state.jobs["j"].progress.final_state is work.State.DONE
    assert sorted(ended) == list(range(1_000))


# Guards against occurrences that wait for others which never end.
@pytest.mark.parametrize("count", [300, 600])
def test_running_occurrences_hold_no_later_ones_back(count):
    workers = [f"w{number}" for number in range(count // 8 + 1)]
    pool_state = build.make_pool_state(
        _make_job(count, lasting=True),
        workers=workers,
        racks=["r0-0"] * len(workers),
    )
    for tick in range(1, 20):
        now = tick * 0.25
        pool_state.open_due_occurrences(build.WALL, now)
        build.apply_plan(pool_state, now)
    assert len(pool_state.runs) == count
