"""A follower whose peers know more than it does."""

import pytest
import trio

from crocusrouter.pools import intake
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics

_CHANGE = records.Changed(records.Record("a/k", b"new", 9))


class _Store:
    """Answers late; the first watch never does."""

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
        found = (_CHANGE,) if revision < 9 else ()
        if not found:
            await trio.sleep(wait_s)
        return key_value.Changes(found, 9)


@pytest.mark.parametrize("answer_s", [0.01, 0.3, 0.9])
async def test_change_that_peers_tell_of_is_heard(answer_s, autojump_clock):
    """Heartbeats of several peers tell of a change every tenth of a second.

    Each ended the watch that was under way, so that one that took 0.3 s was
    never answered while the service was slow.
    """
    heard = []
    store = _Store(answer_s)
    follower = intake.Follower(
        store, "a/", heard.extend, Metrics(), patient=True
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await trio.sleep(0.05)
        for _ in range(20):
            follower.compare(9)
            await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    assert heard == [_CHANGE]
    assert store.watches <= 4
