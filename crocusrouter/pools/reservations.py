"""Reserves room for guaranteed work while runs in its way are stopped."""

from collections.abc import Iterator
import dataclasses

from crocusrouter import work
from crocusrouter.work import waiting_steps

# A reservation whose room is not free after the expected stop time times this
# factor, plus the time of a repeated order, is dropped and its step planned
# again.
_STOP_FACTOR = 1.5
_REPEATED_ORDER_S = 0.7


@dataclasses.dataclass(frozen=True)
class _Reservation:
    placement: work.Placement
    since: float


class Reservations:
    """All reservations of one owner."""

    def __init__(self) -> None:
        self._reservations: dict[work.StepKey, _Reservation] = {}

    def add(self, placement: work.Placement, now: float) -> None:
        """Reserve room for a placement."""
        self._reservations[placement.step] = _Reservation(placement, now)

    def list_spots(self) -> Iterator[tuple[work.StepKey, dict[int, str]]]:
        """Yield each reserved step with its workers by index."""
        for step_key, reservation in self._reservations.items():
            yield step_key, reservation.placement.spots

    def take_ready(
        self, pool_state: work.PoolState, now: float
    ) -> list[work.Placement]:
        """Remove and return the placements whose room is free now.

        Reservations that can't be kept any longer are dropped too.
        """
        if not self._reservations:
            return []
        ready: list[work.Placement] = []
        blocked_jobs = pool_state.list_blocked_jobs()
        taken: dict[str, work.Room] = {}
        expected_stop_s = pool_state.stop_durations.expected_s
        max_age_s = _STOP_FACTOR * expected_stop_s + _REPEATED_ORDER_S
        for step_key, reservation in list(self._reservations.items()):
            placement = reservation.placement
            if not _is_still_waiting(pool_state, placement):
                del self._reservations[step_key]
            elif _is_blocked(pool_state, placement, blocked_jobs):
                pool_state.note("reservation:blocked", step=step_key)
                del self._reservations[step_key]
            elif _is_any_closed(pool_state, placement):
                pool_state.note("reservation:closed", step=step_key)
                del self._reservations[step_key]
            elif _is_any_gone(pool_state, placement):
                pool_state.note("reservation:worker-gone", step=step_key)
                del self._reservations[step_key]
            elif _has_room(pool_state, placement, taken, now):
                ready.append(placement)
                _take_room(pool_state, placement, taken)
                del self._reservations[step_key]
            elif now > reservation.since + max_age_s:
                pool_state.note("reservation:dropped", step=step_key)
                del self._reservations[step_key]
        return ready


def _is_still_waiting(
    pool_state: work.PoolState, placement: work.Placement
) -> bool:
    job_work = pool_state.live_jobs.get(placement.step.job)
    step_work = pool_state.find_tracked_step(placement.step)
    if job_work is None or step_work is None:
        return False
    return set(placement.spots) <= step_work.waiting_indices


def _is_blocked(
    pool_state: work.PoolState,
    placement: work.Placement,
    blocked_jobs: frozenset[str],
) -> bool:
    """Tell whether nothing of the job may start since the reservation."""
    tracked_job = pool_state.live_jobs[placement.step.job]
    return waiting_steps.find_job_block(tracked_job, blocked_jobs) is not None


def _is_any_closed(
    pool_state: work.PoolState, placement: work.Placement
) -> bool:
    """Tell whether a worker's data centre has been closed to new work."""
    workers = map(pool_state.workers.get, placement.spots.values())
    return any(worker is not None and worker.closed for worker in workers)


def _is_any_gone(pool_state: work.PoolState, placement: work.Placement) -> bool:
    """Tell whether a worker won't take tasks soon, or no more at all."""
    workers = map(pool_state.workers.get, placement.spots.values())
    return any(
        worker is None
        or not worker.may_take_tasks_later
        or worker.silent_since is not None
        for worker in workers
    )


def _take_room(
    pool_state: work.PoolState,
    placement: work.Placement,
    taken: dict[str, work.Room],
) -> None:
    """Count the room of a placement that is about to start as taken."""
    step_work = pool_state.find_tracked_step(placement.step)
    assert step_work is not None
    for incarnation in placement.spots.values():
        room = taken.get(incarnation, work.Room())
        taken[incarnation] = room.plus(step_work.step.charge)


def _has_room(
    pool_state: work.PoolState,
    placement: work.Placement,
    taken: dict[str, work.Room],
    now: float,
) -> bool:
    step_work = pool_state.find_tracked_step(placement.step)
    assert step_work is not None
    incarnations = list(placement.spots.values())
    is_advised = pool_state.jobs[placement.step.job].job.advised
    for incarnation in set(incarnations):
        worker_state = pool_state.workers.get(incarnation)
        if worker_state is None or not worker_state.may_start_tasks(now):
            return False
        if is_advised and not step_work.permits.find_ticket(incarnation, now):
            # The ticket has expired while victims were ending; the step is
            # planned again once there is a new one.
            return False
        free = worker_state.free.minus(taken.get(incarnation, work.Room()))
        if free.count(step_work.step.charge) < incarnations.count(incarnation):
            return False
    return True
