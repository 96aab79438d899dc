"""Watches of a store that answers late, or not at all."""

import contextlib

import pytest
import trio

from crocusrouter.store import client
from crocusrouter.store import observed
from crocusrouter.store import port


class _Store:
    """Answers every call after the same time; watches hear nothing."""

    def __init__(self, answer_s):
        self.answer_s = answer_s

    async def keep(self, lease):
        await trio.sleep(self.answer_s)
        return True

    async def read(self, key):
        await trio.sleep(self.answer_s)
        raise client.StoreUnavailableError("lost")

    async def watch(self, prefix, revision, wait_s):
        await trio.sleep(wait_s + self.answer_s)
        return port.Changes((), revision + 1)


def _wrap(store):
    return observed.ObservedStore(store, trio.current_time)


@pytest.mark.parametrize("answer_s", [0.05, 0.3, 0.7, 0.95])
async def test_watches_are_heard_of_a_slow_store(answer_s, autojump_clock):
    """The store answers, but later than a watch is given as a rule.

    Each watch would be given up just before its answer, and a follower would
    hear of nothing for as long as the store is slow.
    """
    store = _wrap(_Store(answer_s))
    assert await store.keep(1)
    changes = await store.watch("a/", 4, 0.6)
    assert changes.revision == 5


async def test_watch_is_given_as_little_again_when_answers_are_fast(
    autojump_clock,
):
    inner = _Store(0.9)
    store = _wrap(inner)
    await store.keep(1)
    assert store.find_watch_grace() == pytest.approx(1.8)
    inner.answer_s = 0.01
    for _ in range(10):
        await store.keep(1)
    assert store.find_watch_grace() == observed.WATCH_GRACE_S


async def test_lost_answer_of_a_watch_is_noticed(autojump_clock):
    store = _wrap(_Store(60.0))
    began = trio.current_time()
    with pytest.raises(client.StoreUnavailableError):
        await store.watch("a/", 4, 0.6)
    assert trio.current_time() - began <= 1.0
    assert store.is_failing()


async def test_failure_of_another_call_ends_open_watches(autojump_clock):
    """A read gets no answer while a long watch is open.

    What the watch waits for may have been lost with it.
    """
    inner = _Store(0.5)
    store = _wrap(inner)
    ended = []

    async def watch():
        with pytest.raises(client.StoreUnavailableError):
            await store.watch("a/", 4, 10.0)
        ended.append(trio.current_time())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        await trio.sleep(1.0)
        with pytest.raises(client.StoreUnavailableError):
            await store.read("b")
    assert ended == [pytest.approx(1.5)]


@pytest.mark.parametrize(
    ("suspended_s", "heard"), [(0.0, True), (0.3, True), (3.0, False)]
)
async def test_answer_that_waited_while_the_process_was_suspended(
    suspended_s, heard, autojump_clock
):
    """The VM is suspended while a watch is open. Its answer lies in the
    socket's buffer until the process wakes and tells what was true before; on
    the clock that stood still it came in time. The owner took it for the list
    of workers of this moment and went on giving work to those that had left.
    """
    slept = 0.0

    class _Waking(_Store):
        async def watch(self, prefix, revision, wait_s):
            nonlocal slept
            changes = await super().watch(prefix, revision, wait_s)
            slept += suspended_s
            return changes

    store = observed.ObservedStore(
        _Waking(0.01), lambda: trio.current_time() + slept
    )
    answers = []
    with contextlib.suppress(client.StoreUnavailableError):
        answers.append(await store.watch("a/", 4, 0.6))
    assert bool(answers) is heard
