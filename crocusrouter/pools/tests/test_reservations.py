import pytest

from crocusrouter import work
from crocusrouter.pools import reservations
from crocusrouter.work.tests import build


# An advised step gets room by stops and starts when the stopped runs have
# ended. Its ticket had expired by then: each worker refused the start, which is
# priced.
@pytest.mark.parametrize(
    ("advised", "now", "ready_count"),
    [(True, 0.1, 1), (True, 0.8, 0), (False, 0.8, 1)],
)
def test_start_after_stops_needs_a_valid_ticket(advised, now, ready_count):
    job = build.make_job("j", build.make_step(1, gpu=8), advised=advised)
    pool_state = build.make_pool_state(job, workers=("w0",))
    step = work.StepKey("j", 0, 0)
    pool_state.find_tracked_step(step).permits.note_answer(
        ("w0",), {"w0": "t"}, 1.2
    )
    reserved = reservations.Reservations()
    reserved.add(work.Placement(step, {0: "w0"}), 0.0)
    assert len(reserved.take_ready(pool_state, now)) == ready_count


# Victims end 0.9 s after the decision, and the last of them a little later. A
# reservation of one second was dropped in between: its step was planned again
# elsewhere and stopped other runs once more.
@pytest.mark.parametrize(
    ("stop_s", "now", "is_kept"),
    [(0.2, 0.9, True), (0.2, 1.4, False), (0.9, 1.9, True), (0.9, 2.2, False)],
)
def test_reservation_outlasts_the_measured_stop_times(stop_s, now, is_kept):
    job = build.make_job("j", build.make_step(1, gpu=8))
    pool_state = build.make_pool_state(job, workers=("w0",))
    for _ in range(60):
        pool_state.stop_durations.note(stop_s)
    pool_state.workers["w0"].used = work.Room(0, 0, 8)
    reserved = reservations.Reservations()
    reserved.add(work.Placement(work.StepKey("j", 0, 0), {0: "w0"}), 0.0)
    reserved.take_ready(pool_state, now)
    assert bool(list(reserved.list_spots())) is is_kept


# Guards against a step that stands beside free workers for 1.3 to 5.2 s because
# its room is reserved on a worker that can't take it any more.
@pytest.mark.parametrize(
    ("change", "is_kept"),
    [
        (lambda state: None, True),
        (lambda state: state.note_silent("w0", 0.1), False),
        (lambda state: state.unlist_worker("w0"), False),
        (lambda state: state.forget_worker("w0"), False),
        (
            lambda state: state.set_worker(
                build.make_entry("w0", draining=True), 0.1
            ),
            False,
        ),
    ],
    ids=["none", "silent", "unlisted", "forgotten", "draining"],
)
def test_reservation_ends_when_its_worker_is_gone(change, is_kept):
    job = build.make_job("j", build.make_step(1, gpu=8))
    pool_state = build.make_pool_state(job, workers=("w0",))
    for _ in range(60):
        pool_state.stop_durations.note(3.0)
    pool_state.workers["w0"].used = work.Room(0, 0, 8)
    reserved = reservations.Reservations()
    reserved.add(work.Placement(work.StepKey("j", 0, 0), {0: "w0"}), 0.0)
    change(pool_state)
    reserved.take_ready(pool_state, 0.2)
    assert bool(list(reserved.list_spots())) is is_kept


# Guards against a start in a data centre that was closed while victims of the
# start were ending, and against a step that goes on waiting for room there.
def test_reservation_ends_when_its_data_centre_is_closed():
    job = build.make_job("j", build.make_step(2, gpu=8, gang=True))
    pool_state = build.make_pool_state(job)
    reserved = reservations.Reservations()
    placement = work.Placement(work.StepKey("j", 0, 0), {0: "w0", 1: "w1"})
    reserved.add(placement, 0.0)
    work.set_closed_data_centres(pool_state, frozenset({"liege"}))
    assert reserved.take_ready(pool_state, 0.1) == []
    assert list(reserved.list_spots()) == []


# Two steps reserved half of a worker each while two runs ended there. When the
# first had ended, both started in the room of one.
@pytest.mark.parametrize(("free", "ready_count"), [(4, 1), (8, 2), (3, 0)])
def test_free_room_is_given_to_one_reservation_only(free, ready_count):
    jobs = [build.make_job(name, build.make_step(1, gpu=4)) for name in "ab"]
    pool_state = build.make_pool_state(*jobs, workers=("w0",))
    pool_state.workers["w0"].used = work.Room(0, 0, 8 - free)
    reserved = reservations.Reservations()
    for name in "ab":
        reserved.add(work.Placement(work.StepKey(name, 0, 0), {0: "w0"}), 0.0)
    assert len(reserved.take_ready(pool_state, 0.1)) == ready_count
    assert len(list(reserved.list_spots())) == 2 - ready_count


# Guards against a task that runs twice or crashes too many workers: its room is
# reserved, and then it must not start for another reason than room.
@pytest.mark.parametrize(
    ("late_jobs", "has_unsaved_crash", "is_ready"),
    [
        ((), False, True),
        (("other",), False, True),
        (("j",), False, False),
        ((), True, False),
    ],
)
def test_reservation_of_a_blocked_job_is_dropped(
    late_jobs, has_unsaved_crash, is_ready
):
    job = build.make_job("j", build.make_step(1, gpu=8))
    pool_state = build.make_pool_state(job, workers=("w0",))
    reserved = reservations.Reservations()
    reserved.add(work.Placement(work.StepKey("j", 0, 0), {0: "w0"}), 0.0)
    pool_state.set_worker(build.make_entry("w1@2"), 0.1)
    pool_state.workers["w1@2"].possible_jobs = frozenset()
    pool_state.workers["w1@2"].late_jobs = frozenset(late_jobs)
    pool_state.jobs["j"].has_unsaved_crash = has_unsaved_crash
    assert bool(reserved.take_ready(pool_state, 0.2)) is is_ready
    assert list(reserved.list_spots()) == []
