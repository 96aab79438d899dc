"""Scenarios of one data centre that random histories seldom reach."""

import pytest

from crocusrouter.fleet import messages
from crocusrouter.jobs.tests import test_book_machine as machines


def _build_machine_with_job(size=1, level="worker", run_time_s=30.0):
    machine = machines.BookMachine()
    machine.submit([("c", (size, level), run_time_s)])
    return machine


def _find_task(machine, job_id="dc.1"):
    """Return the name of a worker with a task of the job, and the task."""
    for name, worker in machine.workers.items():
        for (task_job_id, _), task in worker.tasks.items():
            if task_job_id == job_id:
                return name, task
    return None, None


# An owner starts an attempt and dies before the attempt is journaled, so its
# successor doesn't know the attempt. If the reservation had been sent already,
# two attempts with the same number would run.
def test_commands_are_sent_after_the_commit_only():
    machine = _build_machine_with_job()
    machine.commit()
    machine.schedule()
    machine._exchange_messages(stalled_name=None)
    assert _find_task(machine) == (None, None)
    machine.commit()
    machine._exchange_messages(stalled_name=None)
    assert _find_task(machine)[1].report.phase is messages.TaskPhase.RUNNING


# A worker is paused for longer than its lease while a renewal waits unread. The
# owner counts the task as lost and starts it elsewhere. If the worker applied
# the renewal before it checked the lease, the old task would run on.
def test_late_renewal_does_not_revive_an_expired_task():
    machine = _build_machine_with_job()
    machine.run_on(1)
    name, _ = _find_task(machine)
    machine.fail("freeze", sorted(machine.links).index(name))
    machine.run_on(60)
    busy_names = [n for n, w in machine.workers.items() if w.tasks]
    assert machine.scheduler_state.jobs["dc.1"].attempt == 2
    assert len(busy_names) == 1 and busy_names != [name]


# The connection to a live worker is cut for four leases. The worker's task runs
# until its lease expires, so an earlier start of the next attempt would let two
# attempts run at once. The oracle checks this after every half second.
@pytest.mark.parametrize("cut_after", range(1, 14))
def test_next_attempt_waits_until_the_lease_expires(cut_after):
    machine = _build_machine_with_job()
    machine.run_on(cut_after)
    name, _ = _find_task(machine)
    machine.fail("cut-long", sorted(machine.links).index(name))
    for _ in range(40):
        machine.run_on(1)
        machine.check_no_attempt_overlaps()
    assert machine.scheduler_state.jobs["dc.1"].attempt == 2


# The stop command of a cancelled job is lost with the connection or with the
# owner. The next inventory still lists the task. Without another stop command
# the task would run to its end on accelerators that count as free.
@pytest.mark.parametrize("failure", ["cut", "kill-owner"])
def test_task_of_a_cancelled_job_is_stopped(failure):
    machine = _build_machine_with_job()
    machine.run_on(1)
    name, _ = _find_task(machine)
    machine.cancel(0)
    machine.commit()
    machine.fail(failure, sorted(machine.links).index(name))
    machine.run_on(6)
    assert _find_task(machine) == (None, None)


# The owner dies, and a worker of a gang is replaced before the successor takes
# over. No event reports the loss of the worker, so the attempt would never end.
def test_worker_lost_while_there_is_no_owner():
    machine = _build_machine_with_job(6, "rack", 4.0)
    machine.run_on(1)
    name, _ = _find_task(machine)
    new_name = f"{name}-new"
    del machine.workers[name]
    machine.racks[new_name] = machine.racks[name]
    machine.workers[new_name] = machines.worker_standin.Worker(new_name, 4)
    machine.fail("kill-owner", 0)
    machine.run_on(60)
    job = machine.scheduler_state.jobs["dc.1"]
    assert (str(job.state), job.attempt) == ("done", 2)


# A claim reclaims a loan. The job on the loan must stop and run again later.
# This counts as a loss, not as a failure of the job.
def test_claim_reclaims_loans():
    machine = machines.BookMachine()
    machine.submit([("c", (8, "rack"), 30.0)] * 3)
    machine.run_on(2)
    machine.submit([("a", (8, "rack"), 4.0)])
    machine.run_on(4)
    assert machine.scheduler_state.gangs["dc.4"].phase == "running"
    jobs_with_losses = [
        job for job in machine.scheduler_state.jobs.values() if job.losses
    ]
    assert [job.failures for job in jobs_with_losses] == [0]
    machine.run_on(90)
    assert {str(j.state) for j in machine.scheduler_state.jobs.values()} == {
        "done"
    }


# A claim reclaims loans whose checkpoint takes ten seconds. After 1.5 s they
# must be stopped without a checkpoint; otherwise the claim would not start
# within 2.8 s.
def test_long_checkpoint_does_not_delay_a_claim():
    machine = machines.BookMachine()
    for worker in machine.workers.values():
        worker.checkpoint_s = 10.0
    machine.submit([("c", (8, "rack"), 30.0)] * 3)
    machine.run_on(2)
    machine.submit([("a", (8, "rack"), 4.0)])
    claimed_at = machine.now
    while (
        machine.scheduler_state.jobs["dc.4"].id
        not in machine.scheduler_state.run_started_at
    ):
        machine.run_on(1)
        assert machine.now - claimed_at <= 2.8


# Regression: the rest of the rack of a partly claimed cell was given to another
# customer's claim. When the first claim ended, the whole cell had no place.
def test_unclaimed_part_of_a_cell_stays_reserved():
    machine = machines.BookMachine()
    machine.submit([("a", (6, "rack"), 4.0), ("a", (6, "rack"), 4.0)])
    machine.run_on(2)
    machine.submit([("b", (2, "worker"), 30.0), ("b", (2, "worker"), 30.0)])
    machine.run_on(2)
    machine.check_guarantees_embed()
    machine.run_on(20)
    machine.check_guarantees_embed()
    machine.submit([("a", (8, "rack"), 4.0), ("a", (8, "rack"), 4.0)])
    machine.run_on(4)
    assert {machine.scheduler_state.gangs[f"dc.{n}"].phase for n in (5, 6)} == {
        "running"
    }


# One worker after the other is lost right after it has started the job. Lost
# workers did not count as failed attempts, so the job was started again without
# end. A worker that is lost after a longer run still does not count.
@pytest.mark.parametrize(
    ("steps_between", "state"), [(1, "failed"), (60, "queued")]
)
def test_job_fails_when_its_start_repeatedly_loses_the_worker(
    steps_between, state
):
    machine = _build_machine_with_job(run_time_s=300.0)
    for _ in range(8):
        for _ in range(40):
            name, _ = _find_task(machine)
            if (
                name is not None
                or machine.scheduler_state.jobs["dc.1"].is_final
            ):
                break
            machine.run_on(1)
        if name is None:
            break
        machine.run_on(steps_between)
        machine.fail("replace", sorted(machine.links).index(name))
    machine.commit()
    assert machine.scheduler_state.jobs["dc.1"].state == state
