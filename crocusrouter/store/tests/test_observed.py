"""Watches of a store whose answers are late or lost."""

import contextlib

import pytest
import trio

from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.store import observed_store


class _FixedDelayStore:
    """Answers every call after the same delay; watches report no events."""

    def __init__(self, answer_s):
        self.answer_s = answer_s

    async def renew_lease(self, lease):
        await trio.sleep(self.answer_s)
        return True

    async def read(self, key):
        await trio.sleep(self.answer_s)
        raise client.StoreUnavailableError("lost")

    async def watch(self, prefix, revision, wait_s):
        await trio.sleep(wait_s + self.answer_s)
        return key_value.Changes((), revision + 1)


def _wrap(store):
    return observed_store.ObservedStore(store, trio.current_time)


@pytest.mark.parametrize("answer_s", [0.05, 0.3, 0.7, 0.95])
async def test_watch_of_a_slow_store_gets_its_answer(answer_s, autojump_clock):
    """The store answers later than the usual grace time of a watch.

    If the grace time weren't extended, every watch would time out just before
    its answer, and the caller would see no changes while the store is slow.
    """
    store = _wrap(_FixedDelayStore(answer_s))
    assert await store.renew_lease(1)
    changes = await store.watch("a/", 4, 0.6)
    assert changes.revision == 5


async def test_watch_grace_shrinks_when_answers_are_fast_again(
    autojump_clock,
):
    inner_store = _FixedDelayStore(0.9)
    store = _wrap(inner_store)
    await store.renew_lease(1)
    assert store.get_watch_grace() == pytest.approx(1.8)
    inner_store.answer_s = 0.01
    for _ in range(10):
        await store.renew_lease(1)
    assert store.get_watch_grace() == observed_store.WATCH_GRACE_S


async def test_lost_answer_of_a_watch_is_a_failure(autojump_clock):
    store = _wrap(_FixedDelayStore(60.0))
    started_at = trio.current_time()
    with pytest.raises(client.StoreUnavailableError):
        await store.watch("a/", 4, 0.6)
    assert trio.current_time() - started_at <= 1.0
    assert store.is_failing()


async def test_failure_of_another_call_ends_open_watches(autojump_clock):
    """A read gets no answer while a long watch is open.

    The answer to the watch may have been lost as well.
    """
    inner_store = _FixedDelayStore(0.5)
    store = _wrap(inner_store)
    end_times = []

    async def watch():
        with pytest.raises(client.StoreUnavailableError):
            await store.watch("a/", 4, 10.0)
        end_times.append(trio.current_time())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        await trio.sleep(1.0)
        with pytest.raises(client.StoreUnavailableError):
            await store.read("b")
    assert end_times == [pytest.approx(1.5)]


@pytest.mark.parametrize(
    ("suspended_s", "accepted"), [(0.0, True), (0.3, True), (3.0, False)]
)
async def test_answer_from_before_a_suspension_is_rejected(
    suspended_s, accepted, autojump_clock
):
    """The VM is suspended while a watch is open.

    The answer stays in the socket's buffer until the process resumes, and is
    outdated by then. On the clock that stopped meanwhile, it arrived in time.
    An owner took such an answer for the current list of workers and assigned
    work to workers that had left.
    """
    total_suspended_s = 0.0

    class _SuspendedStore(_FixedDelayStore):
        async def watch(self, prefix, revision, wait_s):
            nonlocal total_suspended_s
            changes = await super().watch(prefix, revision, wait_s)
            total_suspended_s += suspended_s
            return changes

    store = observed_store.ObservedStore(
        _SuspendedStore(0.01), lambda: trio.current_time() + total_suspended_s
    )
    accepted_answers = []
    with contextlib.suppress(client.StoreUnavailableError):
        accepted_answers.append(await store.watch("a/", 4, 0.6))
    assert bool(accepted_answers) is accepted


# Guards against an outage that goes unnoticed because answers were slow before,
# and against one that is seen in each short try of a write.
@pytest.mark.parametrize(
    ("answer_s", "timeout_s", "is_failing"),
    [
        (0.01, 0.3, True),
        (0.1, 0.3, True),
        (0.2, 0.3, False),
        (0.5, 0.6, False),
        (0.5, 1.0, True),
        (0.9, 1.0, True),
    ],
)
async def test_write_without_an_answer(
    answer_s, timeout_s, is_failing, autojump_clock
):
    class _Store(_FixedDelayStore):
        async def write(self, guards, writes, removals=(), *, timeout_s=1.0):
            return key_value.MaybeWritten("no answer in time")

    store = _wrap(_Store(answer_s))
    await store.renew_lease(1)
    await store.write((), (), timeout_s=timeout_s)
    assert store.is_failing() is is_failing
