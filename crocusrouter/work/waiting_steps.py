"""Which steps have tasks in turn, and in what order they are looked at.

Steps are taken by priority, then by the latest moment at which they can begin
and still meet their objective.
"""

import dataclasses

from crocusrouter.work import planner_parameters
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import runs

_DEFAULT = planner_parameters.Policy()


@dataclasses.dataclass(frozen=True)
class Waiting:
    """A step in turn, with what decides its place in the order."""

    held: runs.JobWork
    work: runs.StepWork
    latest_start: float
    late: bool
    hopeless: bool

    @property
    def rank(self) -> tuple[bool, int, bool, float]:
        """Steps of lower rank go first.

        What can't meet its objective any more goes behind what still can:
        under load, taking the latest first makes all of them late.
        """
        return (
            self.hopeless,
            self.held.job.priority,
            self.late,
            self.latest_start,
        )


def list_waiting(
    pool_state: pool_states.Book,
    now: float,
    wall: float,
    policy: planner_parameters.Policy = _DEFAULT,
) -> list[Waiting]:
    """Return the steps with tasks in turn, in order.

    Args:
        pool_state: State of the pool.
        now: Steady time in seconds.
        wall: Unix time in seconds.
        policy: Weights and limits.
    """
    found = []
    blocked = pool_state.list_blocked()
    for held in pool_state.live.values():
        if held.is_final or pool_state.may_run_unseen(held, blocked):
            continue
        if held.has_unsaved_crash:
            continue
        for work in held.steps.values():
            if not work.waiting or work.not_before > now:
                continue
            if work.step.gang and len(work.waiting) < work.step.count:
                continue
            if pool_state.is_ready(held, work):
                found.append(_rank(held, work, wall, policy))
    return sorted(found, key=lambda waiting: waiting.rank)


def _rank(
    held: runs.JobWork,
    work: runs.StepWork,
    wall: float,
    policy: planner_parameters.Policy,
) -> Waiting:
    job = held.job
    due = job.find_due(work.key.occurrence)
    objective = job.objective_s
    rest = job.tails[work.key.step]
    hopeless = (
        wall > due + policy.late_factor * objective and not work.step.lasting
    )
    latest_start = due + objective - rest
    late = wall > latest_start
    return Waiting(held, work, latest_start, late, hopeless)
