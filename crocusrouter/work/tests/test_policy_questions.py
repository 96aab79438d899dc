import pytest

from crocusrouter import work
from crocusrouter.work import orders
from crocusrouter.work.tests import build

STEP = work.StepKey("j", 0, 0)


def _make_book(step, workers=("w0", "w1", "w2", "w3"), **changes):
    job = build.make_job("j", step, advised=True, **changes)
    return build.make_book(job, workers=workers)


def _answer(pool_state, tickets, asked, until=3.0):
    pool_state.find_work(STEP).permits.note_answer(asked, tickets, until)


def _fill(pool_state, *workers):
    for name in workers:
        pool_state.workers[name].used = pool_state.workers[name].entry.room


def test_nothing_starts_without_a_ticket():
    pool_state = _make_book(build.make_step(1))
    assert work.plan(pool_state, 0.0, build.WALL).placements == []
    _answer(pool_state, {"w2": "t"}, ("w1", "w2"))
    [placement] = work.plan(pool_state, 0.0, build.WALL).placements
    assert placement.spots == {0: "w2"}


# A start that arrives after its ticket's end is refused and priced. One that
# is not answered is sent again, so a ticket must hold for a while longer.
@pytest.mark.parametrize(("now", "placed"), [(2.4, 1), (2.6, 0)])
def test_ticket_that_ends_soon_is_not_used(now, placed):
    pool_state = _make_book(build.make_step(1))
    _answer(pool_state, {"w0": "t"}, ("w0",))
    plan = work.plan(pool_state, now, build.WALL)
    assert len(plan.placements) == placed


@pytest.mark.parametrize(
    ("count", "full", "asked"),
    [
        (1, (), ("w0", "w1", "w2")),
        (1, ("w0",), ("w1", "w2", "w3")),
        (2, (), ("w0", "w1", "w2", "w3")),
        (1, ("w0", "w1", "w2", "w3"), ("w0", "w1", "w2")),
    ],
)
def test_workers_with_room_are_asked_about_first(count, full, asked):
    pool_state = _make_book(build.make_step(count, gpu=8))
    _fill(pool_state, *full)
    question = work.choose_question(pool_state, 0.0, build.WALL)
    assert question == work.Question(STEP, asked)


@pytest.mark.parametrize(
    ("tickets", "asked", "now", "expected"),
    [
        ({"w0": "t"}, ("w0",), 0.0, None),
        ({}, ("w0", "w1"), 0.0, ("w2", "w3")),
        ({"w0": "t"}, ("w0",), 2.9, ("w0", "w1", "w2")),
        ({}, ("w0", "w1", "w2", "w3"), 9.0, None),
    ],
)
def test_what_is_known_is_not_asked_again(tickets, asked, now, expected):
    pool_state = _make_book(build.make_step(1))
    _answer(pool_state, tickets, asked)
    question = work.choose_question(pool_state, now, build.WALL)
    assert (question.workers if question else None) == expected


def test_full_worker_is_asked_about_once():
    """Its ticket would end before there is room; the service must not be
    asked for ever while a step waits.
    """
    pool_state = _make_book(build.make_step(1, gpu=8))
    _fill(pool_state, "w0", "w1", "w2", "w3")
    names = ("w0", "w1", "w2", "w3")
    _answer(pool_state, dict.fromkeys(names, "t"), names)
    assert work.choose_question(pool_state, 9.0, build.WALL) is None


def test_question_names_no_more_than_the_objective_allows():
    names = tuple(f"w{number:02}" for number in range(40))
    pool_state = _make_book(build.make_step(30, gpu=8), workers=names)
    assert len(work.choose_question(pool_state, 0.0, build.WALL).workers) == 30


def test_refused_ticket_is_asked_for_again():
    pool_state = _make_book(build.make_step(1), workers=("w0",))
    _answer(pool_state, {"w0": "t"}, ("w0",))
    build.start_planned(pool_state, confirm=False)
    key = work.TaskKey(*STEP, 0)
    number = pool_state.runs[key].number
    pool_state.note_not_begun(key, number, orders.Why.NO_TICKET, 0.0)
    assert work.choose_question(pool_state, 1.0, build.WALL).workers == ("w0",)
