"""Expected run times of steps in a pool with fast and slow workers.

A declared run time holds for a worker of speed 1. Speeds count only while the
pool's workers form two groups: otherwise all declared times are used as they
are.
"""

from collections.abc import Mapping

from crocusrouter.work import model
from crocusrouter.work import speeds
from crocusrouter.work import tracking


def find_speed(pool_speeds: speeds.WorkerSpeeds, worker_id: str) -> float:
    """Return the speed that counts for a worker; 1 if it has no estimate.

    Args:
        pool_speeds: Estimates of the pool's workers.
        worker_id: Id of the incarnation.
    """
    if not pool_speeds.find_groups().is_split:
        return 1.0
    return pool_speeds.find_speed(worker_id) or 1.0


def expect_run_s(
    run: tracking.Run, tracked_step: tracking.TrackedStep
) -> float:
    """Return the expected duration of a run in seconds on its worker."""
    return tracked_step.step.expected_s / run.speed


class StepSpeeds:
    """Speeds at which waiting steps can run, during one plan."""

    def __init__(
        self,
        groups: speeds.SpeedGroups,
        workers: Mapping[str, tracking.Worker],
    ) -> None:
        """Prepare for one plan.

        Args:
            groups: Fast and slow workers of the pool.
            workers: The pool's workers by incarnation. Groups may name workers
                that are gone.
        """
        self._groups = groups
        self._fast_workers = [
            workers[worker_id]
            for worker_id in groups.fast
            if worker_id in workers and workers[worker_id].may_take_tasks_later
        ]
        self._can_use_fast: dict[tuple[model.Room, str], bool] = {}

    def find_best(self, step: model.Step) -> float:
        """Return the speed of the fastest group that a step may use."""
        if not self._groups.is_split:
            return 1.0
        key = step.charge, step.label
        if key not in self._can_use_fast:
            self._can_use_fast[key] = any(
                worker.entry.room.holds(step.charge)
                and (not step.label or step.label in worker.entry.labels)
                for worker in self._fast_workers
            )
        if self._can_use_fast[key]:
            return self._groups.fast_speed
        return self._groups.slow_speed

    def needs_fast(
        self, job: model.Job, position: int, objective_at: float, wall: float
    ) -> bool:
        """Tell whether a step should start on fast workers first.

        It should if its job is urgent, or if by its declared time it would miss
        its objective on slow workers but not on fast ones.

        Args:
            job: The step's job.
            position: Position of the step in its job.
            objective_at: Unix time by which the job should end.
            wall: Unix time in seconds.
        """
        if not self._groups.is_split:
            return False
        if job.priority == 0:
            return True
        if job.steps[position].lasting:
            return False
        path_s = job.critical_paths_s[position]
        ends_if_slow = wall + path_s / self._groups.slow_speed
        ends_if_fast = wall + path_s / self._groups.fast_speed
        return ends_if_slow > objective_at >= ends_if_fast
