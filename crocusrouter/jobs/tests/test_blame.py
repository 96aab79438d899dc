import pytest

from crocusrouter.jobs import blame as blames
from crocusrouter.jobs import handlers
from crocusrouter.jobs import scheduler
from crocusrouter.jobs.tests import build
from crocusrouter.jobs.tests import test_book_machine as machines
from standins import worker as workers


@pytest.mark.parametrize(
    ("failures", "aside"),
    [
        ([], False),
        ([("j1", False)], False),
        # One job that fails twice here says no more than once.
        ([("j1", False), ("j1", False)], False),
        ([("j1", False), ("j2", False)], True),
        # Poison jobs, which fail elsewhere too, blame no worker.
        ([("j1", True), ("j2", True), ("j3", True)], False),
    ],
)
def test_set_aside(failures, aside):
    blame = blames.Blame()
    for job_id, elsewhere in failures:
        blame = blames.note_failure(blame, job_id, elsewhere, 0.0)
    assert blames.is_aside(blame, 1.0) is aside


def test_probation_sets_aside_at_the_first_failure_and_for_longer():
    blame = blames.Blame(frozenset({"j1", "j2"}), 30.0, 30.0)
    blame = blames.note_failure(blame, "j3", False, 31.0)
    assert blame.aside_until == 31.0 + 60.0
    cleared = blames.note_success(blame)
    assert not blames.note_failure(cleared, "j4", False, 99.0).pause_s


# The customers see every job done. One worker fails everything it starts;
# jobs that fail there run again elsewhere, the worker is set aside after the
# second one, and no job is failed for it.
def test_bad_worker_eats_no_attempts():
    machine = machines.BookMachine()
    bad = sorted(machine.workers)[0]
    machine.workers[bad].fault = workers.Fault.FAIL_TASKS
    for _ in range(6):
        machine.submit([("c", (1, "worker"), 0.5)] * 6)
        machine.run_on(6)
    machine.run_on(40)
    jobs = machine.book.jobs.values()
    assert {str(job.state) for job in jobs} == {"done"}
    failed_there = [job.id for job in jobs if bad in job.failed_on]
    assert len(failed_there) <= 8
    assert blames.is_aside(machine.book.workers[bad].blame, machine.now)
    assert bad not in scheduler.observe(machine.book, machine.now).floor


# The customer sees its job failed, with the reason. It fails on three healthy
# workers; none of them is set aside for it.
def test_poison_job_fails_and_blames_no_worker():
    machine = machines.BookMachine()
    for worker in machine.workers.values():
        worker.fault = workers.Fault.FAIL_TASKS
    machine.submit([("c", (1, "worker"), 0.5)])
    machine.run_on(40)
    job = machine.book.jobs["dc.1"]
    assert (str(job.state), len(set(job.failed_on))) == ("failed", 3)
    held = machine.book.workers.values()
    assert not any(blames.is_aside(w.blame, machine.now) for w in held)
    assert "fails everything" in job.detail


def test_handlers_ignore_unknown_workers():
    book = build.build_book(build.build_catalog(build.build_template("c")))
    from crocusrouter.fleet import messages

    effects = handlers.handle_message(
        book, "nobody", messages.Reserved("dc.1", 1), 0.0
    )
    assert not effects.commands
