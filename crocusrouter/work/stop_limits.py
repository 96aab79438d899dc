"""Limits of preemption: how often a task may be stopped for other jobs."""

import dataclasses
from typing import NamedTuple

from crocusrouter.work import tracking


class ClaimKind(NamedTuple):
    """What a claim for room may do; equal kinds have equal victims.

    Attributes:
        priority: Only runs of a higher priority number may be stopped.
        is_guaranteed: Whether the claim is covered by its customer's guarantee.
    """

    priority: int
    is_guaranteed: bool


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

        >>> str(Claim("0a", ClaimKind(0, True)))
        'its room is guaranteed to job 0a'
        """
        claim = (
            "guaranteed to" if self.kind.is_guaranteed else "wanted first by"
        )
        return f"its room is {claim} job {self.job}"


# Why a run is stopped. Only stops for a claim count towards the bound.
Reason = str | Claim


def is_protected(run: tracking.Run, kind: ClaimKind, max_stops: int) -> bool:
    """Tell whether a claim may not stop a run, since its task was too often.

    Args:
        run: The run.
        kind: What the claim may do.
        max_stops: Number of stops for other jobs after which only a guaranteed
            claim may stop the task again.
    """
    return not kind.is_guaranteed and count_stops(run) >= max_stops


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


def _record_stop(reason: Reason, run: tracking.Run) -> None:
    """Count the stop of a run if its reason counts towards the bound."""
    tracked_step = run.tracked_step
    if not isinstance(reason, Claim) or tracked_step is None:
        return
    index = 0 if tracked_step.step.gang else run.key.position
    stopped_runs = tracked_step.progress.stopped_runs
    stopped_runs.setdefault(index, set()).add(run.number)


def withdraw_stop(run: tracking.Run) -> None:
    """Take back the count of a stop whose run has ended otherwise."""
    if run.tracked_step is not None:
        for numbers in run.tracked_step.progress.stopped_runs.values():
            numbers.discard(run.number)
