"""Tests for how an entry stays registered and how many calls that costs."""

import pytest
import trio

from crocusrouter.pools import keys
from crocusrouter.pools import members
from crocusrouter.store import key_value
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


class _LateRemovalView(stores.StoreView):
    """Carries out removals only when `apply_removals` is called."""

    def __init__(self, store):
        super().__init__(store, "e0")
        self._removals = []

    async def write(self, guards, writes, removals=(), *, timeout_s=1.0):
        if not removals:
            return await super().write(guards, writes, timeout_s=timeout_s)
        self._removals.append((guards, writes, removals))
        return key_value.MaybeWritten("no answer")

    def apply_removals(self):
        for removal in self._removals:
            self._store.apply(*removal)


# Guards against an entry that runs and is in no list of members, so that the
# owner of a pool does not ask whether it has succeeded it.
async def test_late_removal_leaves_the_next_process_registered(autojump_clock):
    """The key of a stopped process is removed after the next one's start."""
    store = stores.Store(1)
    view = _LateRemovalView(store)
    async with trio.open_nursery() as nursery:
        stopped = members.Membership(view, "e0", _MEMBER)
        nursery.start_soon(stopped.run)
        await trio.sleep(1.0)
        await stopped.leave()
        nursery.cancel_scope.cancel()
    async with trio.open_nursery() as nursery:
        next_view = stores.StoreView(store, "e0")
        nursery.start_soon(members.Membership(next_view, "e0", _MEMBER).run)
        await trio.sleep(1.0)
        view.apply_removals()
        assert _KEY in store.items
        nursery.cancel_scope.cancel()


async def test_stopped_entry_removes_its_key(autojump_clock):
    store = stores.Store(1)
    async with trio.open_nursery() as nursery:
        view = stores.StoreView(store, "e0")
        membership = members.Membership(view, "e0", _MEMBER)
        nursery.start_soon(membership.run)
        await trio.sleep(1.0)
        await membership.leave()
        assert _KEY not in store.items
        nursery.cancel_scope.cancel()
