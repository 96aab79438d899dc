"""Tests for who may take a pool and whose owner key may be replaced."""

import pytest
import trio

from crocusrouter.pools import clocks
from crocusrouter.pools import keys
from crocusrouter.pools import owner_leases
from crocusrouter.store import key_value
from standins.emulator import store as stores

_CLOCK = clocks.Clock(trio.current_time, lambda: 1e6 + trio.current_time())
_OURS = owner_leases.Holder("e1", "10.0.0.1:7", "b2")


@pytest.mark.parametrize(
    ("value", "is_earlier"),
    [
        (b"e1 10.0.0.1:7 a1", True),
        (b"e1 10.0.0.1:7 b2", False),  # our own process
        (b"e1 10.0.0.9:7 a1", False),  # another VM under our name
        (b"e2 10.0.0.1:7 a1", False),
        (b"e1", False),  # process unknown
        (b"", False),
        (b"\xff\xfe", False),
    ],
)
def test_only_an_earlier_process_of_our_vm_is_a_predecessor(value, is_earlier):
    assert (
        owner_leases.parse_holder(value).is_predecessor_of(_OURS) is is_earlier
    )


@pytest.mark.parametrize(
    ("replacing", "is_acquired"), [("found", True), (0, False), (1, False)]
)
async def test_key_is_replaced_only_at_the_known_revision(
    replacing, is_acquired, autojump_clock
):
    """An owner that has taken over meanwhile must not be replaced."""
    store = stores.Store(1)
    key = keys.build_owner_key("p")
    revision_before = store.put(key, b"e1 10.0.0.1:7 a1")
    owner_lease = owner_leases.OwnerLease(
        stores.StoreView(store, "e1"), "p", _OURS, _CLOCK
    )
    wanted = revision_before if replacing == "found" else replacing
    assert await owner_lease.acquire(wanted) is is_acquired
    if is_acquired:
        assert owner_lease.epoch > revision_before
        assert owner_leases.parse_holder(store.items[key].value) == _OURS


async def test_earlier_lease_does_not_end_the_new_one(autojump_clock):
    """A replaced key must not expire with the previous process's lease.

    A key lives under the lease with which it was last written.
    """
    store = stores.Store(1)
    earlier_holder = owner_leases.Holder("e1", "10.0.0.1:7", "a1")
    view = stores.StoreView(store, "e1")
    earlier_lease = owner_leases.OwnerLease(view, "p", earlier_holder, _CLOCK)
    assert await earlier_lease.acquire()
    await trio.sleep(0.5)
    owner_lease = owner_leases.OwnerLease(view, "p", _OURS, _CLOCK)
    assert await owner_lease.acquire(earlier_lease.epoch)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(owner_lease.renew_until_lost)
        for _ in range(40):
            await trio.sleep(0.1)
            store.expire_leases(trio.current_time())
            assert keys.build_owner_key("p") in store.items
        nursery.cancel_scope.cancel()


class _UnansweredView(stores.StoreView):
    """Leaves all writes unanswered.

    Attributes:
        delayed: Writes that are applied when the next one arrives.
    """

    def __init__(self, store, delays_first):
        super().__init__(store, "e1")
        self.delayed = []
        self._delays_next = delays_first

    async def write(self, guards, writes, removals=(), *, timeout_s=1.0):
        for earlier_write in self.delayed:
            self._store.apply(*earlier_write)
        self.delayed = []
        if self._delays_next:
            self.delayed.append((guards, writes, removals))
        else:
            self._store.apply(guards, writes, removals)
        self._delays_next = False
        await trio.sleep(0.3)
        return key_value.MaybeWritten("no answer")


# Guards against two owners at once: an entry that takes the key of its earlier
# attempt for that of the present one renews a lease on which no key depends.
@pytest.mark.parametrize("delays_first", [True, False])
async def test_key_of_an_earlier_attempt_is_not_acquired(
    delays_first, autojump_clock
):
    """Both attempts go unanswered; the first one has written the key."""
    store = stores.Store(1)
    view = _UnansweredView(store, delays_first)
    earlier_lease = owner_leases.OwnerLease(view, "p", _OURS, _CLOCK)
    assert await earlier_lease.acquire() is not delays_first
    owner_lease = owner_leases.OwnerLease(view, "p", _OURS, _CLOCK)
    assert not await owner_lease.acquire()
    assert not owner_lease.is_valid()


async def test_unanswered_write_acquires_the_pool(autojump_clock):
    store = stores.Store(1)
    view = _UnansweredView(store, delays_first=False)
    owner_lease = owner_leases.OwnerLease(view, "p", _OURS, _CLOCK)
    assert await owner_lease.acquire()
    key = keys.build_owner_key("p")
    assert owner_lease.epoch == store.items[key].revision


@pytest.mark.parametrize(
    ("value", "lease"),
    [
        (b"e1 10.0.0.1:7 b2 17", 17),
        (b"e1 10.0.0.1:7 b2", 0),  # of an earlier version
        (b"e1 10.0.0.1:7 b2 x", 0),
    ],
)
def test_owner_keys_of_other_versions_are_read(value, lease):
    holder = owner_leases.parse_holder(value)
    assert holder == _OURS
    assert holder.store_lease == lease
