"""Tests for the lease that short-lived keys share."""

import pytest

from crocusrouter.pools import shared_lease
from crocusrouter.store import client


class _Store:
    """Grants numbered leases; a failing grant raises."""

    def __init__(self):
        self.ttls = []
        self.fails = False

    async def grant_lease(self, ttl_s):
        if self.fails:
            raise client.StoreUnavailableError("busy")
        self.ttls.append(ttl_s)
        return len(self.ttls)


# Guards against a call for each key, and against keys that end too soon.
@pytest.mark.parametrize(
    ("times", "leases"),
    [
        ([0.0, 1.0, 59.0], [1, 1, 1]),
        ([0.0, 61.0, 100.0], [1, 2, 2]),
        ([0.0, 500.0], [1, 2]),
    ],
)
async def test_keys_share_a_lease_that_lasts_long_enough(times, leases):
    store = _Store()
    lease = shared_lease.SharedLease(store)
    granted_at = {}
    for now, expected in zip(times, leases, strict=True):
        assert await lease.obtain(now) == expected
        granted_at.setdefault(expected, now)
        end = granted_at[expected] + store.ttls[expected - 1]
        assert end - now >= shared_lease.MIN_LIFETIME_S
    assert len(store.ttls) == leases[-1]


@pytest.mark.parametrize(("ended", "expected"), [(1, 2), (7, 1)])
async def test_ended_lease_is_not_used_again(ended, expected):
    lease = shared_lease.SharedLease(_Store())
    await lease.obtain(0.0)
    lease.discard(ended)
    assert await lease.obtain(1.0) == expected


async def test_failed_grant_leaves_the_next_call_to_try_again():
    store = _Store()
    lease = shared_lease.SharedLease(store)
    store.fails = True
    with pytest.raises(client.StoreUnavailableError):
        await lease.obtain(0.0)
    store.fails = False
    assert await lease.obtain(1.0) == 1
