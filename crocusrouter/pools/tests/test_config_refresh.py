"""How old the configuration may be by which a call is decided."""

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
        made = records.Record(key, b"%d" % (self.calls + 1), self.calls + 1)
        if not self.is_serving:
            raise client.StoreUnavailableError("refused")
        await trio.sleep(self.delays.pop(0) if self.delays else 0.004)
        return made

    async def read_by_peers(self, key):
        raise client.StoreUnavailableError("no peer")


def _open(service, *, by_peers=None, apply_s=_APPLY_S):
    clock = clocks.Clock(trio.current_time, trio.current_time)
    held = configuration.Configuration(
        _KEY,
        lambda value: queues.Config(int(value)),
        apply_s,
        clock,
        Metrics(),
    )
    refresher = config_refresh.ConfigRefresher(
        held,
        service.read,
        by_peers or service.read_by_peers,
        lambda: False,
        lambda: service.is_down,
        lambda: None,
        clock,
        Metrics(),
    )
    return held, refresher


async def _ask(refresher, answers):
    began = trio.current_time()
    may_decide = await refresher.ensure_current()
    answers.append((may_decide, round(trio.current_time() - began, 3)))


async def test_calls_wait_for_one_read_between_them(autojump_clock):
    """A call is decided by what was known two seconds before it came."""
    service = _Service()
    held, refresher = _open(service)
    answers = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(refresher.run)
        await trio.sleep(1.0)
        await _ask(refresher, answers)
        await trio.sleep(1.0)
        async with trio.open_nursery() as asking:
            for _ in range(5):
                asking.start_soon(_ask, refresher, answers)
        nursery.cancel_scope.cancel()
    assert answers == [(True, 0.0)] + 5 * [(True, 0.004)]
    assert service.calls == 2
    assert held.version == 3


@pytest.mark.parametrize("apply_s", [0.5, 2.0, 6.0])
async def test_entry_without_calls_stays_ready(apply_s, autojump_clock):
    """The balancer sends nobody to an entry that looks too seldom for what
    operators are promised.
    """
    held, refresher = _open(_Service(), apply_s=apply_s)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(refresher.run)
        await trio.sleep(0.1)
        for _ in range(100):
            assert held.is_fresh(trio.current_time())
            await trio.sleep(0.2)
        nursery.cancel_scope.cancel()


async def test_answer_that_was_held_up_counts_from_its_question(autojump_clock):
    """A read's answer arrives 1.1 s late, and is taken to be from then."""
    service = _Service()
    service.delays = [1.1, 2.0, 2.0]
    held, refresher = _open(service)
    with trio.move_on_after(1.15):
        await refresher.run()
    assert held.version == 2
    assert held.measure_age(trio.current_time()) == pytest.approx(1.15)


@pytest.mark.parametrize(
    ("delays", "is_serving", "peers_serve", "expected"),
    [
        # One answer is lost: another read is sent.
        ([9.0], True, False, (True, 0.304)),
        # The service is slow.
        ([0.4, 0.4], True, False, (True, 0.4)),
        # The service takes calls and answers none.
        ([9.0, 9.0], True, False, (True, 0.5)),
        # The service turns this entry away: a peer reads.
        ([], False, True, (True, 0.004)),
        # Nobody answers: what was known lately decides, without delay.
        ([], False, False, (True, 0.0)),
    ],
)
async def test_call_after_a_silence(
    delays, is_serving, peers_serve, expected, autojump_clock
):
    service, peers = _Service(), _Service()
    peers.is_serving = peers_serve
    peers.calls = 7
    _, refresher = _open(service, by_peers=peers.read)
    answers = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(refresher.run)
        await trio.sleep(2.0)
        service.delays = list(delays)
        service.is_serving = is_serving
        await _ask(refresher, answers)
        nursery.cancel_scope.cancel()
    assert answers == [expected]


@pytest.mark.parametrize(
    ("after_s", "may_decide"), [(2.0, True), (4.9, True), (5.1, False)]
)
async def test_nobody_answers_for_long(after_s, may_decide, autojump_clock):
    """A key that was taken away long ago is served by an entry in the dark."""
    service = _Service()
    _, refresher = _open(service)
    answers = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(refresher.run)
        await trio.sleep(0.1)
        service.is_serving = False
        service.is_down = True
        await trio.sleep(after_s - 0.1)
        await _ask(refresher, answers)
        nursery.cancel_scope.cancel()
    assert answers == [(may_decide, 0.0)]


async def test_watch_that_has_missed_a_change_brings_the_next_one(
    autojump_clock,
):
    """A watch has lost its answer. A read brings one change, and the next one
    was as late, since the watch was left waiting.
    """
    held = clusters.Cluster(5)
    async with trio.open_nursery() as nursery:
        await nursery.start(held.run)
        await trio.sleep(6.2)
        name = next(name for name in held.names if name != held.find_owner())
        held.store.turned_away[name] = emulator.StoreFault.SILENT
        await trio.sleep(0.1)
        del held.store.turned_away[name]
        held.cut_off.add(name)
        held.put_config({"a": 8})
        configuration = held.entries[name].configuration
        before = configuration.version
        while configuration.version == before:
            await trio.sleep(0.01)
        await trio.sleep(0.3)
        held.put_config({"a": 9})
        await trio.sleep(0.05)
        assert configuration.version == before + 2
        nursery.cancel_scope.cancel()


async def test_heartbeat_that_comes_unasked_vouches_for_nothing(
    autojump_clock,
):
    """A heartbeat was held up for seconds; by what it says, the configuration
    seems new, and a lost peer in reach.
    """
    held = clusters.Cluster(5)
    async with trio.open_nursery() as nursery:
        await nursery.start(held.run)
        await trio.sleep(6.0)
        name, other = held.names[:2]
        entry = held.entries[name]
        held.store.turned_away[name] = emulator.StoreFault.SILENT
        held.cut_off.add(name)
        await trio.sleep(4.0)
        version = entry.configuration.version
        beat = messages.Beat(other, version, 0.0, (), True, 0)
        await entry.answer_peer(beat)
        now = trio.current_time()
        assert entry.configuration.measure_age(now) > 3.9
        assert not entry.peers.may_hear(now)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("stall_s", [0.8, 1.6])
async def test_process_that_stands_still_does_not_decide_by_what_it_knew(
    stall_s,
):
    """The process gets no processor while a call waits. Its time to wait is
    over when it goes on, and the answer lies in its socket.
    """
    service = _Service()
    held, refresher = _open(service)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(refresher.run)
        await trio.sleep(2.0)

        async def stand_still():
            await trio.sleep(0.01)
            time.sleep(stall_s)

        service.delays = [0.05]
        nursery.start_soon(stand_still)
        assert await refresher.ensure_current()
        assert held.is_current(trio.current_time())
        nursery.cancel_scope.cancel()


async def test_late_answer_brings_no_older_version_back(autojump_clock):
    """A read is answered with what the watch has long replaced."""
    service = _Service()
    service.delays = [0.25]
    held, refresher = _open(service)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(refresher.run)
        await trio.sleep(0.1)
        held.take(b"9", "store")
        await trio.sleep(0.3)
        nursery.cancel_scope.cancel()
    assert held.version == 9
