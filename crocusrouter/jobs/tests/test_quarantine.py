import pytest

from crocusrouter.jobs import handlers
from crocusrouter.jobs import quarantine
from crocusrouter.jobs import scheduler
from crocusrouter.jobs.tests import build
from crocusrouter.jobs.tests import test_book_machine as machines
from standins import worker as worker_standin


@pytest.mark.parametrize(
    ("failures", "quarantined"),
    [
        ([], False),
        ([("j1", False)], False),
        # Repeated failures of one job count once.
        ([("j1", False), ("j1", False)], False),
        ([("j1", False), ("j2", False)], True),
        # Jobs that failed elsewhere too don't count against the worker.
        ([("j1", True), ("j2", True), ("j3", True)], False),
    ],
)
def test_worker_is_quarantined_after_two_jobs_failed(failures, quarantined):
    history = quarantine.FailureHistory()
    for job_id, failed_elsewhere in failures:
        history = quarantine.record_failure(
            history, job_id, failed_elsewhere, 0.0
        )
    assert quarantine.is_quarantined(history, 1.0) is quarantined


def test_first_failure_on_probation_doubles_the_quarantine():
    history = quarantine.FailureHistory(frozenset({"j1", "j2"}), 30.0, 30.0)
    history = quarantine.record_failure(history, "j3", False, 31.0)
    assert history.quarantined_until == 31.0 + 60.0
    cleared = quarantine.record_success(history)
    assert not quarantine.record_failure(
        cleared, "j4", False, 99.0
    ).quarantine_s


# One worker fails every task that it starts. It must be quarantined after the
# second job, and the jobs that failed there must succeed elsewhere.
def test_failing_worker_does_not_use_up_attempts():
    machine = machines.BookMachine()
    failing_worker = sorted(machine.workers)[0]
    machine.workers[failing_worker].fault = worker_standin.Fault.FAIL_TASKS
    for _ in range(6):
        machine.submit([("c", (1, "worker"), 0.5)] * 6)
        machine.run_on(6)
    machine.run_on(40)
    jobs = machine.scheduler_state.jobs.values()
    assert {str(job.state) for job in jobs} == {"done"}
    failed_job_ids = [job.id for job in jobs if failing_worker in job.failed_on]
    assert len(failed_job_ids) <= 8
    assert quarantine.is_quarantined(
        machine.scheduler_state.workers[failing_worker].failure_history,
        machine.now,
    )
    assert (
        failing_worker
        not in scheduler.build_snapshot(
            machine.scheduler_state, machine.now
        ).capacities
    )


# A job whose task always fails must end as failed, with the reason, after three
# attempts. None of the healthy workers may be quarantined for it.
def test_failing_job_quarantines_no_worker():
    machine = machines.BookMachine()
    for worker in machine.workers.values():
        worker.fault = worker_standin.Fault.FAIL_TASKS
    machine.submit([("c", (1, "worker"), 0.5)])
    machine.run_on(40)
    job = machine.scheduler_state.jobs["dc.1"]
    assert (str(job.state), len(set(job.failed_on))) == ("failed", 3)
    workers = machine.scheduler_state.workers.values()
    assert not any(
        quarantine.is_quarantined(worker.failure_history, machine.now)
        for worker in workers
    )
    assert "fails everything" in job.detail


def test_message_of_an_unknown_worker_is_ignored():
    scheduler_state = build.build_scheduler_state(
        build.build_catalog(build.build_template("c"))
    )
    from crocusrouter.fleet import messages

    effects = handlers.handle_message(
        scheduler_state, "nobody", messages.Reserved("dc.1", 1), 0.0
    )
    assert not effects.commands
