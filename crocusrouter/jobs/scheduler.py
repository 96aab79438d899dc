"""Decisions: which waiting jobs start, and where."""

import collections
from collections.abc import Iterable
import dataclasses
import math

from crocusrouter.jobs import backfill
from crocusrouter.jobs import blame as blames
from crocusrouter.jobs import cells
from crocusrouter.jobs import claims
from crocusrouter.jobs import gang as gangs
from crocusrouter.jobs import homes
from crocusrouter.jobs import model
from crocusrouter.jobs import placement
from crocusrouter.jobs import queue
from crocusrouter.jobs.book import Book
from crocusrouter.jobs.book import build_ask
from crocusrouter.jobs.effects import Effects

_DECISIONS_PER_PASS = 8


@dataclasses.dataclass(frozen=True)
class State:
    """What one decision looks at.

    Attributes:
        floor: Spaces of the workers that can be used now.
        needs: Every guaranteed cell, with what is claimed of it.
        bound: The home of each cell.
        loans: What is used beyond the guarantees.
        valid_until: When a worker that is set aside comes back.
    """

    floor: cells.Floor
    needs: claims.Needs
    bound: homes.Homes
    loans: tuple[claims.Holding, ...]
    valid_until: float = math.inf


def schedule(book: Book, now: float) -> Effects:
    """Start what can start; at most a few decisions, to stay quick.

    Jobs of one shape that found no place are passed over in the same pass:
    the next one would not find one either.

    Args:
        book: The book; assigned jobs change in it.
        now: Unix time in seconds.

    Returns:
        The effects; no changed job means that nothing more can start.
    """
    effects = Effects()
    waiting = _list_waiting(book, now)
    if not waiting:
        return effects
    failed: set[tuple[str, str, int, tuple[str, ...]]] = set()
    decisions = 0
    state = recall(book, now)
    reservation: backfill.Reservation | None = None
    ordered = queue.order_queue(
        waiting,
        state.needs,
        _share_borrowed(book, state),
        book.catalog,
        book.estimates,
    )
    for job in ordered:
        shape = (
            job.customer,
            str(job.spec.level),
            job.spec.accelerators,
            job.failed_on,
        )
        if shape in failed:
            continue
        decision = _place(book, job, state, reservation, now)
        if isinstance(decision, placement.Waits):
            failed.add(shape)
            _note_wait(book, job, decision, now)
            if reservation is None:
                reservation = backfill.reserve_unit(
                    build_ask(job), state.floor, _list_ends(book, now), now
                )
            continue
        assign(book, job, decision, now, effects)
        state = _follow(book, job, decision, state, now)
        book.observed = (book.occupancy, state)
        decisions += 1
        if decisions == _DECISIONS_PER_PASS:
            break
    return effects


def recall(book: Book, now: float) -> State:
    """Return the state as worked out earlier, or afresh if it has changed."""
    kept = book.observed
    if isinstance(kept, tuple) and kept[0] == book.occupancy:
        state: State = kept[1]
        if now < state.valid_until:
            return state
    state = observe(book, now)
    book.observed = (book.occupancy, state)
    return state


def observe(book: Book, now: float) -> State:
    """Return the state on which the next decision rests."""
    needs, loans = claims.pin_holdings(
        claims.list_needs(book.catalog, book.data_centre),
        book.holdings.values(),
    )
    floor = build_floor(book, now, loans)
    book.homes = homes.bind(needs, floor, book.homes)
    returns = [
        worker.blame.aside_until
        for worker in book.workers.values()
        if book.is_aside(worker.name, now)
    ]
    valid_until = min(returns, default=math.inf)
    return State(floor, needs, book.homes, tuple(loans), valid_until)


def _follow(
    book: Book,
    job: model.Job,
    decision: placement.Placed,
    state: State,
    now: float,
) -> State:
    """Return the state after a decision, without looking at every gang."""
    floor = cells.remove_spot(state.floor, decision.spot)
    if decision.moved is not None:
        key, home = decision.moved
        book.homes = book.homes | {key: home}
    if decision.victims:
        # What they hold turns from lent to claimed step by step.
        return observe(book, now)
    if decision.claims:
        needs = state.needs
        for claim in decision.claims:
            needs = claims.pin(needs, job.customer, claim)
        return dataclasses.replace(
            state, floor=floor, needs=needs, bound=book.homes
        )
    for member in decision.spot:
        space = floor[member.worker]
        floor[member.worker] = space._replace(lent=space.lent | member.mask)
    loan = claims.Holding(job.id, job.customer, decision.spot)
    return dataclasses.replace(state, floor=floor, loans=(*state.loans, loan))


def _share_borrowed(book: Book, state: State) -> dict[str, float]:
    """Return the share of the data centre that each customer borrows."""
    total = sum(worker.accelerators for worker in book.workers.values())
    borrowed: collections.Counter[str] = collections.Counter()
    for loan in state.loans:
        borrowed[loan.customer] += loan.size
    return {name: size / max(1, total) for name, size in borrowed.items()}


def build_floor(
    book: Book, now: float, loans: Iterable[claims.Holding] = ()
) -> cells.Floor:
    """Return the spaces of the workers that can be used now.

    What is held by nothing but attempts that end counts as lent: a claim may
    take it at once, and its reservation waits for the stop.
    """
    kept: dict[str, int] = collections.defaultdict(int)
    ending: dict[str, int] = collections.defaultdict(int)
    lent: dict[str, int] = collections.defaultdict(int)
    for held in book.gangs.values():
        masks = ending if held.phase is gangs.Phase.ENDING else kept
        for member in held.members:
            masks[member.worker] |= member.mask
    for loan in loans:
        for member in loan.spot:
            lent[member.worker] |= member.mask
    floor = {}
    for worker in book.workers.values():
        if not (worker.known and worker.live):
            continue
        if blames.is_aside(worker.blame, now):
            continue
        name = worker.name
        taken = kept[name] | ending[name]
        for mask in worker.strays.values():
            taken |= mask
        free = ((1 << worker.accelerators) - 1) & ~taken
        reclaimable = lent[name] | (ending[name] & ~kept[name])
        floor[name] = cells.Space(name, worker.rack, free, reclaimable)
    return floor


def _list_waiting(book: Book, now: float) -> list[model.Job]:
    return [
        job
        for job in book.list_queued()
        if book.not_before.get(job.id, 0.0) <= now
    ]


def _list_ends(book: Book, now: float) -> backfill.Ends:
    """Return when what runs on each worker is expected to end.

    What has run longer than expected could end at any moment.
    """
    ends: dict[str, list[tuple[float, int]]] = collections.defaultdict(list)
    for held in book.gangs.values():
        job = book.jobs[held.job_id]
        expected_s = queue.estimate_job(book.estimates, job)
        began = book.began.get(held.job_id, now)
        for member in held.members:
            ends[member.worker].append(
                (max(now, began + expected_s), member.mask)
            )
    return ends


def _place(
    book: Book,
    job: model.Job,
    state: State,
    reservation: backfill.Reservation | None,
    now: float,
) -> placement.Placed | placement.Waits:
    expected_s = queue.estimate_job(book.estimates, job)
    floor = backfill.respect(reservation, state.floor, now + expected_s)
    if job.failed_on:
        # Workers where it failed offer nothing, but stay on the floor: homes
        # of cells may be there.
        floor = {
            name: space._replace(free=0, lent=0)
            if name in job.failed_on
            else space
            for name, space in floor.items()
        }
    situation = placement.Situation(
        floor, state.needs, state.bound, state.loans
    )
    return placement.place(build_ask(job), situation)


def _note_wait(
    book: Book, job: model.Job, waits: placement.Waits, now: float
) -> None:
    if book.waits.get(job.id) != waits:
        book.waits[job.id] = waits
        book.note(job.id, now, f"waits: {waits.reason}: {waits.detail}")


def assign(
    book: Book,
    job: model.Job,
    decision: placement.Placed,
    now: float,
    effects: Effects,
) -> None:
    """Open the job's next attempt and end the loans in its way."""
    job = dataclasses.replace(
        job,
        state=model.JobState.ASSIGNED,
        attempt=job.attempt + 1,
        members=decision.spot,
        claims=decision.claims,
    )
    book.put(job)
    book.waits.pop(job.id, None)
    book.not_before.pop(job.id, None)
    book.note(job.id, now, _describe(job, decision))
    effects.changed.append(job)
    in_the_way = frozenset(decision.victims) | _find_ending(book, job)
    book.open_gang(job, gangs.open_gang(job, in_the_way))
    for victim in decision.victims:
        why = f"by job {job.id} under its guarantee"
        step = gangs.end_gang(book.gangs[victim], gangs.End.RECLAIMED, why)
        book.apply(step, now, effects)
    opened = book.gangs[job.id]
    if opened.phase is gangs.Phase.WAITING and not opened.victims:
        book.apply(gangs.reserve_all(opened), now, effects)


def _find_ending(book: Book, job: model.Job) -> frozenset[str]:
    """Return ending attempts that still hold accelerators of the job."""
    masks = {member.worker: member.mask for member in job.members}
    return frozenset(
        held.job_id
        for held in book.gangs.values()
        if held.phase is gangs.Phase.ENDING
        and any(masks.get(m.worker, 0) & m.mask for m in held.members)
    )


def _describe(job: model.Job, decision: placement.Placed) -> str:
    where = ", ".join(f"{m.worker} x{m.size}" for m in decision.spot)
    how = "under its guarantee" if decision.claims else "as a loan"
    after = f" after {', '.join(decision.victims)}" if decision.victims else ""
    return f"attempt {job.attempt} placed {how} on {where}{after}"
