"""Answers of workers that do not have the published form."""

import pytest

from crocusrouter import work
from crocusrouter.platform import calls
from crocusrouter.platform import workers
from crocusrouter.work import worker_port

_STOP = worker_port.Stop(work.TaskKey("00000000000000aa", 0, 0, 0), 7)


class _Connection:
    """Answers each call with the same document."""

    is_open = True

    def __init__(self, document):
        self._document = document

    async def call(self, *_):
        return calls.Response(200, self._document)


def _connect(document):
    connection = workers.PlatformWorkerConnection("w0", "127.0.0.1:1")
    connection._connection = _Connection(document)
    return connection


# Guards against an owner that ends with an error, and leaves its pool without
# one, because of the answer of one worker.
@pytest.mark.parametrize(
    "document",
    [
        {},
        {"": "late"},
        {"clock_ms": None},
        {"clock_ms": 5, "running": [[]]},
        {"clock_ms": 5, "running": 7},
        {"clock_ms": 5, "finished": [["x", "00000000000000aa.0.0.0"]]},
        {"clock_ms": 5, "running": [[None, 1, "", 0]]},
    ],
)
async def test_unreadable_report_is_no_answer(document):
    answer = await _connect(document).hold(1, 0, None, 0.0)
    assert isinstance(answer, worker_port.NoAnswer)
    assert answer.maybe_done


@pytest.mark.parametrize("clock_ms", [None, "5", 5])
async def test_accepted_order_needs_no_readable_clock(clock_ms):
    answer = await _connect({"clock_ms": clock_ms}).stop(1, _STOP, 0.3)
    assert answer == worker_port.Accepted(5 if clock_ms == 5 else 0)


# Guards against an owner that ends with an error because a refusal of one
# worker does not have the published form.
@pytest.mark.parametrize("reason", [["fence"], {"why": "fence"}])
async def test_refusal_with_an_unreadable_reason_is_a_refusal(reason):
    connection = _connect({})
    response = calls.Response(409, {"reason": reason, "clock_ms": 5})

    async def refuse(*_):
        return response

    connection._connection.call = refuse
    answer = await connection.stop(1, _STOP, 0.3)
    assert isinstance(answer, worker_port.Rejected)
