"""Transitions of a gang, without I/O: each table row is one history."""

import dataclasses

import pytest

from crocusrouter.fleet import messages
from crocusrouter.jobs import gang as gangs
from crocusrouter.jobs import model
from crocusrouter.jobs.gang import EndReason
from crocusrouter.jobs.gang import Phase
from crocusrouter.jobs.tests import build

_MEMBERS = (model.Member("w0", 0xFF), model.Member("w1", 0xFF))


def _create_gang(blocking_job_ids=()):
    job = dataclasses.replace(
        build.build_job(1, size=16, level="rack"), attempt=1, members=_MEMBERS
    )
    return gangs.create_gang(job, frozenset(blocking_job_ids))


def _apply_events(*events):
    """Apply events (function, arguments...) and collect all commands."""
    gang, sent_commands = gangs.reserve_members(_create_gang())
    sent_commands = list(sent_commands)
    for function, *arguments in events:
        gang, commands = function(gang, *arguments)
        sent_commands += commands
    return gang, sent_commands


def _count_commands(commands, message_type):
    return sum(
        isinstance(command.message, message_type) for command in commands
    )


_RESERVED = [(gangs.record_reserved, "w0"), (gangs.record_reserved, "w1")]
_STARTED = [
    *_RESERVED,
    (gangs.record_started, "w0"),
    (gangs.record_started, "w1"),
]
_LOST = (gangs.record_released, "w0", EndReason.LOST, "gone")


@pytest.mark.parametrize(
    ("events", "phase", "start_count", "stop_count"),
    [
        ([], Phase.RESERVING, 0, 0),
        # Nothing starts before all members have reserved.
        (_RESERVED[:1], Phase.RESERVING, 0, 0),
        (_RESERVED, Phase.STARTING, 2, 0),
        (_STARTED, Phase.RUNNING, 2, 0),
        # A repeated message changes nothing.
        ([*_RESERVED, _RESERVED[0]], Phase.STARTING, 2, 0),
        # The loss of a member at any point stops the other member.
        ([_LOST], Phase.ENDING, 0, 1),
        ([*_RESERVED, _LOST], Phase.ENDING, 2, 1),
        ([*_STARTED, _LOST], Phase.ENDING, 2, 1),
        # The attempt has ended only when the other member has stopped too.
        (
            [
                *_STARTED,
                _LOST,
                (gangs.record_released, "w1", EndReason.LOST, ""),
            ],
            Phase.ENDED,
            2,
            1,
        ),
        # A late "reserved" message to an ending gang causes a stop.
        ([_LOST, (gangs.record_reserved, "w1")], Phase.ENDING, 0, 2),
        # One member's failure ends the attempt.
        (
            [*_STARTED, (gangs.record_finished, "w0", False, "x")],
            Phase.ENDING,
            2,
            1,
        ),
        # One member's success does not end the attempt.
        (
            [*_STARTED, (gangs.record_finished, "w0", True, "x")],
            Phase.RUNNING,
            2,
            0,
        ),
        (
            [
                *_STARTED,
                (gangs.record_finished, "w0", True, "x"),
                (gangs.record_finished, "w1", True, "y"),
            ],
            Phase.ENDED,
            2,
            0,
        ),
        # The loss of a worker whose task has succeeded does not matter.
        (
            [
                *_STARTED,
                (gangs.record_finished, "w0", True, "x"),
                _LOST,
                (gangs.record_finished, "w1", True, "y"),
            ],
            Phase.ENDED,
            2,
            0,
        ),
    ],
)
def test_transitions(events, phase, start_count, stop_count):
    gang, commands = _apply_events(*events)
    assert gang.phase is phase
    assert _count_commands(commands, messages.Start) == start_count
    assert _count_commands(commands, messages.Stop) == stop_count


def test_success_keeps_every_result():
    gang, _ = _apply_events(
        *_STARTED,
        (gangs.record_finished, "w1", True, "y"),
        (gangs.record_finished, "w0", True, "x"),
    )
    assert gang.end_reason is EndReason.SUCCEEDED
    assert gang.results == (("w0", "x"), ("w1", "y"))


def test_reservation_waits_for_all_blocking_jobs():
    gang = _create_gang({"dc.8", "dc.9"})
    gang, commands = gangs.record_blocker_ended(gang, "dc.8")
    assert (gang.phase, commands) == (Phase.WAITING, ())
    gang, commands = gangs.record_blocker_ended(gang, "dc.9")
    assert gang.phase is Phase.RESERVING
    assert _count_commands(commands, messages.Reserve) == 2


def test_reclaimed_gang_is_asked_to_checkpoint():
    gang, _ = _apply_events(*_STARTED)
    _, commands = gangs.end_gang(gang, EndReason.RECLAIMED)
    assert all(command.message.checkpoint for command in commands)
