import pytest

from crocusrouter.pools import worker_leases


@pytest.mark.parametrize(
    ("asked_at", "has_lapsed"),
    [(6.0, False), (6.12, False), (6.3, True)],
)
def test_lease_on_a_slow_clock(asked_at, has_lapsed):
    """A run must not outlive the lease that its owner considers ended.

    The worker's clock runs 2% slow.
    """
    lease = worker_leases.WorkerLease(opened_at=0.0)
    lease.note(100_000, 0.0)
    assert lease.extend(0.0) == 106_000
    assert lease.has_lapsed(asked_at) is has_lapsed


@pytest.mark.parametrize(("now", "has_lapsed"), [(7.5, False), (7.8, True)])
def test_lease_of_a_worker_that_never_answered_this_owner(now, has_lapsed):
    """Its predecessor may have renewed the lease until it learned of the
    successor.
    """
    assert (
        worker_leases.WorkerLease(opened_at=0.0).has_lapsed(now) is has_lapsed
    )


def test_older_answers_do_not_turn_the_clock_back():
    """Answers on different connections may overtake each other."""
    lease = worker_leases.WorkerLease(opened_at=0.0)
    lease.note(101_000, 1.0)
    lease.note(100_500, 1.1)
    assert lease.extend(1.1) == 107_100
