"""Data centres that operators have closed to new work.

What runs there goes on to its end; nothing new starts there. Customers'
guarantees are kept with the room of the other data centres.
"""

import collections

from crocusrouter.work import pool_state as pool_states


def set_closed_data_centres(
    pool_state: pool_states.PoolState, data_centres: frozenset[str]
) -> None:
    """Replace the closed data centres of a pool, and log each change."""
    before = pool_state.closed_data_centres
    pool_state.closed_data_centres = data_centres
    for worker in pool_state.workers.values():
        worker.closed = worker.entry.data_centre in data_centres
    run_counts = count_runs(pool_state)
    worker_counts = collections.Counter(
        worker.entry.data_centre
        for worker in pool_state.workers.values()
        if worker.listed
    )
    for name in sorted(data_centres ^ before):
        is_closed = name in data_centres
        pool_state.note(
            "data-centre:closed" if is_closed else "data-centre:opened",
            data_centre=name,
            workers=worker_counts[name],
            runs=run_counts[name],
        )


def count_runs(
    pool_state: pool_states.PoolState,
) -> collections.Counter[str]:
    """Return how many runs there are in each data centre."""
    return collections.Counter(
        pool_state.workers[run.worker_id].entry.data_centre
        for run in pool_state.runs.values()
        if run.worker_id in pool_state.workers
    )


def count_runs_in_closed(pool_state: pool_states.PoolState) -> int:
    """Return how many runs are still in closed data centres."""
    run_counts = count_runs(pool_state)
    return sum(run_counts[name] for name in pool_state.closed_data_centres)


def measure_shortfall(pool_state: pool_states.PoolState) -> int:
    """Return how many guaranteed accelerators have no room at present.

    Only workers that may get new tasks count, whatever runs there: a guarantee
    may stop other work.
    """
    offered = sum(
        worker.entry.room.accelerators
        for worker in pool_state.workers.values()
        if worker.listed
        and not worker.was_draining
        and not worker.replaced
        and not worker.closed
    )
    return max(0, sum(pool_state.guaranteed.values()) - offered)
