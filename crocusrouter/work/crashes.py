"""Which tasks are to blame when the workers that run them crash.

A task that ends the process of its worker takes along whatever else runs
there, and does it again wherever it starts next. Nobody sees which of the
runs on a crashed worker was the cause, so each crash is kept with every run
that it ended, and the next one tells more: a suspect starts alone, on a worker
that takes nothing else until the suspect has shown that it works.

An innocent task may be on a crashing worker as well, so one crash gives up
nothing. A worker that falls silent may be cut off; then it tells of its runs
when it is back, and the crash is taken back.
"""

from collections.abc import Iterable

from crocusrouter.work import model
from crocusrouter.work import orders
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import progress as progresses
from crocusrouter.work import replacement
from crocusrouter.work import runs

# A run that worked for this long did not crash its worker by what it is.
_PROVEN_S = 60.0


def note_silent(pool_state: pool_states.Book, name: str, now: float) -> None:
    """Note that a worker does not answer.

    It may have crashed under what has just begun there. That is kept at once
    and not when it is known, some seconds later: an owner lost meanwhile would
    take along who was running there, and its successor start it again. A
    worker that was only cut off tells of its runs when it is back.

    Args:
        book: The pool's book.
        name: The worker.
        now: Steady time in seconds.
    """
    worker = pool_state.workers.get(name)
    if worker is None or worker.silent_since is not None:
        return
    pool_state.note_silent(name, now)
    for run in _list_blamed(pool_state, worker, list(worker.runs.values())):
        if _is_early(run, worker):
            _keep(pool_state, run, worker)


def note_lapsed(
    pool_state: pool_states.Book, name: str, why: str, now: float
) -> None:
    """Note that a worker's leases have ended in silence.

    It may have crashed and stay away for longer than a lease, or be cut off.

    Args:
        book: The pool's book.
        name: The worker.
        why: Told in the log.
        now: Steady time in seconds.
    """
    worker = pool_state.workers.get(name)
    if worker is None:
        return
    blamed = _list_blamed(pool_state, worker, list(worker.runs.values()))
    for run in blamed:
        _keep(pool_state, run, worker)
    pool_state.note_lapsed(name, why, now)
    _give_up_crashing(pool_state, blamed, now)


def note_replaced(
    pool_state: pool_states.Book,
    name: str,
    now: float,
    successor: str | None = None,
    late: Iterable[orders.Stop] = (),
) -> None:
    """Note that another incarnation answers in place of a worker's.

    Args:
        book: The pool's book.
        name: The incarnation that is gone.
        now: Steady time in seconds.
        successor: The one that answers; None if that isn't known.
        late: Stops of the starts that the successor may carry out late.
    """
    worker = pool_state.workers.get(name)
    if worker is None:
        return
    blamed = _list_blamed(pool_state, worker, list(worker.runs.values()))
    for run in blamed:
        _keep(pool_state, run, worker)
    _tell_crash(pool_state, worker, blamed)
    replacement.note_gone(pool_state, name, now, successor, late)
    _give_up_crashing(pool_state, blamed, now)


def _tell_crash(
    pool_state: pool_states.Book, worker: runs.Worker, blamed: list[runs.Run]
) -> None:
    if not blamed:
        return
    early = [run for run in blamed if _is_early(run, worker)]
    pool_state.note(
        "worker:crashed",
        worker=worker.entry.id,
        suspects=[str(run.key) for run in early],
        others=[str(run.key) for run in blamed if run not in early],
    )


def clear_told(
    pool_state: pool_states.Book, key: model.TaskKey, number: int
) -> None:
    """Drop a crash under a run of which its worker tells after all.

    Args:
        book: The pool's book.
        key: The task.
        number: Of the run that the worker lists as running or ended.
    """
    work = pool_state.find_work(key)
    found = work.kept.crashes.get(key.position) if work is not None else None
    if work is None or not found:
        return
    left = [crash for crash in found if crash.run != number]
    if len(left) < len(found):
        work.kept.crashes[key.position] = left
        pool_state.dirty.add(key.job)


def clear_survivor(
    pool_state: pool_states.Book, run: runs.Run, worker: runs.Worker
) -> None:
    """Take the suspicion from a step once one of its tasks works.

    Its tasks run the same, so the others need no trial of their own. Their
    crashes stay kept: one of them may differ after all.
    """
    work = run.work
    if work is None or not work.kept.crashes or _is_early(run, worker):
        return
    if work.step.gang and not run.percent:
        # It waits for the other members, and works only after that.
        return
    survived = _measure_survival(run, worker)
    if survived >= _PROVEN_S and run.key.position in work.kept.crashes:
        del work.kept.crashes[run.key.position]
        pool_state.dirty.add(run.key.job)
    clear_step(pool_state, work, run.key.position)


def clear_step(
    pool_state: pool_states.Book, work: runs.StepWork, index: int
) -> None:
    """Count crashes as early ones no more once a task of the step works.

    One that has met two crashes must show itself that it works.
    """
    for position, found in work.kept.crashes.items():
        if position != index and len(found) > 1:
            continue
        if any(crash.early for crash in found):
            work.kept.crashes[position] = [
                crash._replace(early=False) for crash in found
            ]
            pool_state.dirty.add(work.key.job)


def _measure_survival(run: runs.Run, worker: runs.Worker) -> float:
    """Return the seconds for which a run was certainly seen to work."""
    if run.confirmed_at is None or worker.heard_at is None:
        return 0.0
    return max(0.0, worker.heard_at - run.confirmed_at)


def _is_early(run: runs.Run, worker: runs.Worker) -> bool:
    return _measure_survival(run, worker) < runs.TRIAL_S


def _list_blamed(
    pool_state: pool_states.Book, worker: runs.Worker, lost: list[runs.Run]
) -> list[runs.Run]:
    """Return the runs that may have crashed a worker.

    None where it has said that it leaves or has been sent to upkeep.
    """
    if worker.sealed or worker.rested:
        return []
    return [run for run in lost if _may_blame(run, worker)]


def _may_blame(run: runs.Run, worker: runs.Worker) -> bool:
    """Tell whether a run can have begun, and not long ago."""
    begun = run.maybe_begun or run.confirmed_at is not None
    return (
        begun
        and run.work is not None
        and _measure_survival(run, worker) < _PROVEN_S
    )


def _give_up_crashing(
    pool_state: pool_states.Book, blamed: list[runs.Run], now: float
) -> None:
    """Give up the tasks under which too many workers have crashed."""
    for run in blamed:
        assert run.work is not None
        if run.work.kept.is_given_up(run.key.position):
            _give_up(pool_state, run, now)


def _keep(
    pool_state: pool_states.Book, run: runs.Run, worker: runs.Worker
) -> None:
    if run.work is None or run.key.job not in pool_state.live:
        return
    found = run.work.kept.crashes.setdefault(run.key.position, [])
    if any(crash.run == run.number for crash in found):
        return
    crash = progresses.Crash(run.number, _is_early(run, worker))
    found.append(crash)
    pool_state.dirty.add(run.key.job)
    if crash.early:
        pool_state.jobs[run.key.job].unsaved_crash = True


def _list_crashes(run: runs.Run) -> list[progresses.Crash]:
    assert run.work is not None
    return run.work.kept.crashes.get(run.key.position, [])


def _give_up(pool_state: pool_states.Book, run: runs.Run, now: float) -> None:
    held = pool_state.jobs.get(run.key.job)
    if held is None or held.is_final:
        return
    pool_state.note(
        "task:given-up",
        task=run.key,
        runs=[crash.run for crash in _list_crashes(run)],
    )
    pool_state.finish(held, model.State.FAILED, now)
