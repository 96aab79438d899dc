import pytest

from crocusrouter.pools import worker_leases


@pytest.mark.parametrize(
    ("asked_at", "lapsed"),
    [(6.0, False), (6.12, False), (6.3, True)],
)
def test_lease_on_a_slow_clock(asked_at, lapsed):
    """A task runs on when its owner thinks that its lease has ended: its
    worker's clock runs 2% slow.
    """
    clock = worker_leases.WorkerLease(opened_at=0.0)
    clock.note(100_000, 0.0)
    assert clock.extend(0.0) == 106_000
    assert clock.has_lapsed(asked_at) is lapsed


@pytest.mark.parametrize(("now", "lapsed"), [(7.5, False), (7.8, True)])
def test_worker_that_never_answered_this_owner(now, lapsed):
    """Its predecessor may have renewed until it heard of the successor."""
    assert worker_leases.WorkerLease(opened_at=0.0).has_lapsed(now) is lapsed


def test_older_answers_do_not_turn_the_clock_back():
    """Answers on different connections may overtake each other."""
    clock = worker_leases.WorkerLease(opened_at=0.0)
    clock.note(101_000, 1.0)
    clock.note(100_500, 1.1)
    assert clock.extend(1.1) == 107_100
