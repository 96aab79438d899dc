import pytest

from crocusrouter.pools import lease_contract
from crocusrouter.pools import worker_leases

_CLOCK_MS = 100_000.0


def _make_lease(*, have_predecessors_ended=True):
    return worker_leases.WorkerLease(0.0, lambda _: have_predecessors_ended)


@pytest.mark.parametrize(
    ("asked_at", "has_lapsed"),
    [(6.0, False), (6.12, False), (6.3, True)],
)
def test_lease_on_a_slow_clock(asked_at, has_lapsed):
    """A run must not outlive the lease that its owner considers ended.

    The worker's clock runs 2% slow.
    """
    lease = _make_lease()
    lease.note(100_000, 0.0)
    assert lease.extend(0.0) == 106_000
    assert lease.has_lapsed(asked_at) is has_lapsed


@pytest.mark.parametrize(("now", "has_lapsed"), [(7.5, False), (7.8, True)])
def test_lease_of_a_worker_that_never_answered_this_owner(now, has_lapsed):
    """Its predecessor may have renewed the lease until it learned of the
    successor.
    """
    assert _make_lease().has_lapsed(now) is has_lapsed


# Guards against a successor that counts leases as ended by its own time alone.
@pytest.mark.parametrize(
    ("answers", "has_lapsed"), [(False, False), (True, True)]
)
def test_lease_that_an_earlier_owner_may_renew(answers, has_lapsed):
    """The worker's own answer makes the earlier owner irrelevant."""
    lease = _make_lease(have_predecessors_ended=False)
    if answers:
        lease.note(_CLOCK_MS, 0.0)
    assert lease.has_lapsed(30.0) is has_lapsed


def test_older_answers_do_not_turn_the_clock_back():
    """Answers on different connections may overtake each other."""
    lease = _make_lease()
    lease.note(101_000, 1.0)
    lease.note(100_500, 1.1)
    # The lower estimate of the clock, 0.1 s after the later reading.
    assert lease.extend(1.1) == 107_098


# Guards against a lease that outlasts what a successor assumes because it was
# computed for a full-speed clock since an old reading.
@pytest.mark.parametrize("clock_rate", [0.98, 1.0, 1.02])
@pytest.mark.parametrize("idle_s", [0.0, 1.0, 30.0, 80.0, 600.0])
def test_lease_from_an_old_reading_is_no_longer_than_any_other(
    clock_rate, idle_s
):
    lease = _make_lease()
    lease.note(_CLOCK_MS, 0.0)
    clock_ms = _CLOCK_MS + idle_s * 1000 * clock_rate
    assert lease.extend(idle_s) <= clock_ms + lease_contract.LEASE_S * 1000


# Guards against a successor that forgets the leases of earlier owners once it
# has read the worker's clock or has sent a lease of its own.
@pytest.mark.parametrize("clock_rate", [0.98, 1.0, 1.02])
@pytest.mark.parametrize("has_renewed", [False, True])
def test_leases_of_earlier_owners_end_before_they_count_as_ended(
    clock_rate, has_renewed
):
    """An earlier owner renews until the worker hears of its successor."""
    answered_at = 1.4
    lease = _make_lease()
    clock_ms = _CLOCK_MS + answered_at * 1000 * clock_rate
    predecessor_end_ms = clock_ms + lease_contract.LEASE_S * 1000
    lease.note(clock_ms, answered_at)
    if has_renewed:
        lease.extend(answered_at)
    now = answered_at
    while not lease.has_lapsed(now):
        now += 0.01
    assert _CLOCK_MS + now * 1000 * clock_rate > predecessor_end_ms
