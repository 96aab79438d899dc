"""What the log tells of a worker's answers."""

import pytest

from crocusrouter import work
from crocusrouter.work import orders
from crocusrouter.work.tests import build


@pytest.mark.parametrize(
    ("starts", "restarts"),
    [
        ([None, None], 0),
        ([5, 5], 0),
        ([5, 7], 1),
        ([7, 5], 1),  # clocks jump
        ([None, 5, 5], 0),
        ([5, 7, 7, 9], 2),
    ],
)
def test_each_process_of_a_worker_is_told(starts, restarts):
    book = build.make_book(workers=("w0",))
    for born_ms in starts:
        report = orders.Report(1, (), (), born_ms)
        work.take_report(book, "w0", report, 1.0, 1.0)
    told = [what for what, _ in book.events]
    assert told.count("worker:restarted") == restarts
