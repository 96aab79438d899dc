"""Tests for the record of workers' speeds and what a successor takes of it."""

import itertools
import math

import cbor2
import pytest
import trio

from crocusrouter.pools import keys
from crocusrouter.pools import owner_leases
from crocusrouter.pools import speed_record
from crocusrouter.pools import state_log
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics
from crocusrouter.work import speeds
from crocusrouter.work.tests import build
from crocusrouter.work.tests import fake_speeds
from standins import emulator
from standins.emulator import cluster as clusters
from standins.emulator import store as stores

_KEY = keys.SPEEDS + "p"
_INTERVAL_S = 5.0
# By the end of the first interval and the write.
_WRITTEN_S = _INTERVAL_S + 0.1


class _Clock:
    """A clock whose wall time a test can step."""

    steady = staticmethod(trio.current_time)

    def __init__(self, wall_at_start=1e6):
        self.wall_at_start = wall_at_start

    def wall(self):
        return self.wall_at_start + trio.current_time()


def _estimate(worker_id, speed=1.7, runs=3, since=0.0):
    return speeds.SpeedEstimate(worker_id, speed, runs, since)


def _make_pool_state(*estimates, split=True):
    """Return a state with two workers and the given estimates."""
    pool_state = build.make_pool_state()
    groups = fake_speeds.make_split("w0", slow=("w1",)) if split else None
    pool_state.speeds = fake_speeds.FakeSpeeds(estimates, groups)
    return pool_state


async def _open_record(store, pool_state, entry="e0", clock=None):
    """Return the record under an owner lease that has just begun."""
    view = stores.StoreView(store, entry)
    clock = clock or _Clock()
    owner_lease = owner_leases.OwnerLease(
        view, "p", owner_leases.Holder(entry), clock
    )
    assert await owner_lease.acquire()
    return speed_record.SpeedRecord(view, owner_lease, pool_state, clock)


async def _open_loaded(store, pool_state, entry="e0", clock=None):
    """Return the record of an owner that has loaded."""
    record = await _open_record(store, pool_state, entry, clock)
    await record.load()
    record.restore()
    return record


def _read_rows(store):
    item = store.items.get(_KEY)
    return cbor2.loads(item.value) if item is not None else None


def _read_speeds(store):
    return {worker_id: speed for worker_id, speed, *_ in _read_rows(store)}


def _count_writes(store):
    return sum(
        isinstance(event, records.Changed) and event.record.key == _KEY
        for event in store.history
    )


def _end_lease(store):
    """Let the owner's lease lapse, as after it was killed or cut off."""
    store.remove(keys.build_owner_key("p"))


async def test_successor_gets_the_estimates(autojump_clock):
    """A successor needs two runs on each worker to measure them again."""
    store = stores.Store(1)
    pool_state = _make_pool_state(_estimate("w0", 1.7049, 3, since=-60.0))
    record = await _open_loaded(store, pool_state)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(record.run)
        await trio.sleep(_WRITTEN_S)
        nursery.cancel_scope.cancel()
    assert _read_rows(store) == [["w0", 1.7, 3, 999_940]]
    _end_lease(store)
    successor_state = _make_pool_state()
    await _open_loaded(store, successor_state, "e1")
    assert successor_state.speeds.list_estimates() == [
        _estimate("w0", 1.7, 3, since=pytest.approx(-60.0, abs=0.1))
    ]


@pytest.mark.parametrize("killed_after_s", [0.5, 4.5])
async def test_owner_killed_before_its_write_leaves_the_older_record(
    killed_after_s, autojump_clock
):
    """The successor starts from the older speeds and learns again."""
    store = stores.Store(1)
    pool_state = _make_pool_state(_estimate("w0", 1.0))
    record = await _open_loaded(store, pool_state)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(record.run)
        await trio.sleep(_WRITTEN_S)
        pool_state.speeds.restore([_estimate("w0", 2.0)])
        await trio.sleep(killed_after_s)
        nursery.cancel_scope.cancel()
    _end_lease(store)
    successor_state = _make_pool_state()
    successor = await _open_loaded(store, successor_state, "e1")
    assert successor_state.speeds.find_speed("w0") == 1.0
    successor_state.speeds.restore([_estimate("w0", 2.0)])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(successor.run)
        await trio.sleep(_WRITTEN_S)
        nursery.cancel_scope.cancel()
    assert _read_speeds(store) == {"w0": 2.0}


async def test_earlier_of_two_owners_writes_nothing(autojump_clock):
    """A paused owner must not replace the record of its successor."""
    store = stores.Store(1)
    earlier_state = _make_pool_state(_estimate("w0", 1.0))
    earlier = await _open_loaded(store, earlier_state)
    _end_lease(store)
    later_state = _make_pool_state(_estimate("w0", 2.0))
    later = await _open_loaded(store, later_state, "e1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(later.run)
        nursery.start_soon(earlier.run)
        for number in range(4):
            earlier_state.speeds.restore([_estimate("w0", 4.0 + 4 * number)])
            await trio.sleep(_WRITTEN_S)
            assert _read_speeds(store) == {"w0": 2.0}
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    "fault",
    [
        stores.StoreFault.BUSY,
        stores.StoreFault.SILENT,
        stores.StoreFault.LOST,
        stores.StoreFault.LATE,
    ],
)
async def test_newest_estimates_are_written_after_an_outage(
    fault, autojump_clock
):
    """A write that failed, or whose answer was lost, must not be the last."""
    store = stores.Store(1)
    pool_state = _make_pool_state(_estimate("w0", 1.0))
    record = await _open_loaded(store, pool_state)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(record.run)
        store.fault = fault
        for number in range(6):
            pool_state.speeds.restore([_estimate("w0", 1.5**number)])
            await trio.sleep(_INTERVAL_S)
        store.fault = stores.StoreFault.NONE
        # One try may only learn the revision that a lost answer had named.
        await trio.sleep(3 * _WRITTEN_S)
        nursery.cancel_scope.cancel()
    assert _read_speeds(store) == {"w0": round(1.5**5, 2)}


@pytest.mark.parametrize(
    "fault", [stores.StoreFault.BUSY, stores.StoreFault.SILENT]
)
async def test_owner_loads_although_the_read_fails(fault, autojump_clock):
    """Jobs must not wait for speeds while the store is unavailable."""
    store = stores.Store(1)
    store.put(_KEY, cbor2.dumps([["w0", 1.7, 3, 999_940]]))
    pool_state = _make_pool_state()
    record = await _open_record(store, pool_state)
    store.fault = fault
    began_at = trio.current_time()
    await record.load()
    assert trio.current_time() - began_at < 0.5
    record.restore()
    assert pool_state.speeds.list_estimates() == []
    # The record that could not be read is replaced all the same.
    store.fault = stores.StoreFault.NONE
    pool_state.speeds.restore([_estimate("w1", 0.7)])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(record.run)
        await trio.sleep(2 * _WRITTEN_S)
        nursery.cancel_scope.cancel()
    assert _read_speeds(store) == {"w1": 0.7}


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        cbor2.dumps(None),
        cbor2.dumps(5),
        cbor2.dumps("wide"),
        cbor2.dumps([["w0", 1.7, 3]]),
        cbor2.dumps([["w0", "fast", 3, 999_940]]),
        cbor2.dumps([["w0", 0.0, 3, 999_940]]),
        cbor2.dumps([["w0", -1.7, 3, 999_940]]),
        cbor2.dumps([["w0", math.nan, 3, 999_940]]),
        cbor2.dumps([["w0", 1.7, math.inf, 999_940]]),
        cbor2.dumps([["w0", 1.7, 3, math.inf]]),
        cbor2.dumps([["w0", 10**400, 3, 999_940]]),
        cbor2.dumps([["w1", 0.7, 3, 999_940], ["w0", None, 3, 999_940]]),
    ],
)
async def test_unreadable_record_restores_nothing_and_is_replaced(
    value, autojump_clock
):
    """An error here would end every owner that takes the pool over."""
    store = stores.Store(1)
    store.put(_KEY, value)
    pool_state = _make_pool_state()
    record = await _open_loaded(store, pool_state)
    assert pool_state.speeds.list_estimates() == []
    pool_state.speeds.restore([_estimate("w0")])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(record.run)
        await trio.sleep(_WRITTEN_S)
        nursery.cancel_scope.cancel()
    assert _read_speeds(store) == {"w0": 1.7}


async def test_only_known_incarnations_are_restored(autojump_clock):
    """A worker that restarted may be of another kind.

    Columns that a later version has added to a row are ignored.
    """
    store = stores.Store(1)
    rows = [
        ["w0", 1.7, 3, 999_940, "later"],
        ["w1@5", 0.7, 3, 999_940],
        ["gone", 0.7, 3, 999_940],
    ]
    store.put(_KEY, cbor2.dumps(rows))
    pool_state = _make_pool_state()
    record = await _open_loaded(store, pool_state)
    assert [e.worker_id for e in pool_state.speeds.list_estimates()] == ["w0"]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(record.run)
        await trio.sleep(_WRITTEN_S)
        nursery.cancel_scope.cancel()
    assert _read_speeds(store) == {"w0": 1.7}


@pytest.mark.parametrize("step_s", [-1e7, -3600.0, 3600.0, 1e7])
async def test_step_of_the_wall_clock_causes_no_write(step_s, autojump_clock):
    """The Unix second is for operators; only steady time decides."""
    store = stores.Store(1)
    clock = _Clock()
    pool_state = _make_pool_state(_estimate("w0"))
    record = await _open_loaded(store, pool_state, clock=clock)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(record.run)
        await trio.sleep(_WRITTEN_S)
        clock.wall_at_start += step_s
        await trio.sleep(4 * _INTERVAL_S)
        nursery.cancel_scope.cancel()
    assert _count_writes(store) == 1


@pytest.mark.parametrize("step_s", [-1e7, 1e7])
async def test_restored_estimate_is_not_of_the_future(step_s, autojump_clock):
    """The successor's wall clock may differ from that of the writer."""
    store = stores.Store(1)
    store.put(_KEY, cbor2.dumps([["w0", 1.7, 3, 999_940]]))
    pool_state = _make_pool_state()
    await _open_loaded(store, pool_state, clock=_Clock(1e6 + step_s))
    [estimate] = pool_state.speeds.list_estimates()
    assert estimate.since <= trio.current_time()
    assert (estimate.speed, estimate.runs) == (1.7, 3)


async def test_at_most_one_write_in_five_seconds(autojump_clock):
    """Speeds that change with each report must not load the store."""
    store = stores.Store(1)
    pool_state = _make_pool_state()
    record = await _open_loaded(store, pool_state)
    write_times = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(record.run)
        for tenths in range(301):
            pool_state.speeds.restore([_estimate("w0", 1.05**tenths)])
            await trio.sleep(0.1)
            if _count_writes(store) > len(write_times):
                write_times.append(trio.current_time())
        nursery.cancel_scope.cancel()
    assert len(write_times) in (5, 6)
    for earlier, later in itertools.pairwise(write_times):
        # Times are sampled at tenths of a second.
        assert later - earlier >= _INTERVAL_S - 0.1


@pytest.mark.parametrize(
    ("estimates", "split", "expected"),
    [
        # Workers are alike: placement is as before, and nothing is kept.
        ([_estimate("w0", 3.0)], False, 0),
        ([], True, 0),
        ([_estimate("w0", 1.24)], True, 0),
        ([_estimate("w0", 1 / 1.24)], True, 0),
        ([_estimate("w0", 1.0, runs=8)], True, 0),
        ([_estimate("w0", 1.25)], True, 1),
        ([_estimate("w0", 0.8)], True, 1),
        ([_estimate("w1", 1.0)], True, 1),  # another worker has come
    ],
)
async def test_only_changes_that_matter_are_written(
    estimates, split, expected, autojump_clock
):
    """A write for each change of an estimate would load the store."""
    store = stores.Store(1)
    store.put(_KEY, cbor2.dumps([["w0", 1.0, 3, 999_940]]))
    pool_state = _make_pool_state(split=split)
    record = await _open_loaded(store, pool_state)
    pool_state.speeds.restore(estimates)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(record.run)
        await trio.sleep(3 * _WRITTEN_S)
        nursery.cancel_scope.cancel()
    assert _count_writes(store) - 1 == expected


async def test_worker_that_is_gone_leaves_the_record(autojump_clock):
    store = stores.Store(1)
    pool_state = _make_pool_state(_estimate("w0"), _estimate("w1", 0.7))
    record = await _open_loaded(store, pool_state)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(record.run)
        await trio.sleep(_WRITTEN_S)
        pool_state.forget_worker("w1")
        await trio.sleep(_INTERVAL_S)
        nursery.cancel_scope.cancel()
    assert _read_speeds(store) == {"w0": 1.7}


async def test_very_low_speed_stays_readable(autojump_clock):
    """A speed that is rounded to zero made the whole record unreadable."""
    store = stores.Store(1)
    pool_state = _make_pool_state(_estimate("w0", 0.001), _estimate("w1"))
    record = await _open_loaded(store, pool_state)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(record.run)
        await trio.sleep(_WRITTEN_S)
        nursery.cancel_scope.cancel()
    _end_lease(store)
    successor_state = _make_pool_state()
    await _open_loaded(store, successor_state, "e1")
    assert successor_state.speeds.find_speed("w1") == 1.7


@pytest.mark.parametrize(
    ("event", "counter"),
    [
        ("run:kept", "run-spared-from-stop"),
        ("worker:slowed", "worker-slowed"),
        ("worker:restarted", "worker-restarted"),
        ("worker:speed", None),
    ],
)
def test_events_are_logged_and_counted(event, counter, monkeypatch):
    lines = []
    monkeypatch.setattr(
        state_log, "log", lambda name, **fields: lines.append((name, fields))
    )
    pool_state = _make_pool_state(split=False)
    pool_state.events.clear()
    pool_state.note(event, worker="w0")
    metrics = Metrics()
    state_log.StateLog("p", pool_state, metrics).write_events(0.0, 1e6)
    assert lines == [(event, {"pool": "p", "worker": "w0"})]
    expected = {f"event:{counter}": 1} if counter else {}
    assert metrics.counts == expected
    metrics.close()


async def test_estimates_pass_from_a_killed_owner_to_its_successor(
    autojump_clock, monkeypatch
):
    """The whole way: owner, store, successor; and what operators see of it."""
    monkeypatch.setattr(speeds, "WorkerSpeeds", fake_speeds.FakeSpeeds)
    cluster = emulator.Cluster(3)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        owner_name = cluster.find_owner()
        owner = cluster.entries[owner_name].pool_owners[clusters.POOL]
        incarnations = sorted(owner.pool_state.workers)
        owner_speeds = owner.pool_state.speeds
        owner_speeds.restore(
            _estimate(name, 1.7 if number < 3 else 0.7)
            for number, name in enumerate(incarnations)
        )
        owner_speeds.groups = fake_speeds.make_split(
            *incarnations[:3], slow=incarnations[3:]
        )
        owner_speeds.slowed = {incarnations[0]}
        await trio.sleep(_INTERVAL_S + 1.0)
        metrics = cluster.entries[owner_name].metrics
        exposed_metrics = metrics.expose().decode()
        slowed_count = metrics.counts["event:worker-slowed"]
        cluster.kill_entry(owner_name)
        await trio.sleep(4.0)
        successor = cluster.entries[cluster.find_owner()].pool_owners[
            clusters.POOL
        ]
        restored_speeds = [
            successor.pool_state.speeds.find_speed(name)
            for name in incarnations
        ]
        nursery.cancel_scope.cancel()
    assert len(incarnations) == 6
    assert restored_speeds == [1.7] * 3 + [0.7] * 3
    assert slowed_count == 1
    for group, count in (("fast", 3), ("slow", 3), ("unknown", 0)):
        line = f'crocusrouter_worker_speed_groups{{group="{group}"}} {count}.0'
        assert line in exposed_metrics.splitlines()
