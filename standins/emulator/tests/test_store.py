"""The emulated key-value service behaves as the platform specifies."""

import pytest
import trio

from crocusrouter.store import key_value
from standins.emulator import store as stores


@pytest.mark.parametrize(
    "wait_s", [0.2, 0.5, 0.985, 0.99, 0.992, 0.994, 0.996, 0.998, 1.0, 1.5]
)
async def test_watch_never_skips_a_dropped_change(wait_s, autojump_clock):
    """Watches get no changes for a second, then the history is dropped.

    A watch that timed out in the last 4 ms of that second was answered with no
    changes at the newest revision. The owner never heard of a job that was
    accepted meanwhile, and the job waited for ever.
    """
    store = stores.Store(1)
    view = stores.StoreView(store, "e0")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(store.compact_after_pause)
        await trio.sleep(0.001)
        revision_before = store.revision
        store.put("job/1", b"")
        known_revision = revision_before
        try:
            changes = await view.watch("job/", revision_before, wait_s)
            known_revision = changes.revision
        except key_value.HistoryGoneError:
            return
    assert changes.events or known_revision == revision_before
