"""Progress of runs and gangs: remaining time, and since when it has stalled.

The tasks of a gang make progress only while all of them run. A member that has
finished its own share stays at 100 percent, and keeps its room, until the
slowest member has finished.

A gang with a slow member that makes progress is not stopped, whether that
member's own task is long or its worker is slow; nothing here tells the two
apart. If the task is long, a restart elsewhere repeats the same work. The room
of the other members can't be used meanwhile, since they hold it.
"""

import dataclasses

from crocusrouter.work import model
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import run_times
from crocusrouter.work import tracking

# Tasks report whole percents; a rate from fewer of them is too rough.
_MIN_MEASURED_PERCENT = 5
# Least estimate for a run whose rate is unknown.
_MIN_REMAINING_S = 0.5


def record_progress(
    run: tracking.Run, reported_percent: float, now: float
) -> None:
    """Update a run's progress from a report of its worker.

    Args:
        run: The run.
        reported_percent: Progress as the task reports it. It is clamped to 0
            to 100; a value that is not a number counts as 0.
        now: Steady time in seconds.
    """
    # `max` returns its first argument if the second is not a number.
    percent = min(100.0, max(0.0, reported_percent))
    if percent == run.percent:
        return
    has_fallen = percent < run.percent
    # A run that resumes reports 0 until its checkpoint is restored.
    is_restored = run.percent == 0 and _has_resumed(run)
    run.percent = percent
    run.progressed_at = now
    if has_fallen or is_restored:
        restart_measurement(run, now)


def restart_measurement(run: tracking.Run, now: float) -> None:
    """Measure a run's rate of progress from now on only."""
    run.measured_since = now
    run.measured_from = run.percent


def _has_resumed(run: tracking.Run) -> bool:
    """Tell whether a run began with a checkpoint.

    The checkpoint of its step changes only between two runs of a task; that of
    the run changes while it works.
    """
    return run.tracked_step is not None and bool(
        run.tracked_step.find_checkpoint(run.key.position)
    )


def _list_members(
    run: tracking.Run, tracked_step: tracking.TrackedStep
) -> list[tracking.Run]:
    """Return the runs of a run's gang, or only the run itself."""
    if not tracked_step.step.gang:
        return [run]
    return list(tracked_step.runs_by_index.values()) or [run]


def _find_begin(members: list[tracking.Run]) -> float:
    return max(member.confirmed_at or member.ordered_at for member in members)


def estimate_remaining_s(
    run: tracking.Run, tracked_step: tracking.TrackedStep, now: float
) -> float:
    """Return the estimated seconds until a run ends.

    A member of a gang ends with the slowest member. `RemainingTimes` computes
    that only once for all members.
    """
    members = _list_members(run, tracked_step)
    began_at = _find_begin(members)
    return max(
        _estimate_own_remaining_s(member, tracked_step, began_at, now)
        for member in members
    )


def _estimate_own_remaining_s(
    run: tracking.Run,
    tracked_step: tracking.TrackedStep,
    began_at: float,
    now: float,
) -> float:
    """Return the estimated seconds of work that a run has left itself."""
    if run.percent >= 100:
        return 0.0
    measured_s = now - max(began_at, run.measured_since)
    gained_percent = run.percent - run.measured_from
    if gained_percent >= _MIN_MEASURED_PERCENT:
        return measured_s * (100 - run.percent) / gained_percent
    expected_s = run_times.expect_run_s(run, tracked_step)
    rest_s = expected_s * (100 - run.measured_from) / 100
    return max(_MIN_REMAINING_S, rest_s - measured_s)


class RemainingTimes:
    """Estimates of remaining times; those of gangs are computed once."""

    def __init__(self, now: float) -> None:
        """Prepare for one plan.

        Args:
            now: Steady time in seconds.
        """
        self._now = now
        self._gang_times: dict[model.StepKey, float] = {}

    def find(
        self, run: tracking.Run, tracked_step: tracking.TrackedStep
    ) -> float:
        """Return the estimated seconds until a run ends."""
        if not tracked_step.step.gang:
            return estimate_remaining_s(run, tracked_step, self._now)
        remaining_s = self._gang_times.get(tracked_step.key)
        if remaining_s is None:
            remaining_s = estimate_remaining_s(run, tracked_step, self._now)
            self._gang_times[tracked_step.key] = remaining_s
        return remaining_s


def measure_duration_s(run: tracking.Run, began_at: float) -> float | None:
    """Return the seconds that a whole task takes at the rate of its run.

    Args:
        run: The run; only its time up to its last progress counts.
        began_at: Steady time at which its work began.

    Returns:
        The duration; None if the run has shown too little progress.
    """
    gained_percent = run.percent - run.measured_from
    if gained_percent < _MIN_MEASURED_PERCENT:
        return None
    measured_s = run.progressed_at - max(began_at, run.measured_since)
    return 100 * measured_s / gained_percent


def is_finished_member(
    run: tracking.Run, tracked_step: tracking.TrackedStep
) -> bool:
    """Tell whether a run is a member of a gang and has done its own share."""
    return tracked_step.step.gang and run.percent >= 100


@dataclasses.dataclass(frozen=True)
class GangTimes:
    """Times of a gang, or of a single run, that a stall is judged by.

    Attributes:
        began_at: Steady time at which the work began; for a gang that of its
            last member.
        last_progress_at: Steady time of the last progress of any member.
        restart_s: Estimated seconds that a new start works. A gang works at
            least as long as its slowest member as measured, since that member
            may be slow because of its task.
        is_unfinished: Whether a member has not done its share or has not been
            reported after a takeover. A member whose end has been reported is
            not among the runs any more; the others end with it.
    """

    began_at: float
    last_progress_at: float
    restart_s: float
    is_unfinished: bool


class GangMeasures:
    """The times of all gangs during one decision, each computed once."""

    def __init__(self) -> None:
        self._times: dict[model.StepKey, GangTimes] = {}

    def find(
        self, run: tracking.Run, tracked_step: tracking.TrackedStep
    ) -> GangTimes:
        """Return the times of a run's gang, or of the run if it is single."""
        if not tracked_step.step.gang:
            return _measure_gang(run, tracked_step)
        times = self._times.get(tracked_step.key)
        if times is None:
            times = _measure_gang(run, tracked_step)
            self._times[tracked_step.key] = times
        return times


def _measure_gang(
    run: tracking.Run, tracked_step: tracking.TrackedStep
) -> GangTimes:
    step = tracked_step.step
    members = _list_members(run, tracked_step)
    began_at = _find_begin(members)
    restart_s = step.expected_s
    if step.gang:
        durations = (measure_duration_s(member, began_at) for member in members)
        restart_s = max(restart_s, *(duration or 0.0 for duration in durations))
    return GangTimes(
        began_at,
        max(member.progressed_at for member in members),
        restart_s,
        step.gang
        and (
            len(members) < step.count
            or any(member.percent < 100 for member in members)
        ),
    )


def check_gangs(pool_state: pool_states.PoolState, now: float) -> None:
    """Stop gangs of which a previous owner had started only a part."""
    for tracked_job in pool_state.live_jobs.values():
        for tracked_step in tracked_job.steps.values():
            if not tracked_step.step.gang or not tracked_step.waiting_indices:
                continue
            if len(tracked_step.waiting_indices) < tracked_step.step.count:
                pool_state.stop_step(
                    tracked_step, "members of its gang are missing", now
                )
