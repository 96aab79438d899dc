"""Scheduler: decides which queued jobs start, and where."""

import collections
from collections.abc import Iterable
import dataclasses
import math

from crocusrouter.jobs import backfill
from crocusrouter.jobs import cell_bindings
from crocusrouter.jobs import cells
from crocusrouter.jobs import claims
from crocusrouter.jobs import gang as gangs
from crocusrouter.jobs import lending
from crocusrouter.jobs import model
from crocusrouter.jobs import placement
from crocusrouter.jobs import quarantine
from crocusrouter.jobs import queue
from crocusrouter.jobs.effects import Effects
from crocusrouter.jobs.scheduler_state import SchedulerState
from crocusrouter.jobs.scheduler_state import build_placement_request

_MAX_DECISIONS_PER_PASS = 8
_CLOSED = placement.NoPlacement(
    placement.WaitReason.CLOSED, "operators have closed the data centre"
)


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The state of a data centre on which the next decision depends.

    Attributes:
        capacities: Capacities of the workers that can be used now.
        demands: Every guaranteed cell, with its claimed part.
        bindings: The allocation to which each cell is bound.
        loans: Allocations of jobs that run beyond a guarantee.
        valid_until: When the next worker leaves quarantine, as Unix time.
    """

    capacities: cells.Capacities
    demands: claims.CellDemands
    bindings: cell_bindings.CellBindings
    loans: tuple[claims.JobAllocation, ...]
    valid_until: float = math.inf


def schedule(scheduler_state: SchedulerState, now: float) -> Effects:
    """Start jobs that can start, a few at most so that the call stays short.

    Once a job of some shape finds no place, other jobs of this shape are
    skipped in the same pass, because they would find none either.

    Args:
        scheduler_state: The state of the data centre, which this changes.
        now: Unix time in seconds.

    Returns:
        The effects; without a changed job nothing more can start.
    """
    effects = Effects()
    ready_jobs = _list_ready_jobs(scheduler_state, now)
    if not ready_jobs:
        return effects
    if scheduler_state.is_closed:
        for job in ready_jobs:
            _record_wait(scheduler_state, job, _CLOSED, now)
        return effects
    failed_shapes: set[tuple[str, str, int, tuple[str, ...]]] = set()
    decisions = 0
    snapshot = get_snapshot(scheduler_state, now)
    reservation: backfill.Reservation | None = None
    ordered_jobs = queue.order_queue(
        ready_jobs,
        snapshot.demands,
        _compute_borrowed_shares(scheduler_state, snapshot),
        scheduler_state.catalog,
        scheduler_state.run_time_history,
    )
    for job in ordered_jobs:
        shape = (
            job.customer,
            str(job.spec.level),
            job.spec.accelerators,
            job.failed_on,
        )
        if shape in failed_shapes:
            continue
        decision = _decide_placement(
            scheduler_state, job, snapshot, reservation, now
        )
        if isinstance(decision, placement.NoPlacement):
            failed_shapes.add(shape)
            _record_wait(scheduler_state, job, decision, now)
            if reservation is None:
                reservation = backfill.reserve_unit(
                    build_placement_request(job),
                    snapshot.capacities,
                    _list_expected_ends(scheduler_state, now),
                    now,
                )
            continue
        assign_job(scheduler_state, job, decision, now, effects)
        snapshot = _update_snapshot(
            scheduler_state, job, decision, snapshot, now
        )
        scheduler_state.cached_snapshot = (
            scheduler_state.snapshot_version,
            snapshot,
        )
        decisions += 1
        if decisions == _MAX_DECISIONS_PER_PASS:
            break
    return effects


def get_snapshot(scheduler_state: SchedulerState, now: float) -> Snapshot:
    """Return the cached snapshot, or a new one if the cache is out of date."""
    cache_entry = scheduler_state.cached_snapshot
    if isinstance(cache_entry, tuple) and cache_entry[0] == (
        scheduler_state.snapshot_version
    ):
        snapshot: Snapshot = cache_entry[1]
        if now < snapshot.valid_until:
            return snapshot
    snapshot = build_snapshot(scheduler_state, now)
    scheduler_state.cached_snapshot = (
        scheduler_state.snapshot_version,
        snapshot,
    )
    return snapshot


def build_snapshot(scheduler_state: SchedulerState, now: float) -> Snapshot:
    """Build a snapshot and bind all cells that lost their binding."""
    all_demands = claims.list_demands(
        scheduler_state.catalog, scheduler_state.data_centre
    )
    demands, loans = claims.assign_claims(
        all_demands, scheduler_state.job_allocations.values()
    )
    capacities = build_capacities(scheduler_state, now, loans)
    scheduler_state.bindings = cell_bindings.bind_cells(
        demands, capacities, scheduler_state.bindings
    )
    if (
        len(scheduler_state.bindings) < len(demands)
        and len(capacities) == len(scheduler_state.workers)
        and _lend_claims(scheduler_state, all_demands, capacities, now)
    ):
        return build_snapshot(scheduler_state, now)
    quarantine_ends = [
        worker.failure_history.quarantined_until
        for worker in scheduler_state.workers.values()
        if scheduler_state.is_quarantined(worker.name, now)
    ]
    valid_until = min(quarantine_ends, default=math.inf)
    return Snapshot(
        capacities, demands, scheduler_state.bindings, tuple(loans), valid_until
    )


def _lend_claims(
    scheduler_state: SchedulerState,
    demands: claims.CellDemands,
    capacities: cells.Capacities,
    now: float,
) -> bool:
    """Turn claims into loans if that lets all cells embed.

    Returns:
        Whether a claim has become a loan.
    """
    jobs = scheduler_state.jobs
    job_allocations = sorted(
        scheduler_state.job_allocations.values(),
        key=lambda job_allocation: (
            jobs[job_allocation.job_id].spec.urgent,
            -scheduler_state.run_started_at.get(job_allocation.job_id, now),
        ),
    )
    lent_jobs = lending.choose_claims_to_lend(
        demands, job_allocations, capacities
    )
    for job_id in lent_jobs:
        scheduler_state.job_allocations[job_id] = dataclasses.replace(
            scheduler_state.job_allocations[job_id], claims=()
        )
        scheduler_state.record_event(
            job_id, now, "goes on as a loan: another cell needs its place"
        )
    return bool(lent_jobs)


def _update_snapshot(
    scheduler_state: SchedulerState,
    job: model.Job,
    decision: placement.Placement,
    snapshot: Snapshot,
    now: float,
) -> Snapshot:
    """Return the snapshot after a decision without a scan of all gangs."""
    capacities = cells.subtract_allocation(
        snapshot.capacities, decision.allocation
    )
    if decision.new_binding is not None:
        key, binding = decision.new_binding
        scheduler_state.bindings = scheduler_state.bindings | {key: binding}
    if decision.victims:
        # The victims release their accelerators one after the other.
        return build_snapshot(scheduler_state, now)
    if decision.claims:
        demands = snapshot.demands
        for claim in decision.claims:
            demands = claims.add_claim(demands, job.customer, claim)
        return dataclasses.replace(
            snapshot,
            capacities=capacities,
            demands=demands,
            bindings=scheduler_state.bindings,
        )
    for member in decision.allocation:
        capacity = capacities[member.worker]
        capacities[member.worker] = capacity._replace(
            reclaimable_mask=capacity.reclaimable_mask | member.mask
        )
    loan = claims.JobAllocation(job.id, job.customer, decision.allocation)
    return dataclasses.replace(
        snapshot, capacities=capacities, loans=(*snapshot.loans, loan)
    )


def _compute_borrowed_shares(
    scheduler_state: SchedulerState, snapshot: Snapshot
) -> dict[str, float]:
    """Return the share of the data centre that each customer borrows."""
    total_count = sum(
        worker.accelerators for worker in scheduler_state.workers.values()
    )
    borrowed_counts: collections.Counter[str] = collections.Counter()
    for loan in snapshot.loans:
        borrowed_counts[loan.customer] += loan.size
    return {
        customer: count / max(1, total_count)
        for customer, count in borrowed_counts.items()
    }


def build_capacities(
    scheduler_state: SchedulerState,
    now: float,
    loans: Iterable[claims.JobAllocation] = (),
) -> cells.Capacities:
    """Return the capacities of the workers that can be used now.

    Accelerators that only ending attempts hold count as reclaimable: a claim
    may take them at once, and its reservation waits until these attempts have
    ended.
    """
    active_masks: dict[str, int] = collections.defaultdict(int)
    ending_masks: dict[str, int] = collections.defaultdict(int)
    lent_masks: dict[str, int] = collections.defaultdict(int)
    for gang in scheduler_state.gangs.values():
        masks = (
            ending_masks if gang.phase is gangs.Phase.ENDING else active_masks
        )
        for member in gang.members:
            masks[member.worker] |= member.mask
    for loan in loans:
        for member in loan.allocation:
            lent_masks[member.worker] |= member.mask
    capacities = {}
    for worker in scheduler_state.workers.values():
        if not (worker.inventory_known and worker.live):
            continue
        if quarantine.is_quarantined(worker.failure_history, now):
            continue
        name = worker.name
        used_mask = active_masks[name] | ending_masks[name]
        for stray_mask in worker.stray_masks.values():
            used_mask |= stray_mask
        free_mask = ((1 << worker.accelerators) - 1) & ~used_mask
        reclaimable_mask = lent_masks[name] | (
            ending_masks[name] & ~active_masks[name]
        )
        capacities[name] = cells.WorkerCapacity(
            name, worker.rack, free_mask, reclaimable_mask
        )
    return capacities


def _list_ready_jobs(
    scheduler_state: SchedulerState, now: float
) -> list[model.Job]:
    """Return the queued jobs whose retry delay is over."""
    return [
        job
        for job in scheduler_state.list_queued()
        if scheduler_state.earliest_retry_at.get(job.id, 0.0) <= now
    ]


def _list_expected_ends(
    scheduler_state: SchedulerState, now: float
) -> backfill.ExpectedEnds:
    """Return the expected end of each task, by worker name.

    A task that runs longer than expected may end at any moment, so its
    expected end is now.
    """
    expected_ends: dict[str, list[tuple[float, int]]] = collections.defaultdict(
        list
    )
    for gang in scheduler_state.gangs.values():
        job = scheduler_state.jobs[gang.job_id]
        expected_s = queue.estimate_job_run_time(
            scheduler_state.run_time_history, job
        )
        started_at = scheduler_state.run_started_at.get(gang.job_id, now)
        for member in gang.members:
            expected_ends[member.worker].append(
                (max(now, started_at + expected_s), member.mask)
            )
    return expected_ends


def _decide_placement(
    scheduler_state: SchedulerState,
    job: model.Job,
    snapshot: Snapshot,
    reservation: backfill.Reservation | None,
    now: float,
) -> placement.Placement | placement.NoPlacement:
    """Place a job outside the backfill reservation and its failed workers."""
    expected_s = queue.estimate_job_run_time(
        scheduler_state.run_time_history, job
    )
    capacities = backfill.exclude_reserved_unit(
        reservation, snapshot.capacities, now + expected_s
    )
    if job.failed_on:
        # Workers on which the job failed offer no accelerators to it. They
        # stay in the mapping, because cells may be bound there.
        capacities = {
            name: capacity._replace(free_mask=0, reclaimable_mask=0)
            if name in job.failed_on
            else capacity
            for name, capacity in capacities.items()
        }
    context = placement.PlacementContext(
        capacities, snapshot.demands, snapshot.bindings, snapshot.loans
    )
    return placement.place_job(build_placement_request(job), context)


def _record_wait(
    scheduler_state: SchedulerState,
    job: model.Job,
    no_placement: placement.NoPlacement,
    now: float,
) -> None:
    if scheduler_state.failed_placements.get(job.id) != no_placement:
        scheduler_state.failed_placements[job.id] = no_placement
        scheduler_state.record_event(
            job.id,
            now,
            f"waits for a place: {no_placement.reason}: {no_placement.detail}",
        )


def assign_job(
    scheduler_state: SchedulerState,
    job: model.Job,
    decision: placement.Placement,
    now: float,
    effects: Effects,
) -> None:
    """Create the job's next attempt and end the loans that it reclaims."""
    job = dataclasses.replace(
        job,
        state=model.JobState.ASSIGNED,
        attempt=job.attempt + 1,
        members=decision.allocation,
        claims=decision.claims,
    )
    scheduler_state.store_job(job)
    scheduler_state.failed_placements.pop(job.id, None)
    scheduler_state.earliest_retry_at.pop(job.id, None)
    scheduler_state.record_event(
        job.id, now, _describe_placement(job, decision)
    )
    effects.changed_jobs.append(job)
    blocking_job_ids = frozenset(decision.victims) | _find_ending_jobs(
        scheduler_state, job
    )
    scheduler_state.add_gang(job, gangs.create_gang(job, blocking_job_ids))
    for victim in decision.victims:
        detail = f"by job {job.id} under its guarantee"
        step = gangs.end_gang(
            scheduler_state.gangs[victim], gangs.EndReason.RECLAIMED, detail
        )
        scheduler_state.apply(step, now, effects)
    gang = scheduler_state.gangs[job.id]
    if gang.phase is gangs.Phase.WAITING and not gang.blocking_job_ids:
        scheduler_state.apply(gangs.reserve_members(gang), now, effects)


def _find_ending_jobs(
    scheduler_state: SchedulerState, job: model.Job
) -> frozenset[str]:
    """Return jobs whose ending attempts still hold the job's accelerators."""
    masks = {member.worker: member.mask for member in job.members}
    return frozenset(
        gang.job_id
        for gang in scheduler_state.gangs.values()
        if gang.phase is gangs.Phase.ENDING
        and any(
            masks.get(member.worker, 0) & member.mask for member in gang.members
        )
    )


def _describe_placement(job: model.Job, decision: placement.Placement) -> str:
    where = ", ".join(
        f"{member.worker} x{member.size}" for member in decision.allocation
    )
    how = "under its guarantee" if decision.claims else "as a loan"
    after = f" after {', '.join(decision.victims)}" if decision.victims else ""
    return f"attempt {job.attempt} placed {how} on {where}{after}"
