import orjson
import pytest

from bench import waste

_OTHER = "00000000000000bb"


def _line(at, kind, **fields):
    line = {"timestamp": at, "message_type": kind} | fields
    return b"  3.1 e1 " + orjson.dumps(line)


def _start(at, tasks=1, cores=10.0, *, checkpoints=False):
    spots = [[index, f"w{index}"] for index in range(tasks)]
    return _line(
        at,
        "step:start",
        step="aa.0.0",
        spots=spots,
        cores=cores,
        checkpoints=checkpoints,
    )


def _stop(at, why):
    return _line(at, "run:stop", task="aa.0.0.0", why=why)


def _end(at, how, index=0):
    return _line(at, "run:ended", task=f"aa.0.0.{index}", how=how)


@pytest.mark.parametrize(
    ("lines", "rows"),
    [
        ([_start(1.0), _end(3.0, "done")], []),
        ([_start(1.0)], []),
        ([_start(1.0), _end(3.0, "failed")], [("failed", 20.0, 1)]),
        (
            [_start(1.0), _stop(2.0, "cancelled"), _end(3.0, "stopped")],
            [("cancelled", 20.0, 1)],
        ),
        (
            [
                _start(1.0),
                _stop(2.0, f"its room is wanted first by job {_OTHER}"),
                _end(2.5, "stopped"),
                _start(4.0),
                _end(5.0, "failed"),
            ],
            [
                ("its room is wanted first by job JOB", 15.0, 1),
                ("failed", 10.0, 1),
            ],
        ),
        # The first to be listed ended with the member that failed.
        (
            [
                _start(1.0, 3),
                _end(2.0, "broken", 2),
                _end(2.0, "failed", 0),
                _end(2.0, "broken", 1),
            ],
            [("failed", 30.0, 3)],
        ),
        (
            [_start(1.0, checkpoints=True), _end(3.0, "failed")],
            [("failed", 0.0, 1)],
        ),
        (
            [_start(1.0, 2), _line(3.0, "worker:lapsed", worker="w1")],
            [("its worker was lost", 20.0, 1)],
        ),
        # Lines of entries come one file after the other.
        ([_end(3.0, "failed"), _start(1.0)], [("failed", 20.0, 1)]),
    ],
)
def test_what_came_to_nothing(lines, rows):
    assert waste.read_rows(lines) == [waste.Row(*row) for row in rows]
