"""The emulated key-value service keeps what the platform promises."""

import pytest
import trio

from crocusrouter.store import key_value
from standins.emulator import store as stores


@pytest.mark.parametrize(
    "wait_s", [0.2, 0.5, 0.985, 0.99, 0.992, 0.994, 0.996, 0.998, 1.0, 1.5]
)
async def test_watch_never_passes_over_a_dropped_change(wait_s, autojump_clock):
    """Watches hear nothing for a second, then the history is dropped.

    A watch whose time ended in the last 4 ms of that second was answered
    "nothing" at the newest revision. Its owner never heard of a job that was
    accepted meanwhile, and the job waited for ever.
    """
    store = stores.Store(1)
    view = stores.StoreView(store, "e0")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(store.forget_history_later)
        await trio.sleep(0.001)
        before = store.revision
        store.put("job/1", b"")
        heard = before
        try:
            changes = await view.watch("job/", before, wait_s)
            heard = changes.revision
        except key_value.HistoryGoneError:
            return
    assert changes.events or heard == before
