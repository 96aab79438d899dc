"""Tests for a follower whose peers know of changes that it has missed."""

import itertools

import pytest
import trio

from crocusrouter.pools import freshness
from crocusrouter.pools import prefix_follower
from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.store import observed_store
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics

_CHANGE = records.Changed(records.Record("a/k", b"new", 9))


class _Store:
    """Answers with a delay; never answers the first watch."""

    def __init__(self, answer_s):
        self.answer_s = answer_s
        self.watches = 0

    async def read_prefix(self, prefix):
        return records.Snapshot((), 5)

    async def watch(self, prefix, revision, wait_s):
        self.watches += 1
        if self.watches == 1:
            await trio.sleep_forever()
        await trio.sleep(self.answer_s)
        changes = (_CHANGE,) if revision < 9 else ()
        if not changes:
            await trio.sleep(wait_s)
        return key_value.Changes(changes, 9)


@pytest.mark.parametrize("answer_s", [0.01, 0.3, 0.9])
async def test_change_reported_by_peers_is_received(answer_s, autojump_clock):
    """A change reported by peers must arrive although the service is slow.

    Heartbeats of several peers report a change every tenth of a second. Each
    used to end the watch in progress, so a watch that took 0.3 s was never
    answered.
    """
    received_events = []
    store = _Store(answer_s)
    follower = prefix_follower.PrefixFollower(
        store, "a/", received_events.extend, Metrics(), may_wait_long=True
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await trio.sleep(0.05)
        for _ in range(20):
            follower.check_for_missed(9)
            await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    assert received_events == [_CHANGE]
    assert store.watches <= 4


class _RefusingStore:
    """Serves reads; fails each watch after a delay."""

    def __init__(self, failure_s):
        self.failure_s = failure_s
        self.reads = 0

    async def read_prefix(self, prefix):
        self.reads += 1
        return records.Snapshot((_CHANGE.record,), 9)

    async def watch(self, prefix, revision, wait_s):
        await trio.sleep(self.failure_s)
        raise client.StoreUnavailableError("status 429")


# Guards against an owner that misses cancels while its watch alone is refused,
# and against reads that wait for an answer where watches get none.
@pytest.mark.parametrize(
    ("failure_s", "least", "most"), [(0.0, 5, 11), (0.1, 5, 11), (0.4, 1, 1)]
)
async def test_prefix_is_read_while_its_watches_are_refused(
    failure_s, least, most, autojump_clock
):
    store = _RefusingStore(failure_s)
    follower = prefix_follower.PrefixFollower(
        store, "a/", lambda _: None, Metrics()
    )
    with trio.move_on_after(10.0):
        await follower.run()
    assert least <= store.reads <= most


# Guards against a view that is 3 s old, since a lost answer between refused
# watches begins the wait for the next read anew.
async def test_lost_answer_between_refused_watches_delays_no_read(
    autojump_clock,
):
    store = _RefusingStore(0.0)
    follower = prefix_follower.PrefixFollower(
        store, "a/", lambda _: None, Metrics()
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await trio.sleep(5.0)
        reads = store.reads
        while store.reads == reads:
            await trio.sleep(0.01)
        reads = store.reads
        await trio.sleep(0.5)
        # The next watches have no answer.
        store.failure_s = 1.0
        await trio.sleep(0.5)
        store.failure_s = 0.0
        await trio.sleep(0.9)
        assert store.reads > reads
        nursery.cancel_scope.cancel()


class _SlowStore:
    """Answers every call after the same delay."""

    def __init__(self, answer_s):
        self._answer_s = answer_s

    async def read_prefix(self, prefix):
        await trio.sleep(self._answer_s)
        return records.Snapshot((), 5)

    async def watch(self, prefix, revision, wait_s):
        await trio.sleep(self._answer_s + wait_s)
        return key_value.Changes((), 9)

    async def write(self, guards, writes, removals=(), *, timeout_s=1.0):
        with trio.move_on_after(timeout_s):
            await trio.sleep(self._answer_s)
            return key_value.Written(9)
        return key_value.MaybeWritten("no answer in time")


async def _write_impatiently(store, pause_s):
    """Write as for a record whose first try has a short timeout."""
    while True:
        timeout_s = 0.3
        while not isinstance(
            await store.write((), (), timeout_s=timeout_s), key_value.Written
        ):
            timeout_s = min(1.2, 2 * timeout_s)
            await trio.sleep(pause_s)
        await trio.sleep(pause_s)


# Guards against an owner that starts nothing for seconds, since its view of
# jobs and workers is out of date: the store answers late, and each write with a
# short timeout ended all watches of the process before their answers.
@pytest.mark.parametrize("writers", [0, 1, 2, 3, 6])
@pytest.mark.parametrize("answer_s", [0.1, 0.32, 0.5, 0.65])
async def test_impatient_writes_end_no_watches_of_a_slow_store(
    answer_s, writers, autojump_clock
):
    store = observed_store.ObservedStore(
        _SlowStore(answer_s), trio.current_time
    )
    answer_times = []
    follower = prefix_follower.PrefixFollower(
        store,
        "a/",
        lambda _: None,
        Metrics(),
        lambda: answer_times.append(trio.current_time()),
    )
    async with trio.open_nursery() as nursery:
        # As the owner's lease is renewed.
        nursery.start_soon(_renew, store)
        nursery.start_soon(follower.run)
        for number in range(writers):
            nursery.start_soon(_write_impatiently, store, 0.1 + 0.05 * number)
        await trio.sleep(30.0)
        nursery.cancel_scope.cancel()
    gaps_s = [
        later - earlier for earlier, later in itertools.pairwise(answer_times)
    ]
    assert len(gaps_s) > 10
    assert max(gaps_s) <= freshness.MAX_AGE_S


async def _renew(store):
    while True:
        await store.write((), ())
        await trio.sleep(0.5)
