"""Other causes than a task for the crashes of the workers that run it.

A crash speaks against a task only if nothing else explains it. It has another
likely cause if

- a run of another job was there that is more suspicious: workers have crashed
  under it repeatedly, or it had just started while the task had worked for
  some seconds; or
- workers crash by themselves: about that time so many others crashed, each
  without such a run, that the task may have met the crash by chance.
"""

import collections
import enum

from crocusrouter.work import crash_records
from crocusrouter.work import model
from crocusrouter.work import pool_state as pool_states

# Crashes of other workers within this time of a crash show how often workers
# crash by themselves.
_NEARBY_S = 10.0
# Share of the pool's workers that must have crashed by themselves. A task then
# meets a crash within `tracking.TRIAL_S` of about one start in 33 by chance.
_MIN_CRASHED_SHARE = 0.15
# Probability that a worker crashed by itself, by the number of workers that
# have crashed at once under the starts of the most suspicious task there.
_OWN_CRASH_PROBABILITIES = (1.0, 0.5, 0.25)
# A task that has just started when its worker crashes, and whose step has met
# this many such crashes, is the cause rather than one that has worked there.
_MIN_REPEATED_CRASHES = 2
_MAX_KEPT_CRASHES = 256


class OtherCause(enum.StrEnum):
    """What else than a task explains the crash of its worker."""

    REPEATED_TASK = "repeated-task"  # that had just started
    TASK = "another-task"
    WORKERS = "workers"  # they crash by themselves


def note_worker_crash(
    pool_state: pool_states.PoolState, crash: crash_records.WorkerCrash
) -> None:
    """Add a crash to the latest ones.

    Args:
        pool_state: State of the pool.
        crash: The crash. If it was recorded before, when its worker's leases
            expired, only its certainty is updated.
    """
    crashes = pool_state.worker_crashes
    earlier_record = crashes.get(crash.worker_id)
    if earlier_record is not None:
        crash = crash_records.WorkerCrash(
            crash.worker_id,
            earlier_record.at,
            earlier_record.suspects or crash.suspects,
            earlier_record.is_certain or crash.is_certain,
        )
    crashes[crash.worker_id] = crash
    while len(crashes) > _MAX_KEPT_CRASHES:
        del crashes[next(iter(crashes))]


class CrashAnalysis:
    """What the latest crashes of a pool's workers say about their causes."""

    def __init__(self, pool_state: pool_states.PoolState) -> None:
        """Weigh the crashes.

        Args:
            pool_state: State of the pool; not changed. The analysis is valid
                until the next crash.
        """
        self._pool_state = pool_state
        self._crashes = list(pool_state.worker_crashes.values())
        self._early_counts = _count_early_crashes(pool_state)
        self._own_crash_probabilities = [
            self._estimate_own_crash(crash) for crash in self._crashes
        ]
        self._live_count = pool_state.count_live_workers()

    def find_other_causes(
        self, key: model.TaskKey
    ) -> dict[int, OtherCause | None]:
        """Return what else explains the crashes under a task.

        Args:
            key: The task.

        Returns:
            The likely cause by number of the run; None if there is no other
            than the task. Runs whose crashes are no longer known are left out.
        """
        causes: dict[int, OtherCause | None] = {}
        for crash in self._crashes:
            for suspect in crash.suspects:
                if suspect.key != key:
                    continue
                cause = self._find_worse_suspect(crash, suspect)
                if cause is None and self._is_one_of_many(crash, suspect):
                    cause = OtherCause.WORKERS
                causes[suspect.run] = cause
        return causes

    def find_last_crash_elsewhere(self, job: str) -> float | None:
        """Return when a worker last crashed for a reason other than a job.

        Args:
            job: Id of the job.

        Returns:
            Steady time in seconds; None if there was no such crash.
        """
        return max(
            (
                crash.at
                for crash, probability in self._list_weighed_crashes()
                if probability > 0 and not _is_suspected(crash, job)
            ),
            default=None,
        )

    def _list_weighed_crashes(
        self,
    ) -> list[tuple[crash_records.WorkerCrash, float]]:
        """Return the certain crashes with how likely they had no task's cause.

        The probability is that a worker crashed by itself.
        """
        return [
            (crash, probability)
            for crash, probability in zip(
                self._crashes, self._own_crash_probabilities, strict=True
            )
            if crash.is_certain
        ]

    def _find_worse_suspect(
        self, crash: crash_records.WorkerCrash, suspect: crash_records.Suspect
    ) -> OtherCause | None:
        """Return how another job's task explains a crash better, if any does.

        Args:
            crash: The crash.
            suspect: One of its suspects.
        """
        own_count = self._early_counts[model.get_step_key(suspect.key)]
        cause = None
        for other in crash.suspects:
            if not other.early or other.key.job == suspect.key.job:
                continue
            other_count = self._early_counts[model.get_step_key(other.key)]
            if not suspect.early and other_count >= _MIN_REPEATED_CRASHES:
                return OtherCause.REPEATED_TASK
            if (
                not suspect.early
                or other_count > own_count
                or _is_given_up(self._pool_state, other.key.job)
            ):
                cause = OtherCause.TASK
        return cause

    def _is_one_of_many(
        self, crash: crash_records.WorkerCrash, suspect: crash_records.Suspect
    ) -> bool:
        """Tell whether many others crashed by themselves at about the time."""
        count = sum(
            probability
            for other, probability in self._list_weighed_crashes()
            if abs(other.at - crash.at) <= _NEARBY_S
            and not _is_suspected(other, suspect.key.job)
        )
        return count > 0 and count >= _MIN_CRASHED_SHARE * self._live_count

    def _estimate_own_crash(self, crash: crash_records.WorkerCrash) -> float:
        """Return the probability that a worker crashed by itself.

        Tasks that crash workers must not excuse each other, so a crash hardly
        counts as long as one of its suspects may be such a task.
        """
        early_count = max(
            (
                self._early_counts[model.get_step_key(suspect.key)]
                for suspect in crash.suspects
                if suspect.early
            ),
            default=0,
        )
        if early_count >= len(_OWN_CRASH_PROBABILITIES):
            return 0.0
        return _OWN_CRASH_PROBABILITIES[early_count]


def _is_given_up(pool_state: pool_states.PoolState, job: str) -> bool:
    tracked_job = pool_state.jobs.get(job)
    return tracked_job is not None and tracked_job.given_up


def _is_suspected(crash: crash_records.WorkerCrash, job: str) -> bool:
    return any(suspect.key.job == job for suspect in crash.suspects)


def _count_early_crashes(
    pool_state: pool_states.PoolState,
) -> collections.Counter[model.StepKey]:
    """Return how many workers crashed right after starts of each step's tasks.

    Crashes that were withdrawn, or that came before a task of the step was seen
    to work, are not counted.
    """
    counts: collections.Counter[model.StepKey] = collections.Counter()
    for crash in pool_state.worker_crashes.values():
        counts.update(
            {
                model.get_step_key(suspect.key)
                for suspect in crash.suspects
                if suspect.early and _is_recorded_early(pool_state, suspect)
            }
        )
    return counts


def _is_recorded_early(
    pool_state: pool_states.PoolState, suspect: crash_records.Suspect
) -> bool:
    tracked_step = pool_state.find_tracked_step(suspect.key)
    if tracked_step is None:
        return False
    return any(
        crash.run == suspect.run and crash.early
        for crash in tracked_step.progress.crashes.get(suspect.key.position, ())
    )
