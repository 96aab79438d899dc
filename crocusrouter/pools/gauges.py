"""Gauges of an entry's pools, read at each scrape."""

import collections
from collections.abc import Mapping

from crocusrouter import work
from crocusrouter.pools import closures
from crocusrouter.pools import owner
from crocusrouter.telemetry import Metrics
from crocusrouter.work import speed_monitor


def register_gauges(
    metrics: Metrics,
    known_closures: closures.Closures,
    pool_owners: Mapping[str, owner.PoolOwner],
) -> None:
    """Register the gauges of closed data centres and of workers' speeds.

    Args:
        metrics: Exports the gauges.
        known_closures: The data centres that are closed to new work.
        pool_owners: The pools that the entry owns at the time of a scrape.
    """
    metrics.register_gauge(
        "crocusrouter_closed_data_centres",
        lambda: len(known_closures.data_centres),
    )
    metrics.register_gauge(
        "crocusrouter_runs_in_closed_data_centres",
        lambda: sum(
            work.count_runs_in_closed(pool_owner.pool_state)
            for pool_owner in pool_owners.values()
        ),
    )
    metrics.register_labelled_gauge(
        "crocusrouter_worker_speed_groups",
        "group",
        lambda: _count_workers_by_speed(pool_owners),
    )


def _count_workers_by_speed(
    pool_owners: Mapping[str, owner.PoolOwner],
) -> Mapping[str, int]:
    totals: collections.Counter[str] = collections.Counter()
    for pool_owner in pool_owners.values():
        totals.update(
            speed_monitor.count_workers_by_speed(pool_owner.pool_state)
        )
    return totals
