"""Room kept for guaranteed work while what was in its way still ends."""

from collections.abc import Iterator
import dataclasses

from crocusrouter import work

# A reservation that is still not free after this many times what stops are
# seen to take, and a repeated order, is dropped and its step planned anew. With
# a fixed second where stops take up to 0.9 s, 6 were dropped in a day of 34 s.
_STOP_FACTOR = 1.5
_REPEATED_ORDER_S = 0.7


@dataclasses.dataclass(frozen=True)
class _Reservation:
    placement: work.Placement
    since: float


class Reservations:
    """All reservations of one owner."""

    def __init__(self) -> None:
        self._held: dict[work.StepKey, _Reservation] = {}

    def add(self, placement: work.Placement, now: float) -> None:
        """Keep room for a placement."""
        self._held[placement.step] = _Reservation(placement, now)

    def list_spots(self) -> Iterator[tuple[work.StepKey, dict[int, str]]]:
        """Yield each reserved step with its workers by index."""
        for key, held in self._held.items():
            yield key, held.placement.spots

    def take_ready(
        self, book: work.PoolState, now: float
    ) -> list[work.Placement]:
        """Return the placements whose room is free now, and drop them.

        Reservations that can't be kept any more are dropped too.
        """
        ready = []
        stop_s = book.stop_durations.expected_s
        longest_s = _STOP_FACTOR * stop_s + _REPEATED_ORDER_S
        for key, held in list(self._held.items()):
            placement = held.placement
            if not _is_wanted(book, placement):
                del self._held[key]
            elif _has_room(book, placement, now):
                ready.append(placement)
                del self._held[key]
            elif now > held.since + longest_s:
                book.note("reservation:dropped", step=key)
                del self._held[key]
        return ready


def _is_wanted(book: work.PoolState, placement: work.Placement) -> bool:
    held = book.live_jobs.get(placement.step.job)
    found = book.find_tracked_step(placement.step)
    if held is None or found is None:
        return False
    return set(placement.spots) <= found.waiting_indices


def _has_room(
    book: work.PoolState, placement: work.Placement, now: float
) -> bool:
    found = book.find_tracked_step(placement.step)
    assert found is not None
    workers = list(placement.spots.values())
    advised = book.jobs[placement.step.job].job.advised
    for name in set(workers):
        worker = book.workers.get(name)
        if worker is None or not worker.may_start_tasks(now):
            return False
        if advised and not found.permits.find_ticket(name, now):
            # The ticket has run out while victims were ending; the step is
            # planned anew once there is another.
            return False
        if worker.free.count(found.step.charge) < workers.count(name):
            return False
    return True
