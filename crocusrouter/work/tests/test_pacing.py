import pytest

from crocusrouter import work
from crocusrouter.work.tests import build


def _make_book(load, pace=100, target_ms=100):
    """Return a pool state with a serving and a filling task on one worker."""
    serving_step = build.make_step(1, lasting=True, target_ms=target_ms)
    filling_step = build.make_step(1, fills=True)
    pool_state = build.make_pool_state(
        build.make_job("s", serving_step),
        build.make_job("f", filling_step),
        workers=("w0",),
    )
    build.apply_plan(pool_state)
    pool_state.runs[work.TaskKey("s", 0, 0, 0)].load = load
    pool_state.runs[work.TaskKey("f", 0, 0, 0)].pace = pace
    return pool_state


# Users of a serving task must not wait longer than promised because of a
# filling task beside it. The filling task is slowed before the limit and
# stopped at it, and sped up again in steps so that the tail latency does not
# oscillate.
@pytest.mark.parametrize(
    ("load", "pace", "expected"),
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
def test_pace_follows_the_tail_latency(load, pace, expected):
    paces = work.choose_paces(_make_book(load, pace), 5.0)
    assert [percent for _, percent in paces] == expected


def test_latency_from_before_the_last_change_is_not_used():
    pool_state = _make_book(120.0)
    pool_state.note_paced(work.TaskKey("f", 0, 0, 0), 1, 50, 4.5)
    run = pool_state.runs[work.TaskKey("f", 0, 0, 0)]
    run.paced_at = 4.5
    assert work.choose_paces(pool_state, 5.0) == []
    assert len(work.choose_paces(pool_state, 5.5)) == 1


def test_nothing_is_slowed_without_a_serving_task():
    assert work.choose_paces(_make_book(500.0, target_ms=0), 5.0) == []
