"""Limits of preemption: which runs may be stopped for which jobs.

Counts how often each task was stopped for other jobs, and decides from that
count and from a run's measured progress whether the run may be stopped.
"""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import functools
from typing import NamedTuple

from crocusrouter.work import model
from crocusrouter.work import tracking

# Below this percentage the rounding of reported progress is too large for an
# estimate of a run's end.
_MIN_PERCENT = 5.0
# A run whose estimated end is past by more than this is not waited for any
# longer. A worker reports an end immediately, so this covers the delivery of
# the report and the rounding of the progress.
_OVERDUE_S = 0.25
# Guaranteed work must have begun this long after its acceptance.
_GUARANTEED_START_S = 2.7


class ClaimKind(NamedTuple):
    """What a claim for room may do; equal kinds have equal victims.

    Attributes:
        priority: Only runs of a higher priority number may be stopped.
        is_guaranteed: Whether the claim is covered by its customer's guarantee.
        may_wait: Whether it waits for runs that end by themselves.
    """

    priority: int
    is_guaranteed: bool
    may_wait: bool


@dataclasses.dataclass(frozen=True)
class Claim:
    """A job's claim for the room of other runs; the reason of their stops.

    Attributes:
        job: Id of the job.
        kind: What the claim may do.
    """

    job: str
    kind: ClaimKind

    def __str__(self) -> str:
        """Return the reason as it stands in logs.

        >>> str(Claim("0a", ClaimKind(0, True, True)))
        'its room is guaranteed to job 0a'
        """
        claim = (
            "guaranteed to" if self.kind.is_guaranteed else "wanted first by"
        )
        return f"its room is {claim} job {self.job}"

    def allows_loss(self, cost: float, max_cost: float) -> bool:
        """Tell whether the claim may destroy work.

        Args:
            cost: Core-seconds of lost work.
            max_cost: Limit for a claim that is not guaranteed.
        """
        return self.kind.is_guaranteed or cost <= max_cost


# Why a run is stopped. Only stops for a claim count towards the bound.
Reason = str | Claim


def make_claim(
    job: model.Job,
    tracked_step: tracking.TrackedStep,
    now: float,
    expected_stop_s: float,
    *,
    is_guaranteed: bool,
    waits_for_ends: bool,
) -> Claim:
    """Return the claim of a job whose tasks find no room.

    Args:
        job: The job.
        tracked_step: Its step whose tasks are waiting.
        now: Steady time in seconds.
        expected_stop_s: Seconds that a stop takes.
        is_guaranteed: Whether the claim is covered by its customer's guarantee.
        waits_for_ends: Whether claims wait for such runs at all.
    """
    may_wait = waits_for_ends and (
        not is_guaranteed
        or has_time_to_wait(tracked_step, now, expected_stop_s)
    )
    return Claim(job.id, ClaimKind(job.priority, is_guaranteed, may_wait))


def has_time_to_wait(
    tracked_step: tracking.TrackedStep, now: float, expected_stop_s: float
) -> bool:
    """Tell whether guaranteed work may wait for runs to end by themselves.

    It may as long as there is time to stop them afterwards. Each report of a
    worker that has become slow moves the expected end further.

    Args:
        tracked_step: The step whose tasks are waiting.
        now: Steady time in seconds.
        expected_stop_s: Seconds that a stop takes.
    """
    since = tracked_step.waiting_since
    waited_s = now - since if since is not None else 0.0
    return waited_s + expected_stop_s + _OVERDUE_S <= _GUARANTEED_START_S


def is_protected(kind: ClaimKind, stops: int, max_stops: int) -> bool:
    """Tell whether a run may not be stopped since its task was too often.

    Args:
        kind: What the claim may do.
        stops: How often the task was stopped for other jobs.
        max_stops: Number of such stops after which only a guaranteed claim may
            stop it again.
    """
    return stops >= max_stops and not kind.is_guaranteed


class EndingRuns:
    """Runs that end by themselves before they could be stopped; for one plan.

    A run whose estimated end is past is not among them: its progress has come
    to a halt since it was measured.
    """

    def __init__(
        self,
        now: float,
        expected_stop_s: float,
        estimate_remaining_s: Callable[
            [tracking.Run, tracking.TrackedStep, float], float
        ],
    ) -> None:
        """Prepare for one plan.

        Args:
            now: Steady time in seconds.
            expected_stop_s: Seconds that a stop takes.
            estimate_remaining_s: Estimates the seconds until a run ends, from
                its step and the time.
        """
        self._now = now
        self._expected_stop_s = expected_stop_s
        self._estimate_remaining_s = estimate_remaining_s
        self._known: dict[model.StepKey | model.TaskKey, bool] = {}

    def includes(self, run: tracking.Run) -> bool:
        """Tell whether a run ends in time; of a gang, with all members."""
        tracked_step = run.tracked_step
        if tracked_step is None or tracked_step.step.lasting:
            return False
        is_gang = tracked_step.step.gang
        key = tracked_step.key if is_gang else run.key
        if key not in self._known:
            members = tracked_step.runs_by_index.values() if is_gang else (run,)
            self._known[key] = self._end_in_time(members, tracked_step)
        return self._known[key]

    def will_leave(
        self, worker: tracking.Worker, room: model.Room, *, may_wait: bool
    ) -> bool:
        """Tell whether a worker will have room once its ending runs are gone.

        Args:
            worker: The worker.
            room: Needed room.
            may_wait: Whether runs that end by themselves count.
        """
        free = worker.free
        if free.holds(room):
            return True
        for run in worker.runs.values():
            if run.tracked_step is not None and (
                run.phase is tracking.Phase.STOPPING
                or (may_wait and self.includes(run))
            ):
                free = free.plus(run.tracked_step.step.charge)
        return free.holds(room)

    def _end_in_time(
        self,
        runs: Collection[tracking.Run],
        tracked_step: tracking.TrackedStep,
    ) -> bool:
        if not all(_has_measured_progress(run, tracked_step) for run in runs):
            return False
        last_end = 0.0
        for run in runs:
            # From its last progress, so that the age of its report does not
            # count as slowness.
            end = run.progressed_at + self._estimate_remaining_s(
                run, tracked_step, run.progressed_at
            )
            if end > self._now + self._expected_stop_s:
                return False
            last_end = max(last_end, end)
        return self._now <= last_end + _OVERDUE_S


def _has_measured_progress(
    run: tracking.Run, tracked_step: tracking.TrackedStep
) -> bool:
    """Tell whether a run's end can be estimated from its progress.

    The progress of a run that has resumed from a checkpoint, or whose first
    report this owner has just read, includes work of unknown duration.
    """
    return (
        run.phase is tracking.Phase.RUNNING
        and run.percent >= _MIN_PERCENT
        and run.confirmed_at is not None
        and run.progressed_at > run.confirmed_at
        and not tracked_step.find_checkpoint(run.key.position)
    )


def count_stops(run: tracking.Run) -> int:
    """Return how often a run's task was stopped for other jobs before.

    A stop that was ordered for the run itself is not included: if the run still
    exists under a new owner, the order was not carried out. Of a gang whose
    members have different counts, the highest counts.
    """
    tracked_step = run.tracked_step
    if tracked_step is None:
        return 0
    stopped_runs = tracked_step.progress.stopped_runs
    if not stopped_runs:
        return 0
    indices = stopped_runs if tracked_step.step.gang else (run.key.position,)
    return max(
        len(stopped_runs.get(index, set()) - {run.number}) for index in indices
    )


def mark_stopping(
    run: tracking.Run,
    worker: tracking.Worker | None,
    reason: Reason,
    now: float,
) -> dict[str, object]:
    """Record on a run that a stop is ordered, and count the stop.

    Args:
        run: The run.
        worker: Its worker; None if it is unknown.
        reason: Why it is stopped.
        now: Steady time in seconds.

    Returns:
        Fields of the log line.
    """
    run.phase = tracking.Phase.STOPPING
    run.stop_reason = str(reason)
    run.stop_ordered_at = now
    _record_stop(reason, run)
    leaves_at = worker.leaves_at if worker is not None else None
    return {
        "task": run.key,
        "run": run.number,
        "worker": run.worker_id,
        "why": run.stop_reason,
        "stops": count_stops(run),
        "percent": run.percent,
        "ran_s": round(now - run.ordered_at, 3),
        "left_s": round(leaves_at - now, 3) if leaves_at is not None else None,
    }


@functools.singledispatch
def _record_stop(reason: object, run: tracking.Run) -> None:
    """Count the stop of a run if its reason counts towards the bound."""
    raise TypeError(f"not a reason for a stop: {reason!r}")


@_record_stop.register
def _(reason: str, run: tracking.Run) -> None:
    """Stops for the run's own sake do not count."""


@_record_stop.register
def _(reason: Claim, run: tracking.Run) -> None:
    tracked_step = run.tracked_step
    if tracked_step is None:
        return
    index = 0 if tracked_step.step.gang else run.key.position
    stopped_runs = tracked_step.progress.stopped_runs
    stopped_runs.setdefault(index, set()).add(run.number)
