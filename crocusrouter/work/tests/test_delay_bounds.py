"""What the bound on delays beside room must not cost, and where it ends."""

import json
import time

import pytest

from crocusrouter import work
from crocusrouter.work import packing
from crocusrouter.work import progress
from crocusrouter.work import worker_port
from crocusrouter.work.tests import build

_INTERVAL_S = 0.25


def _make_pool_state(*jobs, racks=build.SIX_RACKS, workers=build.SIX_WORKERS):
    return build.make_pool_state(*jobs, workers=workers, racks=racks)


def _decide(pool_state, now, **options):
    plan = build.apply_plan(pool_state, now, build.WALL + now, **options)
    pool_state.note_delays(plan.delays, now)
    return plan


def _make_large_pool_state(step, step_count=1000):
    workers = [f"w{number}" for number in range(1400)]
    racks = [f"r0-{number // 12}" for number in range(1400)]
    jobs = [
        build.make_job(f"j{number}", step, priority=2)
        for number in range(step_count)
    ]
    return _make_pool_state(*jobs, workers=workers, racks=racks)


def _suspect_two_idle_workers(pool_state):
    """Two idle workers are suspect; all others are full."""
    build.fill(pool_state, list(pool_state.workers)[2:])
    for worker_id in ("w0", "w1"):
        pool_state.workers[worker_id].suspect_until = 100.0


def _hold_idle_workers(pool_state):
    """A large gang holds idle workers."""
    build.fill(pool_state, list(pool_state.workers)[300:])
    gang = build.make_step(400, gpu=8, gang=True)
    build.add_job(pool_state, build.make_job("g", gang, priority=1))


def _leave_idle_workers_off_rack(pool_state):
    build.fill(pool_state, list(pool_state.workers)[20:])


# Guards against decisions that take seconds, in which no lease is renewed. The
# limit of half a second is a third of the grace time of leases.
@pytest.mark.parametrize(
    ("prepare", "rack"),
    [
        (_suspect_two_idle_workers, ""),
        (_hold_idle_workers, ""),
        (_leave_idle_workers_off_rack, "r0-9"),
    ],
)
def test_decision_beside_room_takes_little_time(prepare, rack):
    pool_state = _make_large_pool_state(
        build.make_step(1, rack=rack, expected_s=60.0)
    )
    prepare(pool_state)
    began_s = time.process_time()
    work.plan(pool_state, 0.25, build.WALL + 0.25)
    assert time.process_time() - began_s < 0.5


def test_question_by_turns_takes_little_time():
    """It was found by listing the workers for each step that has a question."""
    workers = [f"w{number}" for number in range(1400)]
    racks = ["r0-0"] * 1400
    jobs = [
        build.make_job(f"j{number}", build.make_step(1), advised=True)
        for number in range(1000)
    ]
    pool_state = _make_pool_state(*jobs, workers=workers, racks=racks)
    began_s = time.process_time()
    work.choose_question(pool_state, 1.0, build.WALL + 1.0, takes_turns=True)
    assert time.process_time() - began_s < 0.5


def test_rejected_starts_of_a_lasting_step_do_not_begin_the_wait_anew():
    """One task of a lasting step runs; the starts of the other are rejected."""
    step = build.make_step(2, gpu=4, lasting=True, rack="r0-0", expected_s=99.0)
    pool_state = _make_pool_state(build.make_job("j", step, priority=2))
    pool_state.workers["w0"].used = work.Room(0, 0, 4)
    build.fill(pool_state, ["w1"])
    starts = []
    for tick in range(40):
        now = tick * _INTERVAL_S
        plan = _decide(pool_state, now, confirm=False)
        for placement in plan.placements:
            starts += [now] * (1 in placement.spots)
        for key, run in list(pool_state.runs.items()):
            if run.confirmed_at is not None:
                continue
            if run.worker_id == "w0":
                pool_state.note_started(key, run.number, now)
            else:
                pool_state.note_never_started(key, run.number, "room", now)
    assert starts[1] - starts[0] <= 1.0, starts


def test_overdue_step_leaves_the_worker_of_a_new_trial_alone():
    """It started beside a suspected task in the plan that began its trial."""
    pool_state = _make_pool_state(build.make_job("j", build.make_step(1)))
    build.fill(pool_state, build.SIX_WORKERS[1:])
    pool_state.workers["w0"].suspect_until = 3.0
    for now in (0.0, 1.0, 2.0, 2.75):
        _decide(pool_state, now)
    suspect = build.make_job("s", build.make_step(1), priority=0)
    build.add_job(pool_state, suspect, now=2.75)
    tracked_step = pool_state.find_tracked_step(work.StepKey("s", 0, 0))
    tracked_step.progress.crashes[0] = [progress.Crash(1, early=True)]
    plan = _decide(pool_state, 3.0)
    assert [placement.step.job for placement in plan.placements] == ["s"]


def _play_gang_and_small_steps(small_count):
    """Return when a gang of the whole pool starts, beside small steps.

    The last worker becomes free after 12 s; a small step of later rank comes
    each 2 s and runs for 12 s.
    """
    gang = build.make_step(6, gpu=8, gang=True, expected_s=20.0)
    busy = build.make_step(1, gpu=8, expected_s=12.0)
    pool_state = _make_pool_state(
        build.make_job("g", gang, priority=2),
        build.make_job("b", busy, priority=0),
    )
    ends = {}
    for tick in range(480):
        now = tick * _INTERVAL_S
        for key in [key for key, end in ends.items() if end <= now]:
            worker_id = pool_state.runs[key].worker_id
            end = key, worker_port.RunOutcome.DONE
            build.apply_report(pool_state, worker_id, end, now=now)
            del ends[key]
        if tick % 8 == 0 and tick // 8 < small_count:
            small = build.make_step(1, expected_s=12.0)
            job = build.make_job(
                f"s{tick}",
                small,
                priority=2,
                slack=40.0,
                accepted_at=build.WALL + now,
            )
            build.add_job(pool_state, job, now=now, wall=build.WALL + now)
        for placement in _decide(pool_state, now).placements:
            if placement.step.job == "g":
                return now
            for index in placement.spots:
                ends[work.TaskKey(*placement.step, index)] = now + 12.0
    return float("inf")


def test_small_steps_do_not_starve_a_large_gang():
    """Overdue steps use the workers that a gang needs all at once."""
    assert _play_gang_and_small_steps(0) == 12.0
    assert _play_gang_and_small_steps(60) <= 40.0


def test_room_on_a_worker_under_upkeep_does_not_end_the_wait_for_a_rack():
    """Its run takes three times as long, though no room was usable before."""
    step = build.make_step(1, gpu=4, rack="r0-0", expected_s=11.0)
    pool_state = _make_pool_state(build.make_job("j", step))
    build.fill(pool_state, build.SIX_WORKERS[:5])
    pool_state.workers["w5"].evacuating = True
    for tick in range(20):
        assert not _decide(pool_state, tick * _INTERVAL_S).placements
    pool_state.workers["w2"].used = work.Room(0, 0, 4)
    plan = _decide(pool_state, 5.0)
    assert [placement.spots for placement in plan.placements] == []


def test_step_of_a_lost_worker_counts_no_time_without_room():
    """It lost its worker a minute ago and the pool has been full since."""
    step = build.make_step(1, gpu=4, rack="r0-0", expected_s=60.0)
    pool_state = _make_pool_state(build.make_job("j", step))
    _decide(pool_state, 0.0)
    key = work.TaskKey("j", 0, 0, 0)
    worker_id = pool_state.runs[key].worker_id
    work.note_silent(pool_state, worker_id, 1.0)
    build.fill(
        pool_state, [name for name in build.SIX_WORKERS if name != worker_id]
    )
    work.note_lapsed(pool_state, worker_id, "its lease expired", 7.5)
    # The crash is journaled, and other evidence has explained it.
    pool_state.jobs["j"].has_unsaved_crash = False
    pool_state.find_tracked_step(key).progress.crashes.clear()
    for tick in range(30, 240):
        assert not _decide(pool_state, tick * _INTERVAL_S).placements
    pool_state.workers["w2"].used = work.Room()
    _decide(pool_state, 60.0)
    plan = _decide(pool_state, 60.25)
    racks = {
        packing.find_rack(pool_state.workers[spot].entry.labels)
        for placement in plan.placements
        for spot in placement.spots.values()
    }
    assert racks <= {"r0-0"}


def test_lines_about_unreported_workers_are_short():
    """After a takeover no worker of a large pool has reported for a while."""
    workers = [f"0123456789abcdef-{number:04d}" for number in range(1400)]
    jobs = [
        build.make_job(f"j{number}", build.make_step(1)) for number in range(20)
    ]
    pool_state = _make_pool_state(*jobs, workers=workers, racks=["r0-0"] * 1400)
    for worker_id in workers[10:]:
        pool_state.workers[worker_id].reached = False
    for tracked_job in pool_state.jobs.values():
        tracked_job.accepted_revision = 0
    for now in (0.0, 1.25):
        _decide(pool_state, now)
    lines = [fields for what, fields in pool_state.events if "waits" in what]
    assert lines
    assert len(json.dumps(lines, default=str)) < 20_000


def test_rejected_restart_after_a_failure_comes_in_time():
    """A task failed; room is only where it failed or off its rack."""
    step = build.make_step(1, gpu=4, rack="r0-0", expected_s=30.0)
    pool_state = _make_pool_state(build.make_job("j", step, max_attempts=9))
    _decide(pool_state, 0.0)
    key = work.TaskKey("j", 0, 0, 0)
    worker_id = pool_state.runs[key].worker_id
    build.fill(pool_state, {"w0", "w1"} - {worker_id})
    end = key, worker_port.RunOutcome.FAILED
    failed_at = 5.05
    build.apply_report(pool_state, worker_id, end, now=failed_at)
    build.fill(pool_state, [worker_id])
    rejected_count = 0
    for tick in range(1, 40):
        now = 5.0 + tick * _INTERVAL_S
        plan = _decide(pool_state, now, confirm=False)
        if plan.placements and rejected_count:
            break
        for key, run in list(pool_state.runs.items()):
            rejected_count += 1
            pool_state.note_never_started(key, run.number, "room", now + 0.05)
    assert now - failed_at < 3.0


def test_attempts_are_not_used_up_at_once_on_a_worker_that_fails():
    """A broken worker alone has room; the others are busy for some seconds."""
    pool_state = _make_pool_state(
        build.make_job("j", build.make_step(1), max_attempts=3, priority=2)
    )
    build.fill(pool_state, build.SIX_WORKERS[1:])
    pool_state.note_contention(0.0)
    pool_state.note_contention(1.0)
    starts = []
    for tick in range(40):
        now = tick * _INTERVAL_S
        for placement in _decide(pool_state, now, confirm=False).placements:
            starts.append((now, placement.spots))
            key = work.TaskKey(*placement.step, 0)
            number = pool_state.runs[key].number
            pool_state.note_started(key, number, now + 0.05)
            end = key, worker_port.RunOutcome.FAILED
            build.apply_report(pool_state, "w0", end, now=now + 0.1)
        if pool_state.jobs["j"].progress.final_state is not None:
            break
    assert starts[-1][0] - starts[0][0] >= 3.0, starts


def test_gangs_that_can_not_start_leave_the_holds_to_others():
    """Three of them used up the holds, though they hold nothing."""
    gangs = [
        build.make_job(
            f"g{number}", build.make_step(7, gpu=8, gang=True), priority=1
        )
        for number in range(3)
    ]
    feasible = build.make_step(6, gpu=8, gang=True)
    pool_state = _make_pool_state(
        *gangs, build.make_job("f", feasible, priority=1, slack=3.0)
    )
    build.fill(pool_state, ["w0"])
    small = build.make_job("s", build.make_step(1), priority=2, slack=20.0)
    build.add_job(pool_state, small)
    assert not _decide(pool_state, 0.0).placements


def test_late_start_waits_for_the_listed_incarnation():
    """An incarnation in between was replaced by one that it didn't name."""
    job = build.make_job("j", build.make_step(1))
    pool_state = _make_pool_state(
        job, workers=("w0@1", "w0@2", "w1"), racks=("r0-0",) * 3
    )
    pool_state.workers["w0@2"].listed = False
    build.fill(pool_state, ["w1"])
    _decide(pool_state, 0.0, confirm=False)
    key = work.TaskKey("j", 0, 0, 0)
    run = pool_state.runs[key]
    assert run.worker_id == "w0@1"
    pool_state.workers["w1"].used = work.Room()
    work.note_replaced(pool_state, "w0@2", 0.5)
    pool_state.set_worker(build.make_entry("w0@3"), 0.6)
    build.mark_usable(pool_state.workers["w0@3"])
    stop = worker_port.Stop(key, run.number)
    work.note_replaced(pool_state, "w0@1", 1.0, "w0@2", [stop])
    assert not _decide(pool_state, 1.25).placements
