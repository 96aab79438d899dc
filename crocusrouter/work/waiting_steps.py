"""Steps with waiting tasks, in the order in which they are scheduled.

Steps are ordered by priority, then by the latest time at which they can start
and still meet their objective.
"""

import dataclasses

from crocusrouter.work import model
from crocusrouter.work import moves
from crocusrouter.work import planner_policy as policies
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import run_times
from crocusrouter.work import speeds
from crocusrouter.work import start_delays
from crocusrouter.work import tracking

_DEFAULT = policies.PlannerPolicy()


@dataclasses.dataclass(frozen=True)
class WaitingStep:
    """A step with waiting tasks, and the properties that decide its order.

    Attributes:
        tracked_job: The step's job.
        tracked_step: The step.
        latest_start: Unix time by which it must start to meet its objective.
        late: Whether `latest_start` is past.
        hopeless: Whether the job's result has no value any more.
        needs_fast: Whether it should start on the fast group of workers first.
    """

    tracked_job: tracking.TrackedJob
    tracked_step: tracking.TrackedStep
    latest_start: float
    late: bool
    hopeless: bool
    needs_fast: bool = False

    @property
    def rank(self) -> tuple[bool, int, bool, float]:
        """Sort key; steps of lower rank go first.

        Steps that can no longer meet their objective go behind those that can:
        under load, starting the latest step first would make all of them late.
        """
        return (
            self.hopeless,
            self.tracked_job.job.priority,
            self.late,
            self.latest_start,
        )


def list_waiting_steps(
    pool_state: pool_states.PoolState,
    now: float,
    wall: float,
    policy: policies.PlannerPolicy = _DEFAULT,
    groups: speeds.SpeedGroups | None = None,
) -> list[WaitingStep]:
    """Return the steps with waiting tasks, in scheduling order.

    Args:
        pool_state: State of the pool.
        now: Steady time in seconds.
        wall: Unix time in seconds.
        policy: Weights and limits of the planner.
        groups: Fast and slow workers, if the caller has found them already.
    """
    waiting_steps = []
    step_speeds = run_times.StepSpeeds(
        groups or pool_state.speeds.find_groups(), pool_state.workers
    )
    blocked_jobs = pool_state.list_blocked_jobs()
    for tracked_job in pool_state.live_jobs.values():
        if tracked_job.is_final or find_job_block(tracked_job, blocked_jobs):
            continue
        for tracked_step in tracked_job.steps.values():
            if (
                not tracked_step.waiting_indices
                or tracked_step.not_before > now
                or _has_gang_members(tracked_step)
            ):
                continue
            if pool_state.is_ready(tracked_job, tracked_step):
                waiting_steps.append(
                    _build_waiting_step(
                        tracked_job, tracked_step, wall, policy, step_speeds
                    )
                )
    return sorted(waiting_steps, key=lambda waiting_step: waiting_step.rank)


def list_blocked_steps(
    pool_state: pool_states.PoolState,
) -> dict[model.StepKey, start_delays.Cause]:
    """Return the ready steps that must not start yet, whatever room there is.

    Steps that pause shortly after a failure are not included.
    """
    causes = {}
    blocked_jobs = pool_state.list_blocked_jobs()
    for tracked_job in pool_state.live_jobs.values():
        if tracked_job.is_final or not tracked_job.is_home:
            continue
        job_cause = find_job_block(tracked_job, blocked_jobs)
        for key, tracked_step in tracked_job.steps.items():
            cause = job_cause
            if cause is None and _has_gang_members(tracked_step):
                cause = start_delays.Cause.GANG_MEMBERS
            if (
                cause is not None
                and tracked_step.waiting_indices
                and pool_state.is_ready(tracked_job, tracked_step)
            ):
                causes[key] = cause
    return causes


def find_job_block(
    tracked_job: tracking.TrackedJob, blocked_jobs: frozenset[str]
) -> start_delays.Cause | None:
    """Return why no task of a job may start; None if they may.

    Args:
        tracked_job: The job.
        blocked_jobs: The result of `PoolState.list_blocked_jobs`.
    """
    if moves.is_leaving(tracked_job):
        return start_delays.Cause.MOVE
    if tracked_job.job.id in blocked_jobs:
        return start_delays.Cause.UNREPORTED_WORKER
    if tracked_job.has_unsaved_crash:
        return start_delays.Cause.UNSAVED_CRASH
    return None


def _has_gang_members(tracked_step: tracking.TrackedStep) -> bool:
    """Tell whether members of a gang's last start are not over yet."""
    return (
        tracked_step.step.gang
        and 0 < len(tracked_step.waiting_indices) < tracked_step.step.count
    )


def _build_waiting_step(
    tracked_job: tracking.TrackedJob,
    tracked_step: tracking.TrackedStep,
    wall: float,
    policy: policies.PlannerPolicy,
    step_speeds: run_times.StepSpeeds,
) -> WaitingStep:
    job = tracked_job.job
    due_at = job.find_due(tracked_step.key.occurrence)
    objective_s = job.objective_s
    objective_at = due_at + objective_s
    position = tracked_step.key.step
    speed = step_speeds.find_best(tracked_step.step)
    remaining_s = job.critical_paths_s[position] / speed
    hopeless = (
        wall > due_at + policy.late_factor * objective_s
        and not tracked_step.step.lasting
    )
    latest_start = objective_at - remaining_s
    late = wall > latest_start
    return WaitingStep(
        tracked_job,
        tracked_step,
        latest_start,
        late,
        hopeless,
        step_speeds.needs_fast(job, position, objective_at, wall),
    )
