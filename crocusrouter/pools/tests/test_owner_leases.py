"""Tests for who may take a pool and whose owner key may be replaced."""

import pytest
import trio

from crocusrouter.pools import clocks
from crocusrouter.pools import keys
from crocusrouter.pools import owner_leases
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
