"""Steps of a gang, pure: each table row is a point where things go wrong."""

import dataclasses

import pytest

from crocusrouter.fleet import messages
from crocusrouter.jobs import gang as gangs
from crocusrouter.jobs import model
from crocusrouter.jobs.gang import End
from crocusrouter.jobs.gang import Phase
from crocusrouter.jobs.tests import build

_MEMBERS = (model.Member("w0", 0xFF), model.Member("w1", 0xFF))


def _open(victims=()):
    job = dataclasses.replace(
        build.build_job(1, size=16, level="rack"), attempt=1, members=_MEMBERS
    )
    return gangs.open_gang(job, frozenset(victims))


def _run(*steps):
    """Apply steps (function, arguments...) and collect all commands."""
    held, sent = gangs.reserve_all(_open())
    sent = list(sent)
    for function, *arguments in steps:
        held, commands = function(held, *arguments)
        sent += commands
    return held, sent


def _count(sent, kind):
    return sum(isinstance(command.message, kind) for command in sent)


_RESERVED = [(gangs.note_reserved, "w0"), (gangs.note_reserved, "w1")]
_STARTED = [
    *_RESERVED,
    (gangs.note_started, "w0"),
    (gangs.note_started, "w1"),
]
_LOST = (gangs.note_gone, "w0", End.LOST, "gone")


@pytest.mark.parametrize(
    ("steps", "phase", "starts", "stops"),
    [
        ([], Phase.RESERVING, 0, 0),
        # Nothing starts before all hold.
        (_RESERVED[:1], Phase.RESERVING, 0, 0),
        (_RESERVED, Phase.STARTING, 2, 0),
        (_STARTED, Phase.RUNNING, 2, 0),
        # A repeated answer changes nothing.
        ([*_RESERVED, _RESERVED[0]], Phase.STARTING, 2, 0),
        # A member lost at any point stops the other one.
        ([_LOST], Phase.ENDING, 0, 1),
        ([*_RESERVED, _LOST], Phase.ENDING, 2, 1),
        ([*_STARTED, _LOST], Phase.ENDING, 2, 1),
        # The attempt has ended only when the other has stopped too.
        (
            [*_STARTED, _LOST, (gangs.note_gone, "w1", End.LOST, "")],
            Phase.ENDED,
            2,
            1,
        ),
        # A late "reserved" while ending is answered by a stop.
        ([_LOST, (gangs.note_reserved, "w1")], Phase.ENDING, 0, 2),
        # One member's failure ends the attempt.
        (
            [*_STARTED, (gangs.note_finished, "w0", False, "x")],
            Phase.ENDING,
            2,
            1,
        ),
        # One member's success does not.
        (
            [*_STARTED, (gangs.note_finished, "w0", True, "x")],
            Phase.RUNNING,
            2,
            0,
        ),
        (
            [
                *_STARTED,
                (gangs.note_finished, "w0", True, "x"),
                (gangs.note_finished, "w1", True, "y"),
            ],
            Phase.ENDED,
            2,
            0,
        ),
        # A worker that goes after its task succeeded loses nothing.
        (
            [
                *_STARTED,
                (gangs.note_finished, "w0", True, "x"),
                _LOST,
                (gangs.note_finished, "w1", True, "y"),
            ],
            Phase.ENDED,
            2,
            0,
        ),
    ],
)
def test_steps(steps, phase, starts, stops):
    held, sent = _run(*steps)
    assert held.phase is phase
    assert _count(sent, messages.Start) == starts
    assert _count(sent, messages.Stop) == stops


def test_success_keeps_every_result():
    held, _ = _run(
        *_STARTED,
        (gangs.note_finished, "w1", True, "y"),
        (gangs.note_finished, "w0", True, "x"),
    )
    assert held.end is End.SUCCEEDED
    assert held.results == (("w0", "x"), ("w1", "y"))


def test_waits_for_all_loans_before_reserving():
    held = _open({"dc.8", "dc.9"})
    held, sent = gangs.release_victim(held, "dc.8")
    assert (held.phase, sent) == (Phase.WAITING, ())
    held, sent = gangs.release_victim(held, "dc.9")
    assert held.phase is Phase.RESERVING
    assert _count(sent, messages.Reserve) == 2


def test_reclaimed_gang_is_asked_to_checkpoint():
    held, _ = _run(*_STARTED)
    _, sent = gangs.end_gang(held, End.RECLAIMED)
    assert all(command.message.checkpoint for command in sent)
