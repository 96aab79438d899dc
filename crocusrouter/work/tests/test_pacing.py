import pytest

from crocusrouter import work
from crocusrouter.work.tests import build


def _make_book(load, pace=100, target_ms=100):
    """Return a book with one worker that serves and fills."""
    serving = build.make_step(1, lasting=True, target_ms=target_ms)
    filling = build.make_step(1, fills=True)
    pool_state = build.make_book(
        build.make_job("s", serving),
        build.make_job("f", filling),
        workers=("w0",),
    )
    build.start_planned(pool_state)
    pool_state.runs[work.TaskKey("s", 0, 0, 0)].load = load
    pool_state.runs[work.TaskKey("f", 0, 0, 0)].pace = pace
    return pool_state


# Users of a serving task wait longer than they were promised, because of what
# fills beside it. It is slowed before the bound and stopped at it, and comes
# back in steps, so that the tail does not swing.
@pytest.mark.parametrize(
    ("load", "pace", "wanted"),
    [
        (50, 100, []),
        (70, 100, []),
        (90, 100, [50]),
        (120, 100, [0]),
        (120, 0, []),
        (50, 0, [20]),
        (50, 90, [100]),
        (70, 40, []),
    ],
)
def test_what_fills_follows_the_tail(load, pace, wanted):
    found = work.choose_paces(_make_book(load, pace), 5.0)
    assert [percent for _, percent in found] == wanted


def test_figure_from_before_the_last_change_is_not_used():
    pool_state = _make_book(120.0)
    pool_state.note_paced(work.TaskKey("f", 0, 0, 0), 1, 50, 4.5)
    run = pool_state.runs[work.TaskKey("f", 0, 0, 0)]
    run.paced_at = 4.5
    assert work.choose_paces(pool_state, 5.0) == []
    assert len(work.choose_paces(pool_state, 5.5)) == 1


def test_without_a_task_that_serves_nothing_is_slowed():
    assert work.choose_paces(_make_book(500.0, target_ms=0), 5.0) == []
