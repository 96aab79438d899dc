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
