"""Incarnations that answer in place of others.

What ran on the earlier incarnation has ended with it. A start that it left
unanswered may still be carried out by the later one.
"""

from collections.abc import Iterable
import dataclasses

from crocusrouter.work import book as books
from crocusrouter.work import orders
from crocusrouter.work import runs


def add_successor(
    book: books.Book, worker: str, successor: str, now: float
) -> None:
    """Take an incarnation into the book that may not be listed yet.

    Args:
        book: The pool's book.
        worker: The incarnation in whose place it has answered.
        successor: The one that answers now.
        now: Steady time in seconds.
    """
    if successor in book.workers:
        return
    entry = dataclasses.replace(
        book.workers[worker].entry, id=successor, draining=False, stays_s=None
    )
    book.set_worker(entry, now)
    book.unlist_worker(successor)


def note_gone(
    book: books.Book,
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
    held = book.workers.get(worker)
    if held is None or held.gone:
        return
    held.gone = True
    book.note(
        "worker:restarted",
        worker=worker,
        successor=successor,
        runs=len(held.runs),
    )
    if successor is not None:
        for order in late:
            run = held.runs.get(order.key)
            if run is not None and run.number == order.run:
                book.move_run(run, successor)
                why = "its worker has restarted before its start was answered"
                book.stop_run(run, why, now)
                _stop_gang(book, run, now)
    book.note_lapsed(worker, "another incarnation answers", now)


def _stop_gang(book: books.Book, run: runs.Run, now: float) -> None:
    """Stop the members that would work for one that is being stopped."""
    if run.work is not None and run.work.step.gang:
        book.stop_step(run.work, "a member's worker has restarted", now)


def map_incarnations(book: books.Book) -> dict[str, str]:
    """Return the listed incarnation of each worker."""
    return {
        held.entry.worker: name
        for name, held in book.workers.items()
        if held.listed and not held.gone
    }
