"""Tests for the age of the configuration by which a call is decided."""

import time

import pytest
import trio

from crocusrouter import queues
from crocusrouter.mesh import messages
from crocusrouter.pools import clocks
from crocusrouter.pools import config_refresh
from crocusrouter.pools import configuration
from crocusrouter.store import client
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics
from standins import emulator
from standins.emulator import cluster as clusters

_KEY = "op/config"
_APPLY_S = 2.0


class _Service:
    """A key-value service whose answers take as long as the test says."""

    def __init__(self):
        self.calls = 0
        self.delays = []
        self.is_serving = True
        self.is_down = False

    async def read(self, key):
        self.calls += 1
        record = records.Record(key, b"%d" % (self.calls + 1), self.calls + 1)
        if not self.is_serving:
            raise client.StoreUnavailableError("refused")
        await trio.sleep(self.delays.pop(0) if self.delays else 0.004)
        return record

    async def read_by_peers(self, key):
        raise client.StoreUnavailableError("no peer")


def _open_refresher(service, *, by_peers=None, apply_s=_APPLY_S):
    clock = clocks.Clock(trio.current_time, trio.current_time)
    config = configuration.Configuration(
        _KEY,
        lambda value: queues.Config(int(value)),
        apply_s,
        clock,
        Metrics(),
    )
    refresher = config_refresh.ConfigRefresher(
        config,
        service.read,
        by_peers or service.read_by_peers,
        lambda: False,
        lambda: service.is_down,
        lambda: None,
        clock,
        Metrics(),
    )
    return config, refresher


async def _measure_call(refresher, answers):
    began_at = trio.current_time()
    may_decide = await refresher.ensure_current()
    answers.append((may_decide, round(trio.current_time() - began_at, 3)))


async def test_concurrent_calls_share_one_read(autojump_clock):
    """Concurrent calls share one read, and none is decided by an old version.

    A call was decided by what was known two seconds before it arrived.
    """
    service = _Service()
    config, refresher = _open_refresher(service)
    answers = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(refresher.run)
        await trio.sleep(1.0)
        await _measure_call(refresher, answers)
        await trio.sleep(1.0)
        async with trio.open_nursery() as call_nursery:
            for _ in range(5):
                call_nursery.start_soon(_measure_call, refresher, answers)
        nursery.cancel_scope.cancel()
    assert answers == [(True, 0.0)] + 5 * [(True, 0.004)]
    assert service.calls == 2
    assert config.version == 3


@pytest.mark.parametrize("apply_s", [0.5, 2.0, 6.0])
async def test_entry_without_calls_stays_ready(apply_s, autojump_clock):
    """An entry must check often enough to stay ready at any promised delay.

    Otherwise the load balancer sends it no calls.
    """
    config, refresher = _open_refresher(_Service(), apply_s=apply_s)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(refresher.run)
        await trio.sleep(0.1)
        for _ in range(100):
            assert config.is_fresh(trio.current_time())
            await trio.sleep(0.2)
        nursery.cancel_scope.cancel()


async def test_late_answer_counts_from_its_question(autojump_clock):
    """A read's answer arrives 1.1 s late and must not count as new."""
    service = _Service()
    service.delays = [1.1, 2.0, 2.0]
    config, refresher = _open_refresher(service)
    with trio.move_on_after(1.15):
        await refresher.run()
    assert config.version == 2
    assert config.measure_age(trio.current_time()) == pytest.approx(1.15)


@pytest.mark.parametrize(
    ("delays", "is_serving", "peers_serve", "expected"),
    [
        # One answer is lost: another read is sent.
        ([9.0], True, False, (True, 0.304)),
        # The service is slow.
        ([0.4, 0.4], True, False, (True, 0.4)),
        # The service accepts calls and answers none.
        ([9.0, 9.0], True, False, (True, 0.5)),
        # The service refuses this entry: a peer reads.
        ([], False, True, (True, 0.004)),
        # Nobody answers: the latest known version decides without delay.
        ([], False, False, (True, 0.0)),
    ],
)
async def test_call_after_lost_answers(
    delays, is_serving, peers_serve, expected, autojump_clock
):
    service, peers = _Service(), _Service()
    peers.is_serving = peers_serve
    peers.calls = 7
    _, refresher = _open_refresher(service, by_peers=peers.read)
    answers = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(refresher.run)
        await trio.sleep(2.0)
        service.delays = list(delays)
        service.is_serving = is_serving
        await _measure_call(refresher, answers)
        nursery.cancel_scope.cancel()
    assert answers == [expected]


@pytest.mark.parametrize(
    ("after_s", "may_decide"), [(2.0, True), (4.9, True), (5.1, False)]
)
async def test_calls_are_refused_after_a_long_outage(
    after_s, may_decide, autojump_clock
):
    """An isolated entry must not go on accepting a key that was revoked long
    ago.
    """
    service = _Service()
    _, refresher = _open_refresher(service)
    answers = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(refresher.run)
        await trio.sleep(0.1)
        service.is_serving = False
        service.is_down = True
        await trio.sleep(after_s - 0.1)
        await _measure_call(refresher, answers)
        nursery.cancel_scope.cancel()
    assert answers == [(may_decide, 0.0)]


async def test_watch_that_missed_a_change_reports_the_next_one(
    autojump_clock,
):
    """A watch that has missed a change must be restarted.

    A watch has lost its answer. A read returned that change, but the next
    change was late too, since the watch was left waiting.
    """
    cluster = clusters.Cluster(5)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(6.2)
        name = next(
            name for name in cluster.entry_names if name != cluster.find_owner()
        )
        cluster.store.entry_faults[name] = emulator.StoreFault.SILENT
        await trio.sleep(0.1)
        del cluster.store.entry_faults[name]
        cluster.partitioned_entries.add(name)
        cluster.put_config({"a": 8})
        configuration = cluster.entries[name].configuration
        version_before = configuration.version
        while configuration.version == version_before:
            await trio.sleep(0.01)
        await trio.sleep(0.3)
        cluster.put_config({"a": 9})
        await trio.sleep(0.05)
        assert configuration.version == version_before + 2
        nursery.cancel_scope.cancel()


async def test_unrequested_heartbeat_confirms_nothing(
    autojump_clock,
):
    """A delayed unrequested heartbeat must prove nothing.

    By its content, the configuration would seem new and an unreachable peer
    reachable.
    """
    cluster = clusters.Cluster(5)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(6.0)
        name = cluster.find_owner()
        others = [other for other in cluster.entry_names if other != name]
        entry = cluster.entries[name]
        cluster.store.entry_faults[name] = emulator.StoreFault.SILENT
        cluster.partitioned_entries.add(name)
        await trio.sleep(4.0)
        version = entry.configuration.version
        for other in others:
            beat = messages.Beat(other, version, 0.0, (), True, 0)
            await entry.answer_peer(beat)
        now = trio.current_time()
        assert entry.configuration.measure_age(now) > 3.9
        assert not entry.may_renew_leases(clusters.POOL)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("stall_s", [0.8, 1.6])
async def test_blocked_process_does_not_decide_by_old_data(
    stall_s,
):
    """A call must not be decided by old data because the process was blocked.

    The process gets no CPU time while a call waits. When it resumes, the call's
    wait has timed out although the answer lies in the socket.
    """
    service = _Service()
    config, refresher = _open_refresher(service)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(refresher.run)
        await trio.sleep(2.0)

        async def block_process():
            await trio.sleep(0.01)
            time.sleep(stall_s)

        service.delays = [0.05]
        nursery.start_soon(block_process)
        assert await refresher.ensure_current()
        assert config.is_current(trio.current_time())
        nursery.cancel_scope.cancel()


async def test_late_answer_restores_no_older_version(autojump_clock):
    """A read is answered with a version that the watch has long replaced."""
    service = _Service()
    service.delays = [0.25]
    config, refresher = _open_refresher(service)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(refresher.run)
        await trio.sleep(0.1)
        config.apply(b"9", "store")
        await trio.sleep(0.3)
        nursery.cancel_scope.cancel()
    assert config.version == 9
