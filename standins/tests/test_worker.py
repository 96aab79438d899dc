import pytest

from crocusrouter.fleet import messages
from standins import worker as workers

_TASK = ("dc.1", 1)


def _run_task(run_time_s=30.0):
    worker = workers.Worker("w", 4)
    worker.handle_hello(messages.Hello("e1", 1, 6.0), 0.0)
    worker.handle_command(messages.Renew(), 0.0)
    worker.handle_command(messages.Reserve(*_TASK, 0b11), 0.0)
    worker.handle_command(
        messages.Start(*_TASK, "tag", "null", run_time_s), 0.0
    )
    return worker


# The owner considers the task stopped two lease times after the last answer. A
# paused worker that reads a renewal only then must not revive the task.
@pytest.mark.parametrize(
    ("read_at", "is_alive"), [(5.9, True), (6.0, False), (60.0, False)]
)
def test_renewal_after_lease_expiry_revives_no_task(read_at, is_alive):
    worker = _run_task()
    worker.handle_command(messages.Renew(), read_at)
    assert (_TASK in worker.tasks) is is_alive


def test_lower_epoch_is_fenced():
    worker = workers.Worker("w", 4)
    worker.handle_hello(messages.Hello("e1", 2, 6.0), 0.0)
    answer = worker.handle_hello(messages.Hello("e2", 1, 6.0), 1.0)
    assert answer == messages.Fenced(2)


def test_accelerators_in_use_are_declined():
    worker = _run_task()
    [answer] = worker.handle_command(messages.Reserve("dc.2", 1, 0b110), 1.0)
    assert isinstance(answer, messages.Declined)


def test_result_is_kept_until_acknowledged():
    worker = _run_task(run_time_s=1.0)
    [finished] = worker.advance(2.0)
    assert finished.ok
    inventory = worker.handle_hello(messages.Hello("e2", 2, 6.0), 100.0)
    assert [task.phase for task in inventory.tasks] == [
        messages.TaskPhase.SUCCEEDED
    ]
    worker.handle_command(messages.Acknowledge(*_TASK), 101.0)
    assert worker.handle_hello(messages.Hello("e2", 2, 6.0), 102.0).tasks == ()


def test_checkpoint_delays_stop():
    worker = _run_task()
    assert worker.handle_command(messages.Stop(*_TASK, True), 1.0) == []
    assert worker.advance(1.2) == [messages.Stopped(*_TASK)]
