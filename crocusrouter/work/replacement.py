"""Replacement of a worker's incarnation by the next one.

Everything that ran on the previous incarnation has ended with it. A start that
it left unanswered may still be carried out by the next one.
"""

from collections.abc import Iterable
import dataclasses

from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import tracking
from crocusrouter.work import worker_port


def add_successor(
    pool_state: pool_states.PoolState,
    worker_id: str,
    successor: str,
    now: float,
) -> None:
    """Add an incarnation that the platform may not list yet.

    Args:
        pool_state: State of the pool.
        worker_id: The incarnation that the successor replaces.
        successor: The incarnation that answers now.
        now: Steady time in seconds.
    """
    if successor in pool_state.workers:
        return
    worker = pool_state.workers[worker_id]
    entry = dataclasses.replace(
        worker.entry,
        id=successor,
        address=worker.address,
        draining=False,
        stays_s=None,
    )
    pool_state.set_worker(entry, now)
    pool_state.unlist_worker(successor)


def note_incarnation_replaced(
    pool_state: pool_states.PoolState,
    worker_id: str,
    now: float,
    successor: str | None = None,
    late_stops: Iterable[worker_port.Stop] = (),
) -> None:
    """Record that another incarnation answers in place of a worker's.

    The platform may list the previous incarnation for some seconds more. Its
    tasks wait again, except those whose start may be carried out late: their
    runs are assigned to the successor until it has stopped them.

    Args:
        pool_state: State of the pool.
        worker_id: The incarnation that has ended.
        now: Steady time in seconds.
        successor: The incarnation that answers; None if unknown.
        late_stops: Stops of the starts that the successor may carry out late.
    """
    worker = pool_state.workers.get(worker_id)
    if worker is None or worker.replaced:
        return
    worker.replaced = True
    worker.successor = successor
    pool_state.note(
        "worker:restarted",
        worker=worker_id,
        successor=successor,
        runs=len(worker.runs),
    )
    present = _find_present(pool_state, worker_id, successor)
    if present is not None:
        for stop in late_stops:
            run = worker.runs.get(stop.key)
            if run is not None and run.number == stop.run:
                pool_state.move_run(run, present)
                reason = (
                    "its worker has restarted before its start was answered"
                )
                pool_state.stop_run(run, reason, now)
                _stop_gang(pool_state, run, now)
    pool_state.note_lapsed(worker_id, "another incarnation answers", now)


def _find_present(
    pool_state: pool_states.PoolState, worker_id: str, successor: str | None
) -> str | None:
    """Return the incarnation that answers now; None if it is unknown.

    The answer that named `successor` may have come after those of later
    incarnations, and nothing ends the runs of one that is gone already. If a
    later one was not named, it is the one that is listed.
    """
    if successor is None:
        return None
    seen_ids: set[str] = set()
    present: str | None = successor
    while present is not None and present not in seen_ids:
        worker = pool_state.workers.get(present)
        if worker is not None and not worker.replaced:
            return present
        seen_ids.add(present)
        present = worker.successor if worker is not None else None
    process = pool_state.workers[worker_id].entry.worker
    return map_incarnations(pool_state).get(process)


def _stop_gang(
    pool_state: pool_states.PoolState, run: tracking.Run, now: float
) -> None:
    """Stop a run's gang, since the other members need this one."""
    if run.tracked_step is not None and run.tracked_step.step.gang:
        pool_state.stop_step(
            run.tracked_step, "a member's worker has restarted", now
        )


def map_incarnations(pool_state: pool_states.PoolState) -> dict[str, str]:
    """Return the listed incarnation of each worker, by the worker's id."""
    return {
        worker.entry.worker: worker_id
        for worker_id, worker in pool_state.workers.items()
        if worker.listed and not worker.replaced
    }
