"""Who may take a pool, and whose key may be replaced."""

import pytest
import trio

from crocusrouter.pools import clocks
from crocusrouter.pools import keys
from crocusrouter.pools import owner_leases
from standins.emulator import store as stores

_CLOCK = clocks.Clock(trio.current_time, lambda: 1e6 + trio.current_time())
_OURS = owner_leases.Holder("e1", "10.0.0.1:7", "b2")


@pytest.mark.parametrize(
    ("value", "earlier"),
    [
        (b"e1 10.0.0.1:7 a1", True),
        (b"e1 10.0.0.1:7 b2", False),  # we ourselves
        (b"e1 10.0.0.9:7 a1", False),  # another VM under our name
        (b"e2 10.0.0.1:7 a1", False),
        (b"e1", False),  # does not say which process
        (b"", False),
        (b"\xff\xfe", False),
    ],
)
def test_only_an_earlier_process_of_our_vm_is_a_predecessor(value, earlier):
    assert owner_leases.parse_holder(value).is_predecessor_of(_OURS) is earlier


@pytest.mark.parametrize(
    ("replacing", "taken"), [("found", True), (0, False), (1, False)]
)
async def test_key_is_replaced_at_the_revision_that_was_seen(
    replacing, taken, autojump_clock
):
    """Another owner that has taken over meanwhile must not be replaced."""
    store = stores.Store(1)
    key = keys.build_owner_key("p")
    before = store.put(key, b"e1 10.0.0.1:7 a1")
    held = owner_leases.OwnerLease(
        stores.StoreView(store, "e1"), "p", _OURS, _CLOCK
    )
    wanted = before if replacing == "found" else replacing
    assert await held.take(wanted) is taken
    if taken:
        assert held.epoch > before
        assert owner_leases.parse_holder(store.items[key].value) == _OURS


async def test_lease_of_before_ends_no_tenure(autojump_clock):
    """The key lives under the lease with which it was written last."""
    store = stores.Store(1)
    earlier = owner_leases.Holder("e1", "10.0.0.1:7", "a1")
    view = stores.StoreView(store, "e1")
    old = owner_leases.OwnerLease(view, "p", earlier, _CLOCK)
    assert await old.take()
    await trio.sleep(0.5)
    held = owner_leases.OwnerLease(view, "p", _OURS, _CLOCK)
    assert await held.take(old.epoch)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(held.keep)
        for _ in range(40):
            await trio.sleep(0.1)
            store.expire(trio.current_time())
            assert keys.build_owner_key("p") in store.items
        nursery.cancel_scope.cancel()
