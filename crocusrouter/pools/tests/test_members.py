"""Tests for how an entry stays registered and how many calls that costs."""

import pytest
import trio

from crocusrouter.pools import keys
from crocusrouter.pools import members
from standins.emulator import store as stores

_KEY = keys.build_member_key("e0")
_MEMBER = members.Member("10.1.0.1:7000", 0.5)


class _CountingStoreView(stores.StoreView):
    """Counts the leases that are opened."""

    granted = 0

    async def grant_lease(self, ttl_s):
        self.granted += 1
        return await super().grant_lease(ttl_s)


@pytest.mark.parametrize(
    ("fault", "outage_s"),
    [
        (stores.StoreFault.BUSY, 4.0),
        (stores.StoreFault.SILENT, 4.0),
        (stores.StoreFault.NONE, 4.0),
    ],
)
async def test_lease_that_survives_an_outage_is_kept(
    fault, outage_s, autojump_clock
):
    """A lease that survives an outage must be kept.

    The store is down for less than the lease lasts, and leases pause. Each
    entry opened a new lease and wrote its key again, and every other entry
    received that change within a second of the store's return.
    """
    store = stores.Store(1)
    store.leases_expire = False
    view = _CountingStoreView(store, "e0")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(members.Membership(view, "e0", _MEMBER).run)
        await trio.sleep(5.0)
        written_at = store.items[_KEY].revision
        store.fault = fault
        await trio.sleep(outage_s)
        store.fault = stores.StoreFault.NONE
        await trio.sleep(10.0)
        nursery.cancel_scope.cancel()
    assert view.granted == 1
    assert store.items[_KEY].revision == written_at


async def test_entry_registers_again_after_its_lease_has_ended(autojump_clock):
    store = stores.Store(1)
    async with trio.open_nursery() as nursery:
        view = stores.StoreView(store, "e0")
        nursery.start_soon(members.Membership(view, "e0", _MEMBER).run)
        await trio.sleep(5.0)
        store.fault = stores.StoreFault.BUSY
        for _ in range(100):
            await trio.sleep(0.1)
            store.expire_leases(trio.current_time())
        assert _KEY not in store.items
        store.fault = stores.StoreFault.NONE
        await trio.sleep(1.0)
        assert members.parse_member(store.items[_KEY].value) == _MEMBER
        nursery.cancel_scope.cancel()
