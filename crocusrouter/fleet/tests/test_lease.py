import pytest

from crocusrouter.fleet import lease
from crocusrouter.fleet import messages
from standins import worker as worker_standin

_LEASE_S = 6.0
_STEP_S = 0.01


def _run_task(worker, now):
    worker.handle_hello(messages.Hello("e", 1, _LEASE_S), now)
    worker.handle_command(messages.Reserve("job", 1, 1), now)
    worker.handle_command(messages.Start("job", 1, "batch", "", 600.0), now)


# Guards against a task that outlives its lease by its owner's account: the
# worker's clock is slow, and a renewal arrives when its lease is about to end.
@pytest.mark.parametrize("clock_rate", [0.98, 1.0, 1.02])
def test_tasks_have_ended_when_their_lease_has_lapsed(clock_rate):
    worker = worker_standin.Worker("w1", 4)
    _run_task(worker, 0.0)
    worker.handle_command(messages.Renew(), 0.0)
    owner_lease = lease.Lease(_LEASE_S, answered_at=0.0)
    last_clock = _LEASE_S - _STEP_S
    worker.handle_command(messages.Renew(), last_clock)
    now = last_clock / clock_rate
    while not lease.has_lapsed(owner_lease, now):
        now += _STEP_S
    worker.advance(now * clock_rate)
    assert not worker.tasks


@pytest.mark.parametrize(
    ("silent_s", "is_suspect", "has_lapsed"),
    [
        (3.9, False, False),
        (4.1, True, False),
        (12.2, True, False),
        (12.3, True, True),
    ],
)
def test_stages_of_a_silent_worker(silent_s, is_suspect, has_lapsed):
    owner_lease = lease.Lease(_LEASE_S, answered_at=100.0)
    now = 100.0 + silent_s
    assert lease.is_suspect(owner_lease, now) is is_suspect
    assert lease.has_lapsed(owner_lease, now) is has_lapsed
