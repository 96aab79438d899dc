import pytest

from crocusrouter import work
from crocusrouter.work import progress
from crocusrouter.work import start_delays
from crocusrouter.work import worker_port
from crocusrouter.work.tests import build

_KEY = work.StepKey("j", 0, 0)


def _wait_for_rack():
    """No rack is large enough for a gang of three."""
    return build.make_six_workers(
        build.make_step(3, gpu=8, gang=True, one_rack=True)
    )


def _wait_for_data():
    pool_state = build.make_six_workers(build.make_step(1, rack="r0-0"))
    build.fill(pool_state, ("w0", "w1"))
    return pool_state


def _wait_for_urgent_work():
    pool_state = build.make_six_workers(build.make_step(1))
    pool_state.note_contention(0.0)
    return pool_state


def _wait_for_other_workers():
    pool_state = build.make_six_workers(build.make_step(1))
    build.fill(pool_state, ("w0",))
    pool_state.find_tracked_step(_KEY).avoided_workers |= {
        *build.SIX_WORKERS[1:]
    }
    return pool_state


def _wait_for_held_workers():
    """Gangs of an earlier rank wait for their racks and hold all workers."""
    pool_state = build.make_six_workers(build.make_step(1))
    gang = build.make_step(5, gpu=8, gang=True, one_rack=True)
    for job_id in ("g0", "g1"):
        build.add_job(pool_state, build.make_job(job_id, gang, priority=0))
    return pool_state


def _wait_for_trial_worker():
    """The only worker with room is reserved for the trial of another step."""
    pool_state = build.make_six_workers(build.make_step(1))
    build.fill(pool_state, build.SIX_WORKERS[1:])
    suspect = build.make_job("s", build.make_step(1), priority=0)
    build.add_job(pool_state, suspect)
    step = pool_state.find_tracked_step(work.StepKey("s", 0, 0))
    step.progress.crashes[0] = [progress.Crash(1, early=True)]
    return pool_state


def _wait_for_worker():
    """A worker has not told this owner what an earlier owner started there."""
    pool_state = build.make_six_workers(build.make_step(1))
    pool_state.workers["w0"].reached = False
    pool_state.jobs["j"].accepted_revision = 0
    return pool_state


def _wait_for_journal():
    pool_state = build.make_six_workers(build.make_step(1))
    pool_state.jobs["j"].has_unsaved_crash = True
    return pool_state


def _wait_for_tickets():
    return build.make_six_workers(build.make_step(1), advised=True)


def _wait_for_suspected_worker():
    """The only worker with room has failed the tasks of other jobs."""
    pool_state = build.make_six_workers(build.make_step(1))
    build.fill(pool_state, build.SIX_WORKERS[1:])
    pool_state.workers["w0"].suspect_until = 4.0
    return pool_state


def _wait_for_gang_member():
    pool_state = build.make_six_workers(build.make_step(2, gang=True))
    build.apply_plan(pool_state)
    run = pool_state.runs[work.TaskKey("j", 0, 0, 0)]
    pool_state.drop_run(run)
    pool_state.requeue(run, worker_port.RunOutcome.LAPSED, 0.0)
    return pool_state


@pytest.mark.parametrize(
    ("build_state", "cause"),
    [
        (_wait_for_rack, "rack"),
        (_wait_for_data, "rack"),
        (_wait_for_urgent_work, "held-back"),
        (_wait_for_other_workers, "avoided-workers"),
        (_wait_for_held_workers, "held-workers"),
        (_wait_for_trial_worker, "held-workers"),
        (_wait_for_tickets, "tickets"),
        (_wait_for_suspected_worker, "reserved-room"),
        (_wait_for_worker, "unreported-worker"),
        (_wait_for_journal, "unsaved-crash"),
        (_wait_for_gang_member, "gang-members"),
    ],
)
def test_log_tells_why_a_step_with_room_waits(build_state, cause):
    pool_state = build_state()
    for now in (0.5, 1.0, 1.5, 1.75):
        plan = work.plan(pool_state, now, build.WALL)
        pool_state.note_delays(plan.delays, now)
    lines = [fields for what, fields in pool_state.events if "waits" in what]
    lines = [fields for fields in lines if fields["step"] == _KEY]
    assert [(line["cause"], line["for_s"]) for line in lines] == [(cause, 1.0)]


def test_step_without_room_is_not_delayed():
    pool_state = build.make_six_workers(build.make_step(1))
    build.fill(pool_state, build.SIX_WORKERS)
    assert work.plan(pool_state, 0.0, build.WALL).delays == {}


def test_delay_counts_on_when_its_cause_changes():
    delays = start_delays.StartDelays()
    delays.update({_KEY: start_delays.Cause.HELD_BACK}, 1.0)
    delays.update({_KEY: start_delays.Cause.RACK}, 2.0)
    assert delays.measure(_KEY, 2.5) == 1.5
    delays.update({}, 3.0)
    assert delays.measure(_KEY, 3.5) == 0.0


def test_lines_of_one_decision_are_limited():
    delays = start_delays.StartDelays()
    causes = {
        work.StepKey(f"j{number}", 0, 0): start_delays.Cause.UNREPORTED_WORKER
        for number in range(10)
    }
    counts = [len(delays.update(causes, now)) for now in (0.0, 1.0, 1.2, 1.4)]
    assert counts == [0, 8, 2, 0]
