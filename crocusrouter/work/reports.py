"""What a worker tells of its runs, taken into the book of its pool."""

from crocusrouter.work import crashes
from crocusrouter.work import model
from crocusrouter.work import orders
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import runs
from crocusrouter.work import worker_failures

# A task that ends by itself leaves its worker running.
_OWN_ENDS = frozenset({orders.How.DONE, orders.How.FAILED})


def take_report(
    pool_state: pool_states.Book,
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
    held = pool_state.workers.get(worker)
    if held is None:
        return
    if held.silent_since is not None or not held.reached:
        pool_state.note(
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
            _note_end(pool_state, worker, ended, now)
    listed = {row.key: row for row in report.running}
    held.strays.clear()
    ended_keys = {(row.key, row.run) for row in report.ended}
    for row in report.running:
        if (row.key, row.run) not in ended_keys:
            _note_running(pool_state, held, row, now)
    _find_missing(pool_state, held, listed, sent_at, now)


def _note_running(
    pool_state: pool_states.Book,
    held: runs.Worker,
    row: orders.Running,
    now: float,
) -> None:
    worker = held.entry.id
    pool_state.open_reported(row.key, now)
    crashes.clear_told(pool_state, row.key, row.run)
    run = pool_state.runs.get(row.key)
    if run is not None and run.number == row.run and run.worker == worker:
        pool_state.note_taken(row.key, row.run, now)
        if row.percent != run.percent:
            run.moved_at = now
        run.percent = row.percent
        run.load = row.load
        run.saved = row.saved or run.saved
        crashes.clear_survivor(pool_state, run, held)
        return
    if run is None and _may_adopt(pool_state, row.key):
        adopted = pool_state.add_run(row.key, row.run, worker, now)
        adopted.saved = row.saved or adopted.saved
        adopted.percent = row.percent
        pool_state.note_taken(row.key, row.run, now)
        pool_state.note("run:adopted", task=row.key, run=row.run, worker=worker)
        return
    held.strays.add((row.key, row.run))
    pool_state.outbox.append((worker, orders.Stop(row.key, row.run)))
    pool_state.note("run:stray", task=row.key, run=row.run, worker=worker)


def _may_adopt(pool_state: pool_states.Book, key: model.TaskKey) -> bool:
    held = pool_state.jobs.get(key.job)
    work = pool_state.find_work(key)
    return (
        held is not None
        and not held.is_final
        and work is not None
        and key.position in work.waiting
    )


def _find_missing(
    pool_state: pool_states.Book,
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
        run = pool_state.runs[key]
        confirmed = run.confirmed_at
        if key in listed or confirmed is None or confirmed >= sent_at:
            continue
        pool_state.note(
            "run:missing",
            task=key,
            run=run.number,
            worker=run.worker,
            ran_s=round(now - run.since, 3),
            noted=held.noted,
        )
        pool_state.drop_run(run)
        pool_state.requeue(run, orders.How.LAPSED, now)


def _note_end(
    pool_state: pool_states.Book, worker: str, ended: orders.Ended, now: float
) -> None:
    key = ended.key
    pool_state.open_reported(key, now)
    crashes.clear_told(pool_state, key, ended.run)
    run = pool_state.runs.get(key)
    ours = run is not None and run.number == ended.run and run.worker == worker
    work = pool_state.find_work(key)
    held = pool_state.jobs.get(key.job)
    if ours and run is not None:
        run.saved = ended.saved or run.saved
        pool_state.drop_run(run)
        if ended.how is orders.How.STOPPED and run.stopped_at:
            pool_state.note_stopped(run, now)
    if held is None or work is None:
        return
    held.begun = True
    if key.position in work.kept.done:
        return
    pool_state.note(
        "run:ended",
        task=key,
        run=ended.run,
        worker=worker,
        how=str(ended.how),
    )
    if ended.how in _OWN_ENDS:
        crashes.clear_step(pool_state, work, key.position)
    if ended.how is orders.How.DONE:
        _note_done(pool_state, held, work, key, worker, now)
        return
    if ended.how is orders.How.FAILED:
        _note_failed(pool_state, held, work, ended, worker, now)
    if ours and run is not None:
        pool_state.requeue(run, ended.how, now)
    elif run is None:
        pool_state.keep_checkpoint(work, key, ended.saved)


def _note_done(
    pool_state: pool_states.Book,
    held: runs.JobWork,
    work: runs.StepWork,
    key: model.TaskKey,
    worker: str,
    now: float,
) -> None:
    worker_failures.note_good(pool_state.workers.get(worker))
    if work.step.lasting:
        # It must run until cancelled, however it ends.
        work.waiting.add(key.position)
        return
    indices = range(work.step.count) if work.step.gang else (key.position,)
    for index in indices:
        work.kept.done.add(index)
        work.kept.saved.pop(index, None)
        work.waiting.discard(index)
        other = pool_state.runs.get(key._replace(position=index))
        if other is not None and not work.step.gang:
            pool_state.stop_run(other, "its task has ended elsewhere", now)
    pool_state.dirty.add(held.job.id)
    pool_state.finish_if_done(held, now)


def _note_failed(
    pool_state: pool_states.Book,
    held: runs.JobWork,
    work: runs.StepWork,
    ended: orders.Ended,
    worker: str,
    now: float,
) -> None:
    worker_failures.note_failure(
        pool_state.workers.get(worker), held.job.id, now, pool_state.note
    )
    work.avoid.add(worker)
    work.not_before = max(work.not_before, now + pool_states.RETRY_PAUSE_S)
    index = 0 if work.step.gang else ended.key.position
    failed = work.kept.failed.setdefault(index, [])
    if ended.run in failed:
        return
    failed.append(ended.run)
    pool_state.dirty.add(held.job.id)
    if len(failed) >= held.job.max_attempts and not work.step.lasting:
        pool_state.finish(held, model.State.FAILED, now)
