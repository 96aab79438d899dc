"""Persists the estimated speeds of a pool's workers for the owner's successor.

A successor without the record measures the workers again, which takes two runs
on each of them. An estimate only orders the workers that are tried, so a lost
or outdated record never blocks work, and no failure here ends an owner.

Rows hold the Unix second since when a worker has been observed, for operators.
In memory that is a steady time; a step of the wall clock moves neither the
estimates nor the times of writes.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

import cbor2
import trio

from crocusrouter import work
from crocusrouter.pools import clocks
from crocusrouter.pools import keys
from crocusrouter.pools import owner_leases
from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import log
from crocusrouter.work import speeds

_WRITE_INTERVAL_S = 5.0
# An owner that loads waits no longer than this for the record. Jobs wait
# meanwhile, which costs more than speeds that are learned again.
_READ_TIMEOUT_S = 0.3
# A smaller change of an estimate, up or down, is not worth a write.
_SPEED_STEP = 1.25
# Speeds are stored in hundredths; a speed of 0 would be unreadable.
_MIN_SPEED = 0.01
_MAX_SPEED = 100.0


class SpeedRecord:
    """Maintains the record of workers' speeds of one pool."""

    def __init__(
        self,
        store: key_value.KeyValueStore,
        owner_lease: owner_leases.OwnerLease,
        pool_state: work.PoolState,
        clock: clocks.Clock,
    ) -> None:
        """Prepare; `load` reads the record of the previous owner.

        Args:
            store: The key-value service.
            owner_lease: This owner's lease; guards each write.
            pool_state: The workers of the pool and their speeds.
            clock: Converts steady times to Unix seconds and back.
        """
        self._store = store
        self._owner_lease = owner_lease
        self._pool_state = pool_state
        self._clock = clock
        self._key = keys.SPEEDS + owner_lease.pool
        self._revision = 0
        self._rows: list[tuple[str, float, int, float]] = []
        self._recorded_speeds: dict[str, float] = {}

    async def load(self) -> None:
        """Read the previous owner's record; without it there are no rows."""
        with trio.move_on_after(_READ_TIMEOUT_S) as timeout:
            try:
                record = await self._store.read(self._key)
            except client.StoreUnavailableError as error:
                log("speeds:unread", key=self._key, cause=str(error))
                return
        if timeout.cancelled_caught:
            log("speeds:unread", key=self._key, cause="timeout")
            return
        if record is not None:
            self._revision = record.revision
            self._rows = _parse_rows(record)
            self._recorded_speeds = {row[0]: row[1] for row in self._rows}

    def restore(self) -> None:
        """Add the loaded estimates of known incarnations to the state."""
        now, wall = self._clock.steady(), self._clock.wall()
        self._pool_state.speeds.restore(
            speeds.SpeedEstimate(
                incarnation,
                speed,
                runs,
                # The wall clock may have been set back since the write.
                min(now, now - (wall - since)),
            )
            for incarnation, speed, runs, since in self._rows
            if incarnation in self._pool_state.workers
        )
        self._rows = []

    async def run(self) -> None:
        """Write changes until cancelled.

        A write that fails is followed by one of the newest estimates an
        interval later.
        """
        while True:
            await trio.sleep(_WRITE_INTERVAL_S)
            if not self._pool_state.speeds.find_groups().is_split:
                continue
            estimates = self._pool_state.speeds.list_estimates()
            if is_outdated(self._recorded_speeds, estimates):
                await self._write(estimates)

    async def _write(self, estimates: list[speeds.SpeedEstimate]) -> None:
        outcome = await self._store.write(
            (
                self._owner_lease.guard,
                key_value.Guard(self._key, self._revision),
            ),
            (key_value.Write(self._key, self._encode(estimates)),),
        )
        if isinstance(outcome, key_value.Written):
            self._revision = outcome.revision
            self._recorded_speeds = {
                estimate.worker_id: estimate.speed for estimate in estimates
            }
        elif isinstance(outcome, key_value.Mismatched):
            current_record = outcome.current.get(self._key)
            self._revision = current_record.revision if current_record else 0

    def _encode(self, estimates: Iterable[speeds.SpeedEstimate]) -> bytes:
        now, wall = self._clock.steady(), self._clock.wall()
        return cbor2.dumps(
            [
                [
                    estimate.worker_id,
                    min(_MAX_SPEED, max(_MIN_SPEED, round(estimate.speed, 2))),
                    estimate.runs,
                    round(wall - (now - estimate.since)),
                ]
                for estimate in sorted(
                    estimates, key=lambda estimate: estimate.worker_id
                )
            ]
        )


def is_outdated(
    recorded_speeds: Mapping[str, float],
    estimates: Iterable[speeds.SpeedEstimate],
) -> bool:
    """Return whether the record must be replaced by these estimates.

    Args:
        recorded_speeds: Speeds in the record by incarnation.
        estimates: The estimates now.

    >>> estimate = speeds.SpeedEstimate("w0@1", 1.2, 2, 0.0)
    >>> is_outdated({"w0@1": 1.0}, [estimate])
    False
    >>> is_outdated({"w0@1": 0.9}, [estimate])
    True
    >>> is_outdated({"w0@1": 1.2, "w1@1": 1.0}, [estimate])
    True
    """
    current_speeds = {
        estimate.worker_id: estimate.speed for estimate in estimates
    }
    if current_speeds.keys() != recorded_speeds.keys():
        return True
    return any(
        max(speed, recorded_speeds[worker_id])
        >= _SPEED_STEP * min(speed, recorded_speeds[worker_id])
        for worker_id, speed in current_speeds.items()
    )


def _parse_rows(
    record: records.Record,
) -> list[tuple[str, float, int, float]]:
    """Decode the record; an unreadable record has no rows.

    Further columns of a row are ignored: a later version may have added them.
    """
    try:
        return [
            (
                str(incarnation),
                _check_speed(float(speed)),
                int(runs),
                _check_finite(float(since)),
            )
            for incarnation, speed, runs, since, *_ in cbor2.loads(record.value)
        ]
    except (
        cbor2.CBORDecodeError,
        OverflowError,
        TypeError,
        ValueError,
    ) as error:
        log("speeds:unreadable", key=record.key, error=str(error))
        return []


def _check_speed(speed: float) -> float:
    if not 0 < speed <= _MAX_SPEED:
        raise ValueError(f"speed {speed} is not between 0 and {_MAX_SPEED}")
    return speed


def _check_finite(number: float) -> float:
    if not math.isfinite(number):
        raise ValueError(f"{number} is not finite")
    return number
