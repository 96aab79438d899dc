"""How fast tasks that fill may work beside tasks that serve users.

Tasks that fill take the processor time that others leave, and disturb tasks
that serve on the same worker by amounts that change within seconds. The tail
of a serving task's answers tells; what fills is slowed at once when the tail
comes near its bound, and let go again in steps.
"""

from typing import NamedTuple

from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import runs

_FULL = 100
# A tail over its bound for four seconds counts as harm, and looks come each
# second: at the bound what fills stops, near it works at half its share.
_AT_BOUND = 1.0
_NEAR_BOUND = 0.85
# Below this share of the bound there is room for more disturbance.
_CALM = 0.6
_STEP_UP = 20
# The worker's figure is for its last half second, and a pace takes a tenth to
# act: sooner than this, the figure is from before the last change.
_SETTLE_S = 0.9


class Pace(NamedTuple):
    """A share of its speed that a run is to have.

    Attributes:
        run: Which run.
        percent: 0 to 100.
    """

    run: runs.Run
    percent: int


def choose_paces(pool_state: pool_states.Book, now: float) -> list[Pace]:
    """Return the runs that fill whose pace is to change.

    Args:
        pool_state: State of the pool; not changed.
        now: Steady time in seconds.
    """
    found = []
    for worker in pool_state.workers.values():
        fillers, pressure = _read_worker(pool_state, worker)
        for run in fillers:
            if now < run.paced_at + _SETTLE_S:
                continue
            percent = choose_percent(run.pace, pressure)
            if percent != run.pace:
                found.append(Pace(run, percent))
    return found


def _read_worker(
    pool_state: pool_states.Book, worker: runs.Worker
) -> tuple[list[runs.Run], float]:
    """Return the runs that fill, and the worst tail against its bound."""
    fillers = []
    pressure = 0.0
    for run in worker.runs.values():
        work = run.work
        if work is None or run.phase is not runs.Phase.RUNNING:
            continue
        if work.step.fills:
            fillers.append(run)
        elif work.step.target_ms:
            pressure = max(pressure, run.load / work.step.target_ms)
    return fillers, pressure


def choose_percent(pace: int, pressure: float) -> int:
    """Return the next pace of a run that fills.

    Args:
        pace: Its present pace in percent.
        pressure: Worst tail beside it, as a share of its bound.

    >>> choose_percent(100, 1.2), choose_percent(100, 0.9)
    (0, 50)
    >>> choose_percent(40, 0.7), choose_percent(40, 0.2)
    (40, 60)
    """
    if pressure >= _AT_BOUND:
        return 0
    if pressure >= _NEAR_BOUND:
        return pace // 2
    if pressure < _CALM:
        return min(_FULL, pace + _STEP_UP)
    return pace
