"""What a book makes of the messages of its workers."""

import functools

from crocusrouter.fleet import messages
from crocusrouter.jobs import gang as gangs
from crocusrouter.jobs.book import Book
from crocusrouter.jobs.effects import Effects

_PAUSE_AFTER_DECLINE_S = 0.5
_HELD = (messages.TaskPhase.RESERVED, messages.TaskPhase.RUNNING)


def handle_message(
    book: Book, worker: str, message: object, now: float
) -> Effects:
    """Take a worker's message into account.

    Args:
        book: The book of the worker's data centre.
        worker: Who sent it.
        message: One of `crocusrouter.fleet.messages`.
        now: Unix time in seconds.

    Returns:
        What follows from it.

    Raises:
        TypeError: No worker sends such a message.
    """
    effects = Effects()
    if worker in book.workers:
        _handle(message, book, worker, now, effects)
    return effects


@functools.singledispatch
def _handle(
    message: object, book: Book, worker: str, now: float, effects: Effects
) -> None:
    raise TypeError(f"unexpected {type(message).__name__} from {worker}")


@_handle.register
def _(
    message: messages.Inventory,
    book: Book,
    worker: str,
    now: float,
    effects: Effects,
) -> None:
    listed = {(task.job_id, task.attempt): task for task in message.tasks}
    known = book.workers[worker]
    known.known = True
    known.strays = {}
    book.touch()
    for key, task in listed.items():
        if not _is_current(book, key, worker):
            _stop_stray(book, worker, task, effects)
    for held in book.list_gangs_on(worker):
        found = listed.get((held.job_id, held.attempt))
        book.apply(_compare(held, worker, found), now, effects)


@_handle.register
def _(
    message: messages.Reserved,
    book: Book,
    worker: str,
    now: float,
    effects: Effects,
) -> None:
    held = book.find_gang(message.job_id, message.attempt)
    if held is None:
        effects.commands.append(_stop(worker, message))
    else:
        book.apply(gangs.note_reserved(held, worker), now, effects)


@_handle.register
def _(
    message: messages.Started,
    book: Book,
    worker: str,
    now: float,
    effects: Effects,
) -> None:
    held = book.find_gang(message.job_id, message.attempt)
    if held is None:
        effects.commands.append(_stop(worker, message))
    else:
        book.apply(gangs.note_started(held, worker), now, effects)


@_handle.register
def _(
    message: messages.Declined,
    book: Book,
    worker: str,
    now: float,
    effects: Effects,
) -> None:
    held = book.find_gang(message.job_id, message.attempt)
    if held is None:
        return
    book.not_before[held.job_id] = now + _PAUSE_AFTER_DECLINE_S
    step = gangs.note_gone(held, worker, gangs.End.DECLINED, message.reason)
    book.apply(step, now, effects)


@_handle.register
def _(
    message: messages.Stopped,
    book: Book,
    worker: str,
    now: float,
    effects: Effects,
) -> None:
    key = (message.job_id, message.attempt)
    if book.workers[worker].strays.pop(key, None) is not None:
        book.touch()
    held = book.find_gang(*key)
    if held is not None and worker in held.held:
        step = gangs.note_gone(
            held, worker, gangs.End.LOST, "the worker stopped its task"
        )
        book.apply(step, now, effects)


@_handle.register
def _(
    message: messages.Finished,
    book: Book,
    worker: str,
    now: float,
    effects: Effects,
) -> None:
    held = book.find_gang(message.job_id, message.attempt)
    if held is None or worker not in held.workers:
        # A late result of an attempt that no longer counts: let the worker
        # forget it, or it would offer it for ever.
        effects.commands.append(_acknowledge(worker, message))
        return
    step = gangs.note_finished(held, worker, message.ok, message.result)
    book.apply(step, now, effects)


def _is_current(book: Book, key: tuple[str, int], worker: str) -> bool:
    held = book.find_gang(*key)
    if held is None:
        return False
    ended = any(name == worker for name, _ in held.results)
    return worker in held.held or ended


def _stop_stray(
    book: Book, worker: str, task: messages.TaskReport, effects: Effects
) -> None:
    """Get rid of a task that no gang accounts for.

    Its accelerators count as taken until the worker says that it stopped.
    """
    if task.phase in _HELD:
        book.workers[worker].strays[(task.job_id, task.attempt)] = task.mask
        effects.commands.append(_stop(worker, task))
    else:
        effects.commands.append(_acknowledge(worker, task))


def _compare(
    held: gangs.Gang, worker: str, task: messages.TaskReport | None
) -> gangs.Step:
    """Bring a gang in line with what a worker says it holds."""
    if task is None:
        return gangs.note_gone(
            held, worker, gangs.End.LOST, f"{worker} doesn't hold the task"
        )
    if task.phase is messages.TaskPhase.RESERVED:
        if held.phase is gangs.Phase.STARTING:
            # The start was lost with the connection.
            return held, (gangs.Command(worker, gangs.build_start(held)),)
        return gangs.note_reserved(held, worker)
    if task.phase is messages.TaskPhase.RUNNING:
        return gangs.note_started(held, worker)
    ok = task.phase is messages.TaskPhase.SUCCEEDED
    return gangs.note_finished(held, worker, ok, task.result or "")


def _stop(
    worker: str,
    task: messages.Reserved | messages.Started | messages.TaskReport,
) -> gangs.Command:
    """Stop a task whose attempt no longer counts."""
    return gangs.Command(
        worker, messages.Stop(task.job_id, task.attempt, checkpoint=False)
    )


def _acknowledge(
    worker: str, task: messages.Finished | messages.TaskReport
) -> gangs.Command:
    return gangs.Command(
        worker, messages.Acknowledge(task.job_id, task.attempt)
    )
