"""Tests for a data centre that operators have closed to new work."""

from crocusrouter import jobs
from crocusrouter import templates
from crocusrouter.fleet import messages
from crocusrouter.jobs import gang as gangs
from crocusrouter.jobs.tests import build
from crocusrouter.outcomes import Refusal
from crocusrouter.outcomes import RefusalReason

_OPEN = build.build_catalog(build.build_template())
_CLOSED = templates.close_data_centre(_OPEN, build.DATA_CENTRE, 1.0)


def _build_state(*sizes):
    """Return a state with a queued job of each size."""
    scheduler_state = build.build_scheduler_state(_OPEN)
    for number, size in enumerate(sizes):
        job = build.build_job(number, size=size, level="rack")
        assert isinstance(scheduler_state.submit(job, 0.0), jobs.Effects)
    return scheduler_state


def _handle(scheduler_state, message_type, job_id="dc.0"):
    """Have every worker of a job's attempt send a message about it."""
    gang = scheduler_state.gangs[job_id]
    effects = jobs.Effects()
    for name in sorted(gang.workers):
        message = message_type(job_id, gang.attempt)
        effects.add(jobs.handle_message(scheduler_state, name, message, 2.0))
    return effects


def _count_starts(effects):
    return sum(
        isinstance(command.message, messages.Reserve | messages.Start)
        for command in effects.commands
    )


# Guards against starts after the closure: of queued jobs, and of attempts that
# have reserved nothing or all of their workers.
def test_queued_job_waits_until_the_data_centre_is_open():
    scheduler_state = _build_state(8)
    scheduler_state.catalog = _CLOSED
    assert _count_starts(jobs.schedule(scheduler_state, 2.0)) == 0
    explanation = scheduler_state.explain("dc.0")
    assert explanation.waiting_for.startswith("data-centre-closed")
    scheduler_state.catalog = templates.open_data_centre(_CLOSED, "dc")
    assert _count_starts(jobs.schedule(scheduler_state, 3.0)) == 1
    assert scheduler_state.explain("dc.0").waiting_for == ""


def test_attempt_that_has_reserved_its_workers_is_not_started():
    scheduler_state = _build_state(16)
    jobs.schedule(scheduler_state, 1.0)
    scheduler_state.catalog = _CLOSED
    effects = _handle(scheduler_state, messages.Reserved)
    assert _count_starts(effects) == 0
    gang = scheduler_state.gangs["dc.0"]
    assert gang.end_reason is gangs.EndReason.CLOSED
    _handle(scheduler_state, messages.Stopped)
    assert scheduler_state.jobs["dc.0"].state is jobs.JobState.QUEUED


def test_attempt_that_waits_for_others_is_not_reserved():
    scheduler_state = _build_state(16, 16)
    scheduler_state.catalog = build.build_catalog(
        build.build_template("c"), build.build_template("g", ("rack", 16, 1))
    )
    jobs.schedule(scheduler_state, 1.0)
    claim = build.build_job(7, customer="g", size=16, level="rack")
    scheduler_state.submit(claim, 1.0)
    jobs.schedule(scheduler_state, 1.0)
    waiting_gang = scheduler_state.gangs["dc.7"]
    assert waiting_gang.phase is gangs.Phase.WAITING
    scheduler_state.catalog = templates.close_data_centre(
        scheduler_state.catalog, "dc", 1.0
    )
    [victim_id] = waiting_gang.blocking_job_ids
    effects = _handle(scheduler_state, messages.Stopped, victim_id)
    assert _count_starts(effects) == 0
    assert scheduler_state.jobs["dc.7"].state is jobs.JobState.QUEUED


# Guards against running work that is ended by a closure.
def test_running_attempt_goes_on():
    scheduler_state = _build_state(16)
    jobs.schedule(scheduler_state, 1.0)
    _handle(scheduler_state, messages.Reserved)
    _handle(scheduler_state, messages.Started)
    scheduler_state.catalog = _CLOSED
    jobs.schedule(scheduler_state, 2.0)
    assert scheduler_state.gangs["dc.0"].phase is gangs.Phase.RUNNING


# Guards against a job that two data centres accept, and against one that its
# caller believes refused.
def test_only_repeated_submissions_are_accepted():
    scheduler_state = _build_state(8)
    scheduler_state.catalog = _CLOSED
    new_job = build.build_job(1, size=8, level="rack")
    refusal = scheduler_state.submit(new_job, 2.0)
    assert isinstance(refusal, Refusal)
    assert refusal.reason is RefusalReason.DATA_CENTRE_CLOSED
    repeated = build.build_job(0, size=8, level="rack")
    assert isinstance(scheduler_state.submit(repeated, 2.0), jobs.Effects)
    assert set(scheduler_state.jobs) == {"dc.0"}
