"""Incarnations that answer in place of others.

What ran on the earlier incarnation has ended with it. A start that it left
unanswered may still be carried out by the later one.
"""

from collections.abc import Iterable
import dataclasses

from crocusrouter.work import orders
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import runs


def add_successor(
    pool_state: pool_states.Book, worker: str, successor: str, now: float
) -> None:
    """Take an incarnation into the book that may not be listed yet.

    Args:
        book: The pool's book.
        worker: The incarnation in whose place it has answered.
        successor: The one that answers now.
        now: Steady time in seconds.
    """
    if successor in pool_state.workers:
        return
    entry = dataclasses.replace(
        pool_state.workers[worker].entry,
        id=successor,
        draining=False,
        stays_s=None,
    )
    pool_state.set_worker(entry, now)
    pool_state.unlist_worker(successor)


def note_gone(
    pool_state: pool_states.Book,
    worker: str,
    now: float,
    successor: str | None = None,
    late: Iterable[orders.Stop] = (),
) -> None:
    """Note that another incarnation answers in place of a worker's.

    The platform may list the one that is gone for some seconds more. Its runs
    are waiting again, but for late ones: they count as the successor's until
    that has stopped them.

    Args:
        book: The pool's book.
        worker: The incarnation that is gone.
        now: Steady time in seconds.
        successor: The one that answers; None if that isn't known.
        late: Stops of the starts that the successor may carry out late.
    """
    held = pool_state.workers.get(worker)
    if held is None or held.gone:
        return
    held.gone = True
    pool_state.note(
        "worker:restarted",
        worker=worker,
        successor=successor,
        runs=len(held.runs),
    )
    if successor is not None:
        for order in late:
            run = held.runs.get(order.key)
            if run is not None and run.number == order.run:
                pool_state.move_run(run, successor)
                why = "its worker has restarted before its start was answered"
                pool_state.stop_run(run, why, now)
                _stop_gang(pool_state, run, now)
    pool_state.note_lapsed(worker, "another incarnation answers", now)


def _stop_gang(pool_state: pool_states.Book, run: runs.Run, now: float) -> None:
    """Stop the members that would work for one that is being stopped."""
    if run.work is not None and run.work.step.gang:
        pool_state.stop_step(run.work, "a member's worker has restarted", now)


def map_incarnations(pool_state: pool_states.Book) -> dict[str, str]:
    """Return the listed incarnation of each worker."""
    return {
        held.entry.worker: name
        for name, held in pool_state.workers.items()
        if held.listed and not held.gone
    }
