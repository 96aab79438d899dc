"""Reports the estimated speeds of a pool's workers to operators."""

import math

from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import speeds

# Interval of the check for workers that run below their own speed. It passes
# over all workers, and decisions are made up to 100 times a second.
_SLOWED_CHECK_INTERVAL_S = 1.0


class SpeedMonitor:
    """Notes changes of speeds, groups and slowed workers as events."""

    def __init__(self) -> None:
        self._was_split = False
        self._slowed_since: dict[str, float] = {}
        self._slowed_checked_at = -math.inf

    def note_changes(
        self, pool_state: pool_states.PoolState, now: float, wall: float
    ) -> None:
        """Note what has changed since the last call.

        Args:
            pool_state: The pool; its events get the notes.
            now: Steady time in seconds.
            wall: Unix time in seconds; written in place of steady times.
        """
        for change in pool_state.speeds.take_changes():
            _note_speed(pool_state, change, now, wall)
        self._note_groups(pool_state)
        if now >= self._slowed_checked_at + _SLOWED_CHECK_INTERVAL_S:
            self._slowed_checked_at = now
            self._note_slowed(pool_state, now)

    def _note_groups(self, pool_state: pool_states.PoolState) -> None:
        groups = pool_state.speeds.find_groups()
        if groups.is_split == self._was_split:
            return
        self._was_split = groups.is_split
        if not groups.is_split:
            pool_state.note("speeds:alike", workers=len(pool_state.workers))
            return
        pool_state.note(
            "speeds:split",
            **count_workers_by_speed(pool_state),
            fast_speed=round(groups.fast_speed, 2),
            slow_speed=round(groups.slow_speed, 2),
        )

    def _note_slowed(
        self, pool_state: pool_states.PoolState, now: float
    ) -> None:
        slowed_ids = {
            worker_id
            for worker_id in pool_state.workers
            if pool_state.speeds.is_slowed(worker_id, now)
        }
        for worker_id in sorted(slowed_ids - self._slowed_since.keys()):
            self._slowed_since[worker_id] = now
            speed = pool_state.speeds.find_speed(worker_id)
            pool_state.note(
                "worker:slowed",
                worker=worker_id,
                speed=_round_speed(speed),
                runs=len(pool_state.workers[worker_id].runs),
            )
        for worker_id in sorted(self._slowed_since.keys() - slowed_ids):
            since = self._slowed_since.pop(worker_id)
            if worker_id in pool_state.workers:
                pool_state.note(
                    "worker:not-slowed",
                    worker=worker_id,
                    slowed_s=round(now - since, 1),
                )


def count_workers_by_speed(
    pool_state: pool_states.PoolState,
) -> dict[str, int]:
    """Return how many workers are in the groups fast, slow and unknown.

    All workers are unknown while there are no groups.
    """
    groups = pool_state.speeds.find_groups()
    worker_ids = pool_state.workers.keys()
    fast, slow = (
        len(worker_ids & group) for group in (groups.fast, groups.slow)
    )
    return {
        "fast": fast,
        "slow": slow,
        "unknown": len(worker_ids) - fast - slow,
    }


def _note_speed(
    pool_state: pool_states.PoolState,
    change: speeds.SpeedChange,
    now: float,
    wall: float,
) -> None:
    pool_state.note(
        "worker:speed",
        worker=change.worker_id,
        before=_round_speed(change.before),
        after=round(change.after, 2),
        runs=change.runs,
        since=round(wall - (now - change.since)),
    )


def _round_speed(speed: float | None) -> float | None:
    return None if speed is None else round(speed, 2)
