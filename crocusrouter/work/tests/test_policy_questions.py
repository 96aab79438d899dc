import pytest

from crocusrouter import work
from crocusrouter.work import worker_port
from crocusrouter.work.tests import build

_STEP_KEY = work.StepKey("j", 0, 0)


def _make_book(step, workers=("w0", "w1", "w2", "w3"), **changes):
    job = build.make_job("j", step, advised=True, **changes)
    return build.make_pool_state(job, workers=workers)


def _record_answer(pool_state, tickets, asked, valid_until=3.0):
    pool_state.find_tracked_step(_STEP_KEY).permits.note_answer(
        asked, tickets, valid_until
    )


def _fill_workers(pool_state, *worker_ids):
    for worker_id in worker_ids:
        pool_state.workers[worker_id].used = pool_state.workers[
            worker_id
        ].entry.room


def test_nothing_starts_without_a_ticket():
    pool_state = _make_book(build.make_step(1))
    assert work.plan(pool_state, 0.0, build.WALL).placements == []
    _record_answer(pool_state, {"w2": "t"}, ("w1", "w2"))
    [placement] = work.plan(pool_state, 0.0, build.WALL).placements
    assert placement.spots == {0: "w2"}


# A start that arrives after its ticket has expired is refused and penalized. A
# start without an answer is sent again, so a ticket must stay valid for longer.
@pytest.mark.parametrize(("now", "placed"), [(2.4, 1), (2.6, 0)])
def test_ticket_that_expires_soon_is_not_used(now, placed):
    pool_state = _make_book(build.make_step(1))
    _record_answer(pool_state, {"w0": "t"}, ("w0",))
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
    _fill_workers(pool_state, *full)
    question = work.choose_question(pool_state, 0.0, build.WALL)
    assert question == work.PolicyQuestion(_STEP_KEY, asked)


@pytest.mark.parametrize(
    ("tickets", "asked", "now", "expected"),
    [
        ({"w0": "t"}, ("w0",), 0.0, None),
        ({}, ("w0", "w1"), 0.0, ("w2", "w3")),
        ({"w0": "t"}, ("w0",), 2.9, ("w0", "w1", "w2")),
        ({}, ("w0", "w1", "w2", "w3"), 9.0, None),
    ],
)
def test_known_answers_are_not_asked_for_again(tickets, asked, now, expected):
    pool_state = _make_book(build.make_step(1))
    _record_answer(pool_state, tickets, asked)
    question = work.choose_question(pool_state, now, build.WALL)
    assert (question.workers if question else None) == expected


def test_full_worker_is_asked_about_once():
    """The service must not be asked again and again while a step waits.

    The ticket for a full worker would expire before there is room.
    """
    pool_state = _make_book(build.make_step(1, gpu=8))
    _fill_workers(pool_state, "w0", "w1", "w2", "w3")
    worker_ids = ("w0", "w1", "w2", "w3")
    _record_answer(pool_state, dict.fromkeys(worker_ids, "t"), worker_ids)
    assert work.choose_question(pool_state, 9.0, build.WALL) is None


def test_question_names_no_more_than_the_objective_allows():
    worker_ids = tuple(f"w{number:02}" for number in range(40))
    pool_state = _make_book(build.make_step(30, gpu=8), workers=worker_ids)
    assert len(work.choose_question(pool_state, 0.0, build.WALL).workers) == 30


def test_refused_ticket_is_asked_for_again():
    pool_state = _make_book(build.make_step(1), workers=("w0",))
    _record_answer(pool_state, {"w0": "t"}, ("w0",))
    build.apply_plan(pool_state, confirm=False)
    key = work.TaskKey(*_STEP_KEY, 0)
    number = pool_state.runs[key].number
    pool_state.note_never_started(
        key, number, worker_port.RejectionReason.NO_TICKET, 0.0
    )
    assert work.choose_question(pool_state, 1.0, build.WALL).workers == ("w0",)


# Guards against steps that are never asked about, and against a gang that takes
# as many turns as a step for which a short question suffices.
@pytest.mark.parametrize(
    ("gang_asked_at", "small_asked_at", "takes_turns", "expected"),
    [
        (None, None, False, "g"),
        (3.0, None, False, "g"),
        (3.0, None, True, "j"),
        (None, 3.0, True, "g"),
        (None, None, True, "j"),
        (3.0, 3.0, True, "j"),
        (0.0, 3.5, True, "g"),
    ],
)
def test_steps_take_turns(gang_asked_at, small_asked_at, takes_turns, expected):
    gang = build.make_step(2, gpu=8, gang=True)
    pool_state = build.make_pool_state(
        build.make_job("g", gang, advised=True, priority=0),
        build.make_job("j", build.make_step(1), advised=True),
        workers=("w0", "w1", "w2", "w3", "w4", "w5"),
    )
    for name, asked_at in (("g", gang_asked_at), ("j", small_asked_at)):
        tracked_step = pool_state.find_tracked_step(work.StepKey(name, 0, 0))
        tracked_step.permits.asked_at = asked_at
    question = work.choose_question(
        pool_state, 4.0, build.WALL, takes_turns=takes_turns
    )
    assert question.step.job == expected
