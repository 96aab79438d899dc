import orjson
import pytest

from bench import waste

_OTHER = "00000000000000bb"


def _build_line(at, kind, **fields):
    line = {"timestamp": at, "message_type": kind} | fields
    return b"  3.1 e1 " + orjson.dumps(line)


def _start(at, tasks=1, cores=10.0, run=7, *, checkpoints=False, gang=True):
    spots = [[index, f"w{index}"] for index in range(tasks)]
    return _build_line(
        at,
        "step:start",
        step="aa.0.0",
        run=run,
        gang=gang,
        spots=spots,
        cores=cores,
        checkpoints=checkpoints,
    )


def _stop(at, why, run=7):
    return _build_line(at, "run:stop", task="aa.0.0.0", run=run, why=why)


def _end(at, how, index=0, run=7):
    return _build_line(
        at, "run:ended", task=f"aa.0.0.{index}", run=run, how=how
    )


def _lapse(at, runs=1):
    return _build_line(at, "worker:lapsed", worker="w1", runs=runs)


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
                _start(4.0, run=8),
                _end(5.0, "failed", run=8),
            ],
            [
                ("its room is wanted first by job JOB", 15.0, 1),
                ("failed", 10.0, 1),
            ],
        ),
        # A member that ended with its gang is logged before the failed one.
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
            [_start(1.0, 2), _lapse(3.0)],
            [("its worker was lost", 20.0, 1)],
        ),
        # A new owner has already noticed that nothing runs on the worker.
        ([_start(1.0, 2), _lapse(3.0, runs=0)], []),
        # The next start of the task is logged before the end of its last run.
        (
            [
                _start(1.0),
                _stop(2.0, "cancelled"),
                _start(3.0, run=8),
                _end(3.0, "stopped"),
            ],
            [("cancelled", 20.0, 1)],
        ),
        (
            [
                _start(1.0, 2, gang=False),
                _end(2.0, "failed", 1, run=9),
                _end(3.0, "done", 0, run=8),
            ],
            [("failed", 10.0, 1)],
        ),
        # Log files are read one after another, so lines may be out of order.
        ([_end(3.0, "failed"), _start(1.0)], [("failed", 20.0, 1)]),
    ],
)
def test_wasted_work_by_cause(lines, rows):
    assert waste.read_rows(lines) == [waste.Row(*row) for row in rows]
