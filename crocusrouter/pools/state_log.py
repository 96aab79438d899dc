"""Writes what changes in a pool's state to the log and to the counters."""

from crocusrouter import work
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log
from crocusrouter.work import speed_monitor

# Events of the pool's state that are also counted as metrics.
_EVENT_METRICS = {
    "run:duplicate": "run-duplicate",
    "run:kept": "run-spared-from-stop",
    "run:lost": "run-lost-with-its-worker",
    "run:missing": "run-missing-on-its-worker",
    "run:stop-repeated": "stop-repeated",
    "run:stray-ended": "stray-run-ended",
    "run:on-leaving": "start-on-leaving-worker",
    "step:waits": "step-waits-beside-room",
    "worker:restarted": "worker-restarted",
    "worker:slowed": "worker-slowed",
}


class StateLog:
    """Logs and counts the changes of one pool's state."""

    def __init__(
        self, pool: str, pool_state: work.PoolState, metrics: Metrics
    ) -> None:
        self._pool = pool
        self._pool_state = pool_state
        self._metrics = metrics
        self._shortfall = 0
        self._speed_monitor = speed_monitor.SpeedMonitor()

    def write_events(self, now: float, wall: float) -> None:
        """Log and count the events since the last call.

        Args:
            now: Steady time in seconds.
            wall: Unix time in seconds.
        """
        # The queue is bounded; the first estimates of a large pool would push
        # out what it holds.
        self._write_queued()
        self._speed_monitor.note_changes(self._pool_state, now, wall)
        self._write_queued()

    def _write_queued(self) -> None:
        while self._pool_state.events:
            event, fields = self._pool_state.events.popleft()
            log(event, pool=self._pool, **fields)
            if event in _EVENT_METRICS:
                self._metrics.count_event(_EVENT_METRICS[event])
            after_cancel_s = fields.get("after_cancel_s")
            if isinstance(after_cancel_s, float):
                self._metrics.record_cancel_to_end(after_cancel_s)

    def write_shortfall(self) -> None:
        """Report when the open data centres can't hold all guarantees.

        The caller must have heard from all workers, or their room is missing.
        """
        shortfall = work.measure_shortfall(self._pool_state)
        if shortfall == self._shortfall:
            return
        if shortfall > self._shortfall:
            self._metrics.count_event("guarantees-short")
        self._shortfall = shortfall
        log(
            "guarantees:short" if shortfall else "guarantees:whole",
            pool=self._pool,
            missing_accelerators=shortfall,
            closed=sorted(self._pool_state.closed_data_centres),
        )
