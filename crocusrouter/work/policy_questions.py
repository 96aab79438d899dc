"""Which workers a policy allows to run a step, and which to ask about.

The policy of an advised queue allows only some workers to run a step. Only
the policy service knows them; it answers one question at a time, more slowly
the more workers a question names, and its tickets hold for seconds. Whether
a worker may run a step does not change, so a worker that was turned down is
not asked about again.
"""

import dataclasses

from crocusrouter.work import model
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import waiting_steps

# Workers that one question names. The service needs time for each of them,
# and a job's objective allows for one question about thirty.
_MAX_ASKED = 30
# A question names this many workers for each one that is needed, since the
# policy turns some down.
_ASKED_PER_NEEDED = 3


@dataclasses.dataclass(frozen=True)
class Question:
    """What to ask the policy service next.

    Attributes:
        step: Which step.
        workers: Workers that may run it, the emptiest first.
    """

    step: model.StepKey
    workers: tuple[str, ...]


def choose_question(
    pool_state: pool_states.Book, now: float, wall: float
) -> Question | None:
    """Return the question that lets the first step in the order begin.

    Steps are taken in the planner's order. A step needs no question while it
    has tickets for as many workers as its waiting tasks could need.

    Args:
        pool_state: State of the pool; not changed.
        now: Steady time in seconds.
        wall: Unix time in seconds.
    """
    for waiting in waiting_steps.list_waiting(pool_state, now, wall):
        if not waiting.held.job.advised:
            continue
        asked = _choose_workers(pool_state, waiting, now)
        if asked:
            return Question(waiting.work.key, asked)
    return None


def _choose_workers(
    pool_state: pool_states.Book, waiting: waiting_steps.Waiting, now: float
) -> tuple[str, ...]:
    step = waiting.work.step
    permits = waiting.work.permits
    needed = len(waiting.work.waiting)
    unknown: list[tuple[bool, str]] = []
    for name, worker in pool_state.workers.items():
        if not worker.may_take(now):
            continue
        if step.label and step.label not in worker.entry.labels:
            continue
        fits = worker.free.count(step.charge)
        if permits.find_ticket(name, now):
            needed -= fits
        elif name in permits.rejected_workers:
            continue
        elif fits or name not in permits.tickets:
            # A ticket for a full worker would end before it is of use; it is
            # asked about once, to learn whether it is worth waiting for.
            unknown.append((not fits, name))
    if needed <= 0:
        return ()
    wanted = min(_MAX_ASKED, _ASKED_PER_NEEDED * needed)
    return tuple(name for _, name in sorted(unknown)[:wanted])
