"""Turns claims into loans where they keep other cells from being embedded.

A claim that was placed while workers were missing can stand where another
customer's cell belongs once they are back. As a loan, the job goes on, and can
be reclaimed.
"""

from collections.abc import Collection
from collections.abc import Sequence

from crocusrouter.jobs import cells
from crocusrouter.jobs import claims


def choose_claims_to_lend(
    demands: claims.CellDemands,
    job_allocations: Sequence[claims.JobAllocation],
    capacities: cells.Capacities,
) -> list[str]:
    """Choose the claims that have to become loans so that all cells embed.

    >>> from crocusrouter.jobs import model
    >>> from crocusrouter.templates import Level
    >>> demand = cells.CellDemand("a", Level.WORKER, 2)
    >>> member = model.Member("w", 0b01)
    >>> claim = model.CellClaim(0, (member,))
    >>> blocking = claims.JobAllocation("dc.1", "b", (member,), (claim,))
    >>> other = cells.CellDemand("b", Level.WORKER, 1)
    >>> capacities = {
    ...     "w": cells.WorkerCapacity("w", "r", 0b10),
    ...     "v": cells.WorkerCapacity("v", "r", 0b01),
    ... }
    >>> choose_claims_to_lend((demand, other), [blocking], capacities)
    ['dc.1']

    Args:
        demands: Every cell, with nothing claimed.
        job_allocations: The allocations of the running attempts; the claims
            that should be lent first come first.
        capacities: Capacities of the workers, in which the accelerators of
            loans are reclaimable.

    Returns:
        Ids of the jobs; none if all cells embed, or if no choice achieves it.
    """

    def fits_without(lent_jobs: Collection[str]) -> bool:
        return _embed_without(demands, job_allocations, capacities, lent_jobs)

    candidates = [
        job_allocation.job_id
        for job_allocation in job_allocations
        if job_allocation.claims
    ]
    if fits_without(()) or not fits_without(candidates):
        return []
    count = next(
        count
        for count in range(1, len(candidates) + 1)
        if fits_without(candidates[:count])
    )
    lent_jobs = candidates[:count]
    for job_id in candidates[:count]:
        remaining_jobs = [other for other in lent_jobs if other != job_id]
        if fits_without(remaining_jobs):
            lent_jobs = remaining_jobs
    return lent_jobs


def _embed_without(
    demands: claims.CellDemands,
    job_allocations: Sequence[claims.JobAllocation],
    capacities: cells.Capacities,
    lent_jobs: Collection[str],
) -> bool:
    """Tell whether all cells embed if some claims become loans."""
    claimed_demands, _ = claims.assign_claims(
        demands,
        [
            job_allocation
            for job_allocation in job_allocations
            if job_allocation.job_id not in lent_jobs
        ],
    )
    reclaimable_capacities = dict(capacities)
    for job_allocation in job_allocations:
        if job_allocation.job_id not in lent_jobs:
            continue
        for member in job_allocation.allocation:
            capacity = reclaimable_capacities.get(member.worker)
            if capacity is not None:
                reclaimable_capacities[member.worker] = capacity._replace(
                    reclaimable_mask=capacity.reclaimable_mask | member.mask
                )
    result = cells.embed(claimed_demands, reclaimable_capacities)
    return isinstance(result, cells.Embedding)
