"""What a worker tells of its runs, taken into the book of its pool."""

from crocusrouter.work import book as books
from crocusrouter.work import crashes
from crocusrouter.work import model
from crocusrouter.work import orders
from crocusrouter.work import runs
from crocusrouter.work import suspicion

# A task that ends by itself leaves its worker running.
_OWN_ENDS = frozenset({orders.How.DONE, orders.How.FAILED})


def take_report(
    book: books.Book,
    worker: str,
    report: orders.Report,
    sent_at: float,
    now: float,
) -> None:
    """Take what a worker says that it holds.

    Args:
        book: The pool's book.
        worker: Which.
        report: What it said.
        sent_at: Steady time at which it was asked; what was ordered
            after that may be missing from the report.
        now: Steady time.
    """
    held = book.workers.get(worker)
    if held is None:
        return
    if held.silent_since is not None or not held.reached:
        book.note(
            "worker:reached",
            worker=worker,
            clock_ms=report.clock_ms,
            noted=held.noted,
            ends=[ended.number for ended in report.ended],
        )
    held.silent_since = None
    held.reached = True
    held.heard_at = now
    for ended in report.ended:
        # An end is listed again until it is confirmed.
        if ended.number > held.noted:
            held.noted = ended.number
            _note_end(book, worker, ended, now)
    listed = {row.key: row for row in report.running}
    held.strays.clear()
    ended_keys = {(row.key, row.run) for row in report.ended}
    for row in report.running:
        if (row.key, row.run) not in ended_keys:
            _note_running(book, held, row, now)
    _find_missing(book, held, listed, sent_at, now)


def _note_running(
    book: books.Book, held: runs.Worker, row: orders.Running, now: float
) -> None:
    worker = held.entry.id
    book.open_reported(row.key, now)
    crashes.clear_told(book, row.key, row.run)
    run = book.runs.get(row.key)
    if run is not None and run.number == row.run and run.worker == worker:
        book.note_taken(row.key, row.run, now)
        if row.percent != run.percent:
            run.moved_at = now
        run.percent = row.percent
        run.load = row.load
        run.saved = row.saved or run.saved
        crashes.clear_survivor(book, run, held)
        return
    if run is None and _may_adopt(book, row.key):
        adopted = book.add_run(row.key, row.run, worker, now)
        adopted.saved = row.saved or adopted.saved
        adopted.percent = row.percent
        book.note_taken(row.key, row.run, now)
        book.note("run:adopted", task=row.key, run=row.run, worker=worker)
        return
    held.strays.add((row.key, row.run))
    book.outbox.append((worker, orders.Stop(row.key, row.run)))
    book.note("run:stray", task=row.key, run=row.run, worker=worker)


def _may_adopt(book: books.Book, key: model.TaskKey) -> bool:
    held = book.jobs.get(key.job)
    work = book.find_work(key)
    return (
        held is not None
        and not held.is_final
        and work is not None
        and key.position in work.waiting
    )


def _find_missing(
    book: books.Book,
    held: runs.Worker,
    listed: dict[model.TaskKey, orders.Running],
    sent_at: float,
    now: float,
) -> None:
    """Drop runs that their worker no longer knows.

    An end may have been confirmed by an earlier owner that died before
    it could tell; without this the task would count as running for ever.
    """
    for key in list(held.runs):
        run = book.runs[key]
        confirmed = run.confirmed_at
        if key in listed or confirmed is None or confirmed >= sent_at:
            continue
        book.note(
            "run:missing",
            task=key,
            run=run.number,
            worker=run.worker,
            ran_s=round(now - run.since, 3),
            noted=held.noted,
        )
        book.drop_run(run)
        book.requeue(run, orders.How.LAPSED, now)


def _note_end(
    book: books.Book, worker: str, ended: orders.Ended, now: float
) -> None:
    key = ended.key
    book.open_reported(key, now)
    crashes.clear_told(book, key, ended.run)
    run = book.runs.get(key)
    ours = run is not None and run.number == ended.run and run.worker == worker
    work = book.find_work(key)
    held = book.jobs.get(key.job)
    if ours and run is not None:
        run.saved = ended.saved or run.saved
        book.drop_run(run)
        if ended.how is orders.How.STOPPED and run.stopped_at:
            book.note_stopped(run, now)
    if held is None or work is None:
        return
    held.begun = True
    if key.position in work.kept.done:
        return
    book.note(
        "run:ended",
        task=key,
        run=ended.run,
        worker=worker,
        how=str(ended.how),
    )
    if ended.how in _OWN_ENDS:
        crashes.clear_step(book, work, key.position)
    if ended.how is orders.How.DONE:
        _note_done(book, held, work, key, worker, now)
        return
    if ended.how is orders.How.FAILED:
        _note_failed(book, held, work, ended, worker, now)
    if ours and run is not None:
        book.requeue(run, ended.how, now)
    elif run is None:
        book.keep_checkpoint(work, key, ended.saved)


def _note_done(
    book: books.Book,
    held: runs.JobWork,
    work: runs.StepWork,
    key: model.TaskKey,
    worker: str,
    now: float,
) -> None:
    suspicion.note_good(book.workers.get(worker))
    if work.step.lasting:
        # It must run until cancelled, however it ends.
        work.waiting.add(key.position)
        return
    indices = range(work.step.count) if work.step.gang else (key.position,)
    for index in indices:
        work.kept.done.add(index)
        work.kept.saved.pop(index, None)
        work.waiting.discard(index)
        other = book.runs.get(key._replace(position=index))
        if other is not None and not work.step.gang:
            book.stop_run(other, "its task has ended elsewhere", now)
    book.dirty.add(held.job.id)
    book.finish_if_done(held, now)


def _note_failed(
    book: books.Book,
    held: runs.JobWork,
    work: runs.StepWork,
    ended: orders.Ended,
    worker: str,
    now: float,
) -> None:
    suspicion.note_failure(
        book.workers.get(worker), held.job.id, now, book.note
    )
    work.avoid.add(worker)
    work.not_before = max(work.not_before, now + books.RETRY_PAUSE_S)
    index = 0 if work.step.gang else ended.key.position
    failed = work.kept.failed.setdefault(index, [])
    if ended.run in failed:
        return
    failed.append(ended.run)
    book.dirty.add(held.job.id)
    if len(failed) >= held.job.max_attempts and not work.step.lasting:
        book.finish(held, model.State.FAILED, now)
