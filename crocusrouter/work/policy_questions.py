"""Choice of the next question to the policy service.

The policy of an advised queue allows only some workers to run a step, and only
the policy service knows which. It answers one question at a time, takes longer
the more workers a question names, and issues tickets that are valid for
seconds. Whether a worker may run a step does not change, so the service is not
asked again about a worker that it has rejected.

A step that can't start although it has tickets needs new ones every few
seconds. Some of these could take up the service, so the questions of all other
steps take turns with such repeated ones.
"""

import dataclasses

from crocusrouter.work import model
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import tracking
from crocusrouter.work import waiting_steps

# Maximum number of workers in one question. The service needs time for each of
# them, and a job's objective leaves time for a question about some thirty.
_MAX_WORKERS_PER_QUESTION = 30
# Workers in a question for each worker that is needed, since the policy rejects
# some of them.
_ASKED_PER_NEEDED_WORKER = 3


@dataclasses.dataclass(frozen=True)
class PolicyQuestion:
    """The next question to the policy service.

    Attributes:
        step: The step.
        workers: Workers that may run it, those with free room first.
        is_repeated: Whether there were earlier questions for the step.
    """

    step: model.StepKey
    workers: tuple[str, ...]
    is_repeated: bool = False


def choose_question(
    pool_state: pool_states.PoolState,
    now: float,
    wall: float,
    *,
    takes_turns: bool = False,
) -> PolicyQuestion | None:
    """Return the question that lets the first step in the order start.

    Steps are considered in the planner's order. A step needs no question while
    it has tickets for as many workers as its waiting tasks can use.

    Args:
        pool_state: State of the pool; not changed.
        now: Steady time in seconds.
        wall: Unix time in seconds.
        takes_turns: Whether a step that was not asked about yet, or has waited
            longest for its few workers, goes first instead.
    """
    advised_steps = [
        waiting_step
        for waiting_step in waiting_steps.list_waiting_steps(
            pool_state, now, wall
        )
        if waiting_step.tracked_job.job.advised
    ]
    if takes_turns:
        advised_steps.sort(
            key=lambda waiting_step: _rank_turn(waiting_step.tracked_step, now)
        )
    for waiting_step in advised_steps:
        worker_ids = _choose_workers(pool_state, waiting_step, now)
        if worker_ids:
            return PolicyQuestion(
                waiting_step.tracked_step.key,
                worker_ids,
                waiting_step.tracked_step.permits.asked_at is not None,
            )
    return None


def _rank_turn(
    tracked_step: tracking.TrackedStep, now: float
) -> tuple[bool, float]:
    """Return the sort key of a step where steps take turns.

    The more tasks wait, the more workers a question names, and the longer it
    keeps other steps waiting.
    """
    task_count = len(tracked_step.waiting_indices)
    asked_at = tracked_step.permits.asked_at
    if asked_at is None:
        return False, task_count
    return True, (asked_at - now) / task_count


def _choose_workers(
    pool_state: pool_states.PoolState,
    waiting_step: waiting_steps.WaitingStep,
    now: float,
) -> tuple[str, ...]:
    step = waiting_step.tracked_step.step
    permits = waiting_step.tracked_step.permits
    needed_slots = len(waiting_step.tracked_step.waiting_indices)
    candidates: list[tuple[bool, str]] = []
    for worker_id, worker in pool_state.workers.items():
        if not worker.may_start_tasks(now):
            continue
        if step.label and step.label not in worker.entry.labels:
            continue
        slots = worker.free.count(step.charge)
        if permits.find_ticket(worker_id, now):
            needed_slots -= slots
        elif worker_id in permits.rejected_workers:
            continue
        elif slots or worker_id not in permits.tickets:
            # A ticket for a full worker would expire before it can be used. The
            # service is asked once about such a worker, to learn whether
            # waiting for it is worthwhile.
            candidates.append((not slots, worker_id))
    if needed_slots <= 0:
        return ()
    max_count = min(
        _MAX_WORKERS_PER_QUESTION, _ASKED_PER_NEEDED_WORKER * needed_slots
    )
    return tuple(worker_id for _, worker_id in sorted(candidates)[:max_count])
