"""Histories that random ones seldom reach, told step by step."""

import pytest

from crocusrouter.fleet import messages
from crocusrouter.jobs.tests import test_book_machine as machines


def _begin(size=1, level="worker", run_time_s=30.0):
    machine = machines.BookMachine()
    machine.submit([("c", (size, level), run_time_s)])
    return machine


def _find_task(machine, job_id="dc.1"):
    """The worker that holds a task of the job, and the task."""
    for name, worker in machine.workers.items():
        for (held_id, _), task in worker.tasks.items():
            if held_id == job_id:
                return name, task
    return None, None


# The caller sees one run of its job. The owner decides on an attempt and dies
# before the journal has it; its successor knows nothing of the attempt. Had
# the reservation been sent before, two attempts with one number would run.
def test_nothing_is_sent_before_the_journal_has_it():
    machine = _begin()
    machine.commit()
    machine.schedule()
    machine._exchange(stalled=None)
    assert _find_task(machine) == (None, None)
    machine.commit()
    machine._exchange(stalled=None)
    assert _find_task(machine)[1].report.phase is messages.TaskPhase.RUNNING


# The caller sees one run. A worker is paused for longer than its lease with a
# renewal waiting unread; its owner counts the task as gone and starts it
# elsewhere. Reading the renewal first would let the old task run on.
def test_renewal_read_after_the_lapse_revives_nothing():
    machine = _begin()
    machine.run_on(1)
    name, _ = _find_task(machine)
    machine.fail("freeze", sorted(machine.links).index(name))
    machine.run_on(60)
    held = [n for n, w in machine.workers.items() if w.tasks]
    assert machine.book.jobs["dc.1"].attempt == 2
    assert len(held) == 1 and held != [name]


# The caller sees one run. The link to a worker is cut for four leases while
# the worker lives: its task runs until the lease lapses, and only then may
# the next attempt start. The oracle looks after every half second.
@pytest.mark.parametrize("cut_after", range(1, 14))
def test_next_attempt_waits_for_the_lapse(cut_after):
    machine = _begin()
    machine.run_on(cut_after)
    name, _ = _find_task(machine)
    machine.fail("cut-long", sorted(machine.links).index(name))
    for _ in range(40):
        machine.run_on(1)
        machine.check_no_attempt_overlaps()
    assert machine.book.jobs["dc.1"].attempt == 2


# The customer cancels, and the command to stop is lost: with the connection,
# or with the owner. The next inventory still lists the task. Left alone it
# would run to its end on accelerators that count as free.
@pytest.mark.parametrize("failure", ["cut", "kill-owner"])
def test_task_of_a_cancelled_job_is_stopped(failure):
    machine = _begin()
    machine.run_on(1)
    name, _ = _find_task(machine)
    machine.cancel(0)
    machine.commit()
    machine.fail(failure, sorted(machine.links).index(name))
    machine.run_on(6)
    assert _find_task(machine) == (None, None)


# The customer waits for a gang. Its owner dies, and before another takes over
# a member's worker is replaced as well, so no event tells of its loss.
def test_member_lost_while_nobody_watched():
    machine = _begin(6, "rack", 4.0)
    machine.run_on(1)
    name, _ = _find_task(machine)
    fresh = f"{name}-new"
    del machine.workers[name]
    machine.racks[fresh] = machine.racks[name]
    machine.workers[fresh] = machines.worker_standin.Worker(fresh, 4)
    machine.fail("kill-owner", 0)
    machine.run_on(60)
    job = machine.book.jobs["dc.1"]
    assert (str(job.state), job.attempt) == ("done", 2)


# A guaranteed claim takes loans back: the job on the loan stops, gets its
# place later, and counts a loss but no failure of its own.
def test_claim_reclaims_loans():
    machine = machines.BookMachine()
    machine.submit([("c", (8, "rack"), 30.0)] * 3)
    machine.run_on(2)
    machine.submit([("a", (8, "rack"), 4.0)])
    machine.run_on(4)
    assert machine.book.gangs["dc.4"].phase == "running"
    lost = [job for job in machine.book.jobs.values() if job.losses]
    assert [job.failures for job in lost] == [0]
    machine.run_on(90)
    assert {str(j.state) for j in machine.book.jobs.values()} == {"done"}


# The customer claims its guarantee while loans stand there whose checkpoint
# would take ten seconds. After a second and a half they are stopped without
# one, so that the claim starts within its 2.8 s.
def test_long_checkpoint_does_not_hold_up_a_claim():
    machine = machines.BookMachine()
    for worker in machine.workers.values():
        worker.checkpoint_s = 10.0
    machine.submit([("c", (8, "rack"), 30.0)] * 3)
    machine.run_on(2)
    machine.submit([("a", (8, "rack"), 4.0)])
    claimed_at = machine.now
    while machine.book.jobs["dc.4"].id not in machine.book.began:
        machine.run_on(1)
        assert machine.now - claimed_at <= 2.8


# Regression: a cell claimed in part left the rest of its rack to another
# customer's claim; when the first claim ended, the whole cell had no place.
def test_rest_of_a_claimed_cell_stays_with_it():
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
    assert {machine.book.gangs[f"dc.{n}"].phase for n in (5, 6)} == {"running"}


# The caller sees "queued" and "assigned" in turn, and one worker after the
# other is lost right after it has begun the job. A lost worker counted as no
# attempt, so nothing ended the series; a lost worker after work for longer
# still counts as none.
@pytest.mark.parametrize(
    ("steps_between", "state"), [(1, "failed"), (60, "queued")]
)
def test_job_under_which_workers_are_lost_at_its_start_fails(
    steps_between, state
):
    machine = _begin(run_time_s=300.0)
    for _ in range(8):
        for _ in range(40):
            name, _ = _find_task(machine)
            if name is not None or machine.book.jobs["dc.1"].is_final:
                break
            machine.run_on(1)
        if name is None:
            break
        machine.run_on(steps_between)
        machine.fail("replace", sorted(machine.links).index(name))
    machine.commit()
    assert machine.book.jobs["dc.1"].state == state
