"""Runs of a worker in whose place its next incarnation answers."""

import pytest

from crocusrouter import work
from crocusrouter.work import orders
from crocusrouter.work import runs
from crocusrouter.work.tests import build

_OLD = "w0@5"
_NEW = "w0@7"
_FIRST = work.TaskKey("j", 0, 0, 0)
_SECOND = work.TaskKey("j", 0, 0, 1)


def _restart(step, late=()):
    """Return the book of a job on a worker that has restarted."""
    pool_state = build.make_book(build.make_job("j", step), workers=(_OLD,))
    build.start_planned(pool_state)
    for key in late:
        pool_state.runs[key].maybe_begun = True
    stops = [orders.Stop(key, pool_state.runs[key].number) for key in late]
    work.add_successor(pool_state, _OLD, _NEW, 1.0)
    work.note_replaced(pool_state, _OLD, 1.0, _NEW, stops)
    return pool_state


@pytest.mark.parametrize("late", [(), (_FIRST,), (_FIRST, _SECOND)])
def test_start_that_the_next_process_may_carry_out_is_not_repeated(late):
    """The task ran beside the earlier start, carried out seconds later."""
    pool_state = _restart(build.make_step(2), late)
    waiting = {key.position for key in (_FIRST, _SECOND) if key not in late}
    assert pool_state.find_work(_FIRST).waiting == waiting
    assert set(pool_state.workers[_NEW].runs) == set(late)
    assert not pool_state.workers[_OLD].runs
    assert [stop.key for worker, stop in pool_state.outbox] == list(late)
    assert {worker for worker, _ in pool_state.outbox} <= {_NEW}


def test_late_start_waits_again_once_the_next_process_has_stopped_it():
    """A look from before the stop's answer shows nothing of a late start."""
    pool_state = _restart(build.make_step(1), (_FIRST,))
    number = pool_state.runs[_FIRST].number
    build.report(pool_state, _NEW, now=1.5, running=())
    assert _FIRST in pool_state.runs
    pool_state.note_settled(_FIRST, number, 2.0)
    build.report(pool_state, _NEW, now=2.5, running=())
    assert pool_state.find_work(_FIRST).waiting == {0}


def test_late_start_that_has_begun_is_not_adopted_as_wanted():
    """It was told to stop; its end puts the task back."""
    pool_state = _restart(build.make_step(1), (_FIRST,))
    row = orders.Running(_FIRST, pool_state.runs[_FIRST].number)
    build.report(pool_state, _NEW, now=1.5, running=(row,))
    assert pool_state.runs[_FIRST].phase is runs.Phase.STOPPING
    build.report(pool_state, _NEW, (_FIRST, orders.How.STOPPED), now=1.8)
    assert pool_state.find_work(_FIRST).waiting == {0}


def test_gang_with_a_member_that_may_come_late_is_stopped_whole():
    """The others would work for a member that is to be stopped."""
    step = build.make_step(2, gang=True, gpu=8)
    pool_state = build.make_book(
        build.make_job("j", step), workers=(_OLD, "w1@5"), racks=("r0", "r0")
    )
    build.start_planned(pool_state)
    [member] = pool_state.workers[_OLD].runs.values()
    [other] = pool_state.workers["w1@5"].runs.values()
    member.maybe_begun = True
    work.add_successor(pool_state, _OLD, _NEW, 1.0)
    stop = orders.Stop(member.key, member.number)
    work.note_replaced(pool_state, _OLD, 1.0, _NEW, [stop])
    assert other.phase is runs.Phase.STOPPING


@pytest.mark.parametrize("late", [(), (_FIRST,)])
def test_restart_counts_as_a_crash_under_what_ran_there(late):
    """A task that crashes its workers started again without any bound."""
    pool_state = _restart(build.make_step(1), late)
    assert len(pool_state.find_work(_FIRST).kept.crashes[0]) == 1
    told = [
        facts for what, facts in pool_state.events if what == "worker:restarted"
    ]
    assert told == [{"worker": _OLD, "successor": _NEW, "runs": 1}]


@pytest.mark.parametrize("known", [False, True])
def test_next_incarnation_takes_work_once_it_is_listed(known):
    """One that had drained and started again as ready got nothing for ever."""
    pool_state = build.make_book(workers=(_OLD,))
    pool_state.set_worker(build.make_entry(_OLD, draining=True), 0.0)
    if known:
        work.add_successor(pool_state, _OLD, _NEW, 1.0)
        pool_state.workers[_NEW].reached = True
        assert not pool_state.workers[_NEW].may_take(1.0)
    pool_state.set_worker(build.make_entry(_NEW), 2.0)
    pool_state.workers[_NEW].reached = True
    assert pool_state.workers[_NEW].may_take(2.0)
    assert pool_state.workers[_OLD].sealed


def test_platform_names_workers_and_the_book_their_incarnations():
    pool_state = build.make_book(workers=("w0@5", "w1@5", "w2"))
    pool_state.unlist_worker("w0@5")
    pool_state.set_worker(build.make_entry("w0@7"), 1.0)
    assert work.map_incarnations(pool_state) == {
        "w0": "w0@7",
        "w1": "w1@5",
        "w2": "w2",
    }
