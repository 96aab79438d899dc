import pytest

from crocusrouter import work
from crocusrouter.pools import unanswered_starts
from crocusrouter.work import worker_port

_KEY = work.TaskKey("00000000000000aa", 0, 0, 0)


@pytest.mark.parametrize(
    ("incarnation", "at", "expected"),
    [
        ("w0@7", 2.0, [7]),
        ("w0@7", 13.0, [7]),  # the start may still be carried out late
        ("w0@7", 30.0, []),
        ("w0@5", 2.0, []),  # the incarnation that it was sent to
    ],
)
def test_late_start_is_stopped_on_other_incarnations(incarnation, at, expected):
    starts = unanswered_starts.UnansweredStarts()
    starts.note(worker_port.Start(_KEY, 7, ""), "w0@5", 1.0)
    stops = starts.list_stops(incarnation, at)
    assert stops == [worker_port.Stop(_KEY, run) for run in expected]


@pytest.mark.parametrize(("at", "settled"), [(1.0, False), (30.0, True)])
def test_old_starts_are_forgotten(at, settled):
    starts = unanswered_starts.UnansweredStarts()
    assert starts.is_settled(0.0)
    starts.note(worker_port.Start(_KEY, 7, ""), "w0@5", 1.0)
    assert starts.is_settled(at) is settled


# Guards against a stop that one process has answered being taken for an answer
# of the next one.
@pytest.mark.parametrize(
    ("refused_by", "asked", "expected"),
    [
        ([], "w0@6", [7]),
        (["w0@6"], "w0@6", []),
        (["w0@6"], "w0@7", [7]),
        (["w0@5"], "w0@6", [7]),
        (["w0@6", "w0@7"], "w0@6", []),
    ],
)
def test_each_incarnation_must_refuse_a_late_start(refused_by, asked, expected):
    starts = unanswered_starts.UnansweredStarts()
    starts.note(worker_port.Start(_KEY, 7, ""), "w0@5", 1.0)
    for incarnation in refused_by:
        starts.note_refused(worker_port.Stop(_KEY, 7), incarnation)
    stops = starts.list_stops(asked, 2.0)
    assert stops == [worker_port.Stop(_KEY, run) for run in expected]


def test_listeners_learn_of_each_start():
    calls = []
    starts = unanswered_starts.UnansweredStarts()
    starts.listeners.append(lambda: calls.append(1))
    starts.note(worker_port.Start(_KEY, 7, ""), "w0@5", 1.0)
    assert calls == [1]


@pytest.mark.parametrize(("at", "expected"), [(2.0, {_KEY.job}), (30.0, set())])
def test_jobs_whose_starts_may_be_carried_out_late(at, expected):
    starts = unanswered_starts.UnansweredStarts()
    starts.note(worker_port.Start(_KEY, 7, ""), "w0@5", 1.0)
    assert starts.list_jobs(at) == expected
