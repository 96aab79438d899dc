"""Tests for orders that a worker leaves unanswered."""

import dataclasses
import itertools

import pytest
import trio

from crocusrouter import work
from crocusrouter.pools import clocks
from crocusrouter.pools import connections
from crocusrouter.pools import unanswered_starts
from crocusrouter.pools import worker_links
from crocusrouter.work import tracking
from crocusrouter.work import worker_port
from crocusrouter.work.tests import build

_WORKER = "w0"
_SILENT = worker_port.NoAnswer("lost", maybe_done=True)
_NOT_SENT = worker_port.NoAnswer("refused", maybe_done=False)


class _Port:
    """Answers orders with the given answers, then accepts all.

    Attributes:
        answers: Answers to the next orders.
        ended: Ends that later polls list.
        polls: Answers to the next polls; later ones report no runs.
        polls_sent: How many polls came.
        lease_ends_ms: Ends of the leases in the starts that came.
        clock_rate: Speed of the worker's clock; 0 for one that stands still.
        sent: Orders in the order in which they came.
    """

    def __init__(self, *answers, ended=(), polls=()):
        self.answers = list(answers)
        self.ended = ended
        self.polls = list(polls)
        self.polls_sent = 0
        self.sent = []
        self.delay_s = 0.01
        self.lease_ends_ms = []
        self.clock_rate = 0.0

    async def _answer(self, order):
        self.sent.append(order)
        await trio.sleep(self.delay_s)
        return (
            self.answers.pop(0)
            if self.answers
            else worker_port.Accepted(self._read_clock())
        )

    def _read_clock(self):
        return int(1000 + trio.current_time() * 1000 * self.clock_rate)

    async def start(self, epoch, order, until_ms, timeout_s):
        self.lease_ends_ms.append(until_ms)
        return await self._answer(order)

    async def stop(self, epoch, order, timeout_s):
        return await self._answer(order)

    async def hold(self, epoch, seen, until_ms, wait_s):
        self.polls_sent += 1
        await trio.sleep(0.01)
        if self.polls:
            return self.polls.pop(0)
        if wait_s and not self.ended:
            await trio.sleep(wait_s)
        return worker_port.Report(self._read_clock(), (), self.ended)

    async def aclose(self):
        pass


async def _settle():
    pass


def _always(*_):
    return True


def _make_link(
    port,
    may_start=_always,
    settle=_settle,
    pending_starts=None,
    may_renew=_always,
    steady=None,
):
    pool_state = work.PoolState(1)
    pool_state.set_worker(build.make_entry(_WORKER), 0.0)
    build.mark_usable(pool_state.workers[_WORKER])
    clock = clocks.Clock(
        steady or trio.current_time, lambda: 1e6 + trio.current_time()
    )
    link = worker_links.WorkerLink(
        _WORKER,
        port,
        1,
        pool_state,
        clock,
        settle,
        may_renew,
        _always,
        may_start,
        lambda: None,
        lambda *_: None,
        pending_starts or unanswered_starts.UnansweredStarts(),
    )
    link.lease.note(500, trio.current_time())
    return pool_state, link


@pytest.mark.parametrize("lost", [1, 3, 6])
async def test_stop_of_an_unknown_run_is_repeated_until_answered(
    lost, autojump_clock
):
    """A run that the pool's state lacks must be stopped despite lost answers.

    A job was cancelled while its start was unanswered, and the worker carried
    the start out seconds later. The owner's next poll showed the run and a stop
    was sent, whose answer was lost. Nothing else polled that worker, and the
    task ran until its lease ended.
    """
    port = _Port(*[_SILENT] * lost)
    _, link = _make_link(port)
    key = work.TaskKey("00000000000000aa", 0, 0, 0)
    await link.stop(worker_port.Stop(key, 7))
    assert len(port.sent) == lost + 1


async def test_stop_of_an_unknown_run_ends_with_its_lease(autojump_clock):
    """No run can go on after its lease, so there is nothing left to stop."""
    port = _Port(*[_SILENT] * 1000)
    _, link = _make_link(port)
    key = work.TaskKey("00000000000000aa", 0, 0, 0)
    with trio.fail_after(20.0):
        await link.stop(worker_port.Stop(key, 7))


async def test_link_to_an_unlisted_worker_stays_until_its_ends_are_journaled(
    autojump_clock,
):
    """A successor must hear of an end that the journal does not hold.

    The owner forgot an idle worker that was no longer listed, and the record of
    known workers left it out. The journal was late, the owner was lost, and the
    next one started a task again that had ended there.
    """
    key = work.TaskKey("00000000000000aa", 0, 0, 0)
    ended = worker_port.RunEnd(1, key, 7, worker_port.RunOutcome.DONE)
    journaled = trio.Event()
    pool_state, link = _make_link(_Port(ended=(ended,)), settle=journaled.wait)
    pool_state.unlist_worker(_WORKER)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_run_and_forget, link, pool_state)
        await trio.sleep(3.0)
        assert _WORKER in pool_state.workers
        journaled.set()
        await trio.sleep(1.0)
        assert _WORKER not in pool_state.workers


async def _run_and_forget(link, pool_state):
    """Run a link and forget its worker afterwards, as the owner does."""
    await link.run()
    pool_state.forget_worker(_WORKER)


@pytest.mark.parametrize(
    ("answer", "waits_again"), [(_NOT_SENT, True), (_SILENT, False)]
)
async def test_start_is_not_repeated_on_a_draining_worker(
    answer, waits_again, autojump_clock
):
    """A start must not be repeated after its worker began to drain.

    A start is repeated for two seconds. The task began 2 s later than anything
    new may begin on a draining worker.
    """
    port = _Port(*[answer] * 50)
    pool_state, link = _make_link(port)
    job = build.make_job("00000000000000aa", build.make_step(1))
    pool_state.put_job(job, work.Progress(), 1, 0.0)
    pool_state.open_due_occurrences(2e6, 0.0)
    key = work.TaskKey(job.id, 0, 0, 0)
    run = pool_state.add_run(key, 7, _WORKER, 0.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.start, worker_port.Start(key, 7, "", ""))
        await trio.sleep(0.025)
        entry = pool_state.workers[_WORKER].entry
        pool_state.set_worker(dataclasses.replace(entry, draining=True), 0.0)
        sent_before = len(port.sent)
    assert len(port.sent) <= sent_before
    if waits_again:
        assert pool_state.find_tracked_step(key).waiting_indices == {0}
    else:
        assert run.stop_reason == "its start was not answered"


# Guards against a start that is repeated for two seconds after operators have
# closed its worker's data centre, and against a worker that is avoided since.
@pytest.mark.parametrize(
    ("answer", "waits_again"), [(_NOT_SENT, True), (_SILENT, False)]
)
async def test_start_is_not_repeated_in_a_closed_data_centre(
    answer, waits_again, autojump_clock
):
    port = _Port(*[answer] * 50)
    pool_state, link = _make_link(port)
    job = build.make_job("00000000000000aa", build.make_step(1))
    build.add_job(pool_state, job)
    key = work.TaskKey(job.id, 0, 0, 0)
    pool_state.add_run(key, 1, _WORKER, 0.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.start, worker_port.Start(key, 1, "", "", ""))
        await trio.sleep(0.02)
        sent_before = len(port.sent)
        work.set_closed_data_centres(pool_state, frozenset({"liege"}))
    assert len(port.sent) == sent_before
    step = pool_state.find_tracked_step(key)
    assert (key.position in step.waiting_indices) is waits_again
    assert step.avoided_workers == set()
    assert bool(pool_state.outbox) is not waits_again


@pytest.mark.parametrize("drains", [False, True])
async def test_start_accepted_by_a_draining_worker_is_logged(
    drains, autojump_clock
):
    """A start that its worker accepted after it began to drain is logged.

    Callers can't distinguish it from a start by an owner that missed the
    announcement; the log line can.
    """
    port = _Port()
    pool_state, link = _make_link(port)
    job = build.make_job("00000000000000aa", build.make_step(1))
    pool_state.put_job(job, work.Progress(), 1, 0.0)
    pool_state.open_due_occurrences(2e6, 0.0)
    key = work.TaskKey(job.id, 0, 0, 0)
    pool_state.add_run(key, 7, _WORKER, 0.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.start, worker_port.Start(key, 7, "", ""))
        await trio.sleep(0.005)
        entry = pool_state.workers[_WORKER].entry
        pool_state.set_worker(dataclasses.replace(entry, draining=drains), 0.0)
    assert len(port.sent) == 1
    noted = [
        fields
        for event, fields in pool_state.events
        if event == "run:on-leaving"
    ]
    assert noted == (
        [{"task": key, "run": 7, "worker": _WORKER}] if drains else []
    )


async def test_start_is_not_sent_with_a_stale_worker_list(autojump_clock):
    """The list was recent when the start was decided, but is not when it is
    sent.
    """
    port = _Port()
    pool_state, link = _make_link(port, may_start=lambda _: False)
    job = build.make_job("00000000000000aa", build.make_step(1))
    pool_state.put_job(job, work.Progress(), 1, 0.0)
    pool_state.open_due_occurrences(2e6, 0.0)
    key = work.TaskKey(job.id, 0, 0, 0)
    pool_state.add_run(key, 7, _WORKER, 0.0)
    await link.start(worker_port.Start(key, 7, "", ""))
    assert port.sent == []
    assert pool_state.find_tracked_step(key).waiting_indices == {0}


async def test_refused_connection_is_not_retried_at_once(autojump_clock):
    """While a worker's process was down, one start was sent 222 times in 0.15
    s.
    """
    port = _Port(*[_NOT_SENT] * 1000)
    pool_state, link = _make_link(port)
    job = build.make_job("00000000000000aa", build.make_step(1))
    pool_state.put_job(job, work.Progress(), 1, 0.0)
    pool_state.open_due_occurrences(2e6, 0.0)
    key = work.TaskKey(job.id, 0, 0, 0)
    pool_state.add_run(key, 7, _WORKER, 0.0)
    with trio.fail_after(5.0):
        await link.start(worker_port.Start(key, 7, "", ""))
    assert 2 <= len(port.sent) <= 10
    assert pool_state.find_tracked_step(key).waiting_indices == {0}


async def test_whole_gang_is_stopped_when_a_member_is_given_up(autojump_clock):
    """The other members waited for it until their time was over, and ended
    alone.
    """
    port = _Port(*[_SILENT, *[_NOT_SENT] * 20])
    pool_state, link = _make_link(port)
    pool_state.set_worker(build.make_entry("w1"), 0.0)
    job = build.make_job("00000000000000aa", build.make_step(2, gang=True))
    pool_state.put_job(job, work.Progress(), 1, 0.0)
    pool_state.open_due_occurrences(2e6, 0.0)
    member = work.TaskKey(job.id, 0, 0, 0)
    other = work.TaskKey(job.id, 0, 0, 1)
    pool_state.add_run(member, 7, _WORKER, 0.0)
    pool_state.add_run(other, 7, "w1", 0.0)
    pool_state.note_started(other, 7, 0.0)
    await link.start(worker_port.Start(member, 7, "", ""))
    assert pool_state.runs[other].phase is tracking.Phase.STOPPING


# Guards against a late start of a stopped run that the worker's next process
# carries out, since that process was told of no stop: its first poll had no
# answer, the start's own answer was awaited for longer, or the stops were lost.
@pytest.mark.parametrize(
    ("polls", "answers", "noted_after_s"),
    [
        ([], [], 0.0),
        ([_SILENT], [], 0.0),
        ([_SILENT] * 8, [], 0.0),
        ([], [], 0.5),
        ([], [_SILENT] * 12, 0.0),
    ],
)
async def test_late_start_is_stopped_on_the_next_process(
    polls, answers, noted_after_s, autojump_clock
):
    port = _Port(*answers, polls=polls)
    starts = unanswered_starts.UnansweredStarts()
    pool_state, link = _make_link(port, pending_starts=starts)
    pool_state.workers[_WORKER].reached = False
    key = work.TaskKey("00000000000000aa", 0, 0, 0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.run)
        await trio.sleep(noted_after_s)
        earlier = "w0@earlier"
        starts.note(worker_port.Start(key, 7, ""), earlier, trio.current_time())
        await trio.sleep(14.0)
        nursery.cancel_scope.cancel()
    answered = port.sent[len(answers) :]
    assert answered == [worker_port.Stop(key, 7)]


# Guards against a late start on an idle worker that nobody sees.
@pytest.mark.parametrize(
    ("is_noted", "most", "least"), [(False, 1, 1), (True, 20, 10)]
)
async def test_idle_worker_is_polled_while_a_start_may_be_carried_out(
    is_noted, most, least, autojump_clock
):
    port = _Port()
    starts = unanswered_starts.UnansweredStarts()
    _, link = _make_link(port, pending_starts=starts)
    key = work.TaskKey("00000000000000aa", 0, 0, 0)
    if is_noted:
        starts.note(worker_port.Start(key, 7, ""), _WORKER, 0.0)
    with trio.move_on_after(60.0):
        await link.run()
    assert least <= port.polls_sent <= most


async def test_start_unanswered_after_a_restart_is_stopped_on_the_next_process(
    autojump_clock,
):
    """The next process may carry out a start whose answer is still awaited.

    Its link sends the stops of late starts once, which may be before the call
    to the earlier process has timed out.
    """
    first_port = _Port(_SILENT)
    pool_state, first_link = _make_link(first_port)
    job = build.make_job("00000000000000aa", build.make_step(1))
    build.add_job(pool_state, job)
    key = work.TaskKey(job.id, 0, 0, 0)
    pool_state.add_run(key, 7, _WORKER, 0.0)
    second_port = _Port()
    pool_state.set_worker(build.make_entry("w0@7"), 0.0)
    clock = clocks.Clock(trio.current_time, lambda: 1e6 + trio.current_time())
    second_link = worker_links.WorkerLink(
        "w0@7",
        second_port,
        1,
        pool_state,
        clock,
        _settle,
        _always,
        _always,
        _always,
        lambda: None,
        lambda *_: None,
        first_link._pending_starts,
    )
    async with trio.open_nursery() as nursery:
        first_port.delay_s = 0.35
        nursery.start_soon(first_link.start, worker_port.Start(key, 7, ""))
        await trio.sleep(0.05)
        nursery.start_soon(second_link.run)
        await trio.sleep(0.1)
        work.note_replaced(pool_state, _WORKER, 0.15, "w0@7", [])
        await trio.sleep(3.0)
        nursery.cancel_scope.cancel()
    assert worker_port.Stop(key, 7) in second_port.sent


async def test_stop_is_delivered_once_at_a_time(autojump_clock):
    """A repeated stop must not add to the calls to a worker that is slow."""
    port = _Port(*[_SILENT] * 3)
    _, link = _make_link(port)
    order = worker_port.Stop(work.TaskKey("00000000000000aa", 0, 0, 0), 7)
    async with trio.open_nursery() as nursery:
        for _ in range(5):
            nursery.start_soon(link.stop, order)
    assert port.sent == [order] * 4


# Guards against polls of a worker without an end: the platform still listed it
# when its leases had ended.
@pytest.mark.parametrize("unlisted_at", [2.0, 20.0])
async def test_link_to_a_lost_worker_ends_once_it_is_unlisted(
    unlisted_at, autojump_clock
):
    port = _Port(polls=[_SILENT] * 10_000)
    pool_state, link = _make_link(port)
    job = build.make_job("00000000000000aa", build.make_step(1))
    build.add_job(pool_state, job)
    build.apply_plan(pool_state)
    with trio.fail_after(30.0):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run)
            await trio.sleep(unlisted_at)
            pool_state.unlist_worker(_WORKER)
    assert not pool_state.runs


# Guards against an owner that ends with an error because a poll is answered, or
# fails, after its worker was forgotten.
@pytest.mark.parametrize("poll", [_SILENT, worker_port.Report(1000, (), ())])
@pytest.mark.parametrize("forgotten_after_s", [0.0, 0.005])
async def test_poll_may_outlive_its_worker(
    poll, forgotten_after_s, autojump_clock
):
    port = _Port(polls=[poll] * 3)
    pool_state, link = _make_link(port)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.run)
        await trio.sleep(forgotten_after_s)
        pool_state.forget_worker(_WORKER)


# Guards against starts whose lease ends before a takeover does because the
# worker's clock was last read minutes ago.
@pytest.mark.parametrize("clock_rate", [0.98, 1.0, 1.02])
@pytest.mark.parametrize(
    ("idle_s", "polls_sent"), [(1.0, 0), (50.0, 0), (80.0, 1), (600.0, 1)]
)
async def test_start_on_a_worker_that_was_idle_for_long(
    idle_s, polls_sent, clock_rate, autojump_clock
):
    port = _Port()
    port.clock_rate = clock_rate
    pool_state, link = _make_link(port)
    link.lease.note(1000, trio.current_time())
    job = build.make_job("00000000000000aa", build.make_step(1))
    pool_state.put_job(job, work.Progress(), 1, 0.0)
    pool_state.open_due_occurrences(2e6, 0.0)
    key = work.TaskKey(job.id, 0, 0, 0)
    pool_state.add_run(key, 7, _WORKER, 0.0)
    await trio.sleep(idle_s)
    await link.start(worker_port.Start(key, 7, "", ""))
    assert port.polls_sent == polls_sent
    sent_at = idle_s + 0.01 * polls_sent
    lease_ms = port.lease_ends_ms[0] - 1000 - sent_at * 1000 * clock_rate
    assert 3900 <= lease_ms <= 6000


# Guards against a start that is repeated, and extends the lease of all that
# runs on its worker, after its owner may no longer renew leases.
@pytest.mark.parametrize("answer", [_NOT_SENT, _SILENT])
@pytest.mark.parametrize("renewable_s", [-1.0, 0.1, 0.6])
async def test_start_is_not_sent_once_leases_may_not_be_renewed(
    answer, renewable_s, autojump_clock
):
    sent_at = []

    class Port(_Port):
        async def start(self, epoch, order, until_ms, timeout_s):
            sent_at.append(trio.current_time())
            await trio.sleep(0.05)
            return await super().start(epoch, order, until_ms, timeout_s)

    port = Port(*[answer] * 50)
    pool_state, link = _make_link(
        port, may_renew=lambda: trio.current_time() < renewable_s
    )
    job = build.make_job("00000000000000aa", build.make_step(1))
    pool_state.put_job(job, work.Progress(), 1, 0.0)
    pool_state.open_due_occurrences(2e6, 0.0)
    key = work.TaskKey(job.id, 0, 0, 0)
    pool_state.add_run(key, 7, _WORKER, 0.0)
    await link.start(worker_port.Start(key, 7, "", ""))
    assert all(at < renewable_s for at in sent_at)
    assert bool(sent_at) is (renewable_s > 0)


# Guards against a lease for the time after a suspension of the process that
# followed the check whether leases may be sent.
async def test_suspension_after_the_check_prolongs_no_lease(autojump_clock):
    suspended_s = 0.0

    def read_steady():
        return trio.current_time() + suspended_s

    def suspend_after_check():
        nonlocal suspended_s
        may_renew = read_steady() < 1.0
        suspended_s = 10.0
        return may_renew

    port = _Port()
    pool_state, link = _make_link(
        port, may_renew=suspend_after_check, steady=read_steady
    )
    job = build.make_job("00000000000000aa", build.make_step(1))
    pool_state.put_job(job, work.Progress(), 1, 0.0)
    pool_state.open_due_occurrences(2e6, 0.0)
    key = work.TaskKey(job.id, 0, 0, 0)
    pool_state.add_run(key, 7, _WORKER, 0.0)
    await link.start(worker_port.Start(key, 7, "", ""))
    assert port.lease_ends_ms == [500 + 6000]


class _ClosingConnection:
    """Closes after one answer, which lists a run and an end."""

    def __init__(self, opened_connections):
        self.is_open = True
        opened_connections.append(self)

    async def hold(self, epoch, seen, until_ms, wait_s):
        await trio.sleep(0.002)
        self.is_open = False
        key = work.TaskKey("00000000000000aa", 0, 0, 0)
        run = worker_port.ReportedRun(key, 7, "", 0.0, 0.0)
        end = worker_port.RunEnd(
            1, key._replace(position=1), 3, worker_port.RunOutcome.DONE, ""
        )
        return worker_port.Report(1000, (run,), (end,))

    async def stop(self, epoch, order, timeout_s):
        self.is_open = False
        return worker_port.Accepted(1000)

    async def aclose(self):
        self.is_open = False


# Guards against polls without a pause, each on a new connection: an end can't
# be confirmed to a worker that closes its connections, and it answers at once
# while it lists one.
async def test_polls_of_a_worker_that_closes_its_connections_are_few(
    autojump_clock,
):
    opened_connections = []
    port = connections.Connections(
        _WORKER, lambda: _ClosingConnection(opened_connections)
    )
    _, link = _make_link(port)
    with trio.move_on_after(5.0):
        await link.run()
    assert len(opened_connections) <= 30


class _LosingPort(_Port):
    """Leaves the first stop of some runs unanswered.

    Attributes:
        refused_at: When a stop of each run was answered first.
    """

    def __init__(self, lost_runs):
        super().__init__()
        self._lost_runs = set(lost_runs)
        self.refused_at = {}

    async def stop(self, epoch, order, timeout_s):
        if order.run in self._lost_runs:
            self._lost_runs.discard(order.run)
            await trio.sleep(timeout_s)
            return _SILENT
        self.refused_at.setdefault(order.run, trio.current_time())
        return await self._answer(order)


# Guards against a task that runs again: one stop without an answer holds up the
# stops of all other late starts on a worker's next process.
@pytest.mark.parametrize("lost_runs", [(), (1,), (1, 2, 3)])
async def test_late_starts_are_refused_side_by_side(lost_runs, autojump_clock):
    starts = unanswered_starts.UnansweredStarts()
    runs = range(1, 7)
    for run in runs:
        key = work.TaskKey("00000000000000aa", 0, 0, run)
        starts.note(worker_port.Start(key, run, ""), "earlier", 0.0)
    port = _LosingPort(lost_runs)
    _, link = _make_link(port, pending_starts=starts)
    with trio.move_on_after(3.0):
        await link.run()
    assert port.refused_at.keys() == set(runs)
    for run, refused_at in port.refused_at.items():
        assert refused_at < (0.8 if run in lost_runs else 0.1)


class _OvertakenPort(_Port):
    """Lists an end to a waiting poll, and none to a later poll after that."""

    async def hold(self, epoch, seen, until_ms, wait_s):
        self.polls_sent += 1
        number = self.polls_sent
        await trio.sleep({1: 0.0, 2: 1.0, 3: 0.2}.get(number, 0.1))
        key = work.TaskKey("00000000000000bb", 0, 0, 0)
        end = worker_port.RunEnd(1, key, 3, worker_port.RunOutcome.DONE, "")
        return worker_port.Report(1000, (), () if number in (1, 3) else (end,))


# Guards against a task that runs again after its end: an unlisted worker is
# forgotten although an end of it is not journaled, since another poll had been
# answered before that end and was read after it.
async def test_worker_with_unsaved_ends_is_polled_on(autojump_clock):
    ticks = itertools.count()
    pool_state, link = _make_link(
        _OvertakenPort(),
        settle=trio.sleep_forever,
        steady=lambda: trio.current_time() + next(ticks) * 1e-6,
    )
    job = build.make_job("00000000000000aa", build.make_step(1))
    build.add_job(pool_state, job)
    key = work.TaskKey(job.id, 0, 0, 0)
    pool_state.add_run(key, 7, _WORKER, 0.0)
    pool_state.unlist_worker(_WORKER)
    async with trio.open_nursery() as nursery:
        with trio.move_on_after(5.0) as scope:
            nursery.start_soon(_stop_later, link, worker_port.Stop(key, 7))
            await link.run()
    assert scope.cancelled_caught


async def _stop_later(link, order):
    await trio.sleep(0.9)
    await link.stop(order)
