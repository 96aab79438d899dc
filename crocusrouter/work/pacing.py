"""Pacing: limits the speed of filling tasks beside tasks that serve users.

Filling tasks (see `model.Step.fills`) use the processor time that others leave.
They disturb serving tasks on the same worker by amounts that change within
seconds, which shows in the tail latency of the serving tasks. Filling tasks are
slowed at once when that latency comes near its limit, and sped up again in
steps.
"""

from typing import NamedTuple

from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import tracking

_MAX_PERCENT = 100
# Pressure is a tail latency as a share of its limit. A latency over its limit
# for four seconds counts as harm, and workers are polled once a second. Filling
# tasks therefore stop at the limit and run at half their pace near it.
_LIMIT_PRESSURE = 1.0
_HIGH_PRESSURE = 0.85
# Below this pressure there is room for more disturbance.
_LOW_PRESSURE = 0.6
_STEP_UP_PERCENT = 20
# Time after a change of pace during which reported latencies are ignored. A
# report covers the last half second, and a new pace takes a tenth of a second
# to have an effect, so an earlier report predates the change.
_PACE_DELAY_S = 0.9


class Pace(NamedTuple):
    """A new share of its speed for a run.

    Attributes:
        run: The run.
        percent: 0 to 100.
    """

    run: tracking.Run
    percent: int


def choose_paces(pool_state: pool_states.PoolState, now: float) -> list[Pace]:
    """Return the filling runs whose pace must change.

    Args:
        pool_state: State of the pool; not changed.
        now: Steady time in seconds.
    """
    paces = []
    for worker in pool_state.workers.values():
        filling_runs, pressure = _read_worker(pool_state, worker)
        for run in filling_runs:
            if now < run.paced_at + _PACE_DELAY_S:
                continue
            percent = choose_percent(run.pace, pressure)
            if percent != run.pace:
                paces.append(Pace(run, percent))
    return paces


def _read_worker(
    pool_state: pool_states.PoolState, worker: tracking.Worker
) -> tuple[list[tracking.Run], float]:
    """Return a worker's filling runs and the highest pressure on it."""
    filling_runs = []
    pressure = 0.0
    for run in worker.runs.values():
        tracked_step = run.tracked_step
        if tracked_step is None or run.phase is not tracking.Phase.RUNNING:
            continue
        if tracked_step.step.fills:
            filling_runs.append(run)
        elif tracked_step.step.target_ms:
            pressure = max(pressure, run.load / tracked_step.step.target_ms)
    return filling_runs, pressure


def choose_percent(pace: int, pressure: float) -> int:
    """Return the next pace of a filling run.

    Args:
        pace: Its present pace in percent.
        pressure: Highest tail latency beside it, as a share of its limit.

    >>> choose_percent(100, 1.2), choose_percent(100, 0.9)
    (0, 50)
    >>> choose_percent(40, 0.7), choose_percent(40, 0.2)
    (40, 60)
    """
    if pressure >= _LIMIT_PRESSURE:
        return 0
    if pressure >= _HIGH_PRESSURE:
        return pace // 2
    if pressure < _LOW_PRESSURE:
        return min(_MAX_PERCENT, pace + _STEP_UP_PERCENT)
    return pace
