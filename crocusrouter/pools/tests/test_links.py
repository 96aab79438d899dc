"""Orders that a worker leaves unanswered."""

import dataclasses

import pytest
import trio

from crocusrouter import work
from crocusrouter.pools import clock
from crocusrouter.pools import links
from crocusrouter.pools import unanswered
from crocusrouter.work import tracking
from crocusrouter.work import worker_port
from crocusrouter.work.tests import build

_WORKER = "w0"
_SILENT = worker_port.NoAnswer("lost", maybe_done=True)
_NOT_SENT = worker_port.NoAnswer("refused", maybe_done=False)


class _Port:
    """Answers orders from a script, then always takes them."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.sent = []

    async def _answer(self, order):
        self.sent.append(order)
        await trio.sleep(0.01)
        return (
            self.answers.pop(0) if self.answers else worker_port.Accepted(1000)
        )

    async def start(self, epoch, order, until_ms, timeout_s):
        return await self._answer(order)

    async def stop(self, epoch, order, timeout_s):
        return await self._answer(order)

    async def hold(self, epoch, seen, until_ms, wait_s):
        await trio.sleep(0.01)
        return worker_port.Report(1000, (), ())

    async def aclose(self):
        pass


async def _settle():
    pass


def _always(*_):
    return True


def _make_link(port, may_start=_always):
    book = work.PoolState(1)
    book.set_worker(build.make_entry(_WORKER), 0.0)
    book.workers[_WORKER].reached = True
    times = clock.Clock(trio.current_time, lambda: 1e6 + trio.current_time())
    link = links.WorkerLink(
        _WORKER,
        port,
        1,
        book,
        times,
        _settle,
        _always,
        may_start,
        lambda: None,
        lambda *_: None,
        unanswered.UnansweredStarts(),
    )
    link.lease.note(500, trio.current_time())
    return book, link


@pytest.mark.parametrize("lost", [1, 3, 6])
async def test_stop_of_an_unknown_run_is_repeated_until_taken(
    lost, autojump_clock
):
    """A job was cancelled while its start was unanswered; the worker carried
    it out seconds later. The owner's next look showed the run and a stop was
    sent, whose answer got lost. Nothing else looked at that worker, and the
    task ran until its lease ended.
    """
    port = _Port(*[_SILENT] * lost)
    _, link = _make_link(port)
    key = work.TaskKey("00000000000000aa", 0, 0, 0)
    await link.stop(worker_port.Stop(key, 7))
    assert len(port.sent) == lost + 1


async def test_stop_of_an_unknown_run_ends_with_its_lease(autojump_clock):
    """Nothing can run there any more, so there is nothing left to stop."""
    port = _Port(*[_SILENT] * 1000)
    _, link = _make_link(port)
    key = work.TaskKey("00000000000000aa", 0, 0, 0)
    with trio.fail_after(20.0):
        await link.stop(worker_port.Stop(key, 7))


@pytest.mark.parametrize(
    ("answer", "settled"), [(_NOT_SENT, True), (_SILENT, False)]
)
async def test_start_is_not_repeated_on_a_worker_that_drains(
    answer, settled, autojump_clock
):
    """A start is repeated for two seconds. The worker had said meanwhile that
    it leaves, and the task began 2 s later than anything new may begin there.
    """
    port = _Port(*[answer] * 50)
    book, link = _make_link(port)
    job = build.make_job("00000000000000aa", build.make_step(1))
    book.put_job(job, work.Progress(), 1, 0.0)
    book.open_due_occurrences(2e6, 0.0)
    key = work.TaskKey(job.id, 0, 0, 0)
    run = book.add_run(key, 7, _WORKER, 0.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.start, worker_port.Start(key, 7, "", ""))
        await trio.sleep(0.025)
        entry = book.workers[_WORKER].entry
        book.set_worker(dataclasses.replace(entry, draining=True), 0.0)
        sent = len(port.sent)
    assert len(port.sent) <= sent
    if settled:
        assert book.find_tracked_step(key).waiting_indices == {0}
    else:
        assert run.stop_reason == "its start was not answered"


@pytest.mark.parametrize("leaves", [False, True])
async def test_start_that_crosses_the_word_of_its_worker_is_told(
    leaves, autojump_clock
):
    """A worker says that it leaves while a start is on its way, and takes it.
    Callers see the same as with an owner that heard nothing; the line tells
    the two apart.
    """
    port = _Port()
    book, link = _make_link(port)
    job = build.make_job("00000000000000aa", build.make_step(1))
    book.put_job(job, work.Progress(), 1, 0.0)
    book.open_due_occurrences(2e6, 0.0)
    key = work.TaskKey(job.id, 0, 0, 0)
    book.add_run(key, 7, _WORKER, 0.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.start, worker_port.Start(key, 7, "", ""))
        await trio.sleep(0.005)
        entry = book.workers[_WORKER].entry
        book.set_worker(dataclasses.replace(entry, draining=leaves), 0.0)
    assert len(port.sent) == 1
    told = [facts for what, facts in book.events if what == "run:on-leaving"]
    assert told == (
        [{"task": key, "run": 7, "worker": _WORKER}] if leaves else []
    )


async def test_start_is_not_sent_by_a_list_that_is_stale(autojump_clock):
    """The list was heard when the start was decided, not when it is sent."""
    port = _Port()
    book, link = _make_link(port, may_start=lambda _: False)
    job = build.make_job("00000000000000aa", build.make_step(1))
    book.put_job(job, work.Progress(), 1, 0.0)
    book.open_due_occurrences(2e6, 0.0)
    key = work.TaskKey(job.id, 0, 0, 0)
    book.add_run(key, 7, _WORKER, 0.0)
    await link.start(worker_port.Start(key, 7, "", ""))
    assert port.sent == []
    assert book.find_tracked_step(key).waiting_indices == {0}


async def test_refused_connection_is_not_tried_again_at_once(autojump_clock):
    """A worker's process was away; one start was sent 222 times in 0.15 s."""
    port = _Port(*[_NOT_SENT] * 1000)
    book, link = _make_link(port)
    job = build.make_job("00000000000000aa", build.make_step(1))
    book.put_job(job, work.Progress(), 1, 0.0)
    book.open_due_occurrences(2e6, 0.0)
    key = work.TaskKey(job.id, 0, 0, 0)
    book.add_run(key, 7, _WORKER, 0.0)
    with trio.fail_after(5.0):
        await link.start(worker_port.Start(key, 7, "", ""))
    assert 2 <= len(port.sent) <= 10
    assert book.find_tracked_step(key).waiting_indices == {0}


async def test_gang_is_stopped_whole_once_a_member_is_given_up(autojump_clock):
    """The others waited for it until their time was over, and ended alone."""
    port = _Port(*[_SILENT, *[_NOT_SENT] * 20])
    book, link = _make_link(port)
    book.set_worker(build.make_entry("w1"), 0.0)
    job = build.make_job("00000000000000aa", build.make_step(2, gang=True))
    book.put_job(job, work.Progress(), 1, 0.0)
    book.open_due_occurrences(2e6, 0.0)
    member = work.TaskKey(job.id, 0, 0, 0)
    other = work.TaskKey(job.id, 0, 0, 1)
    book.add_run(member, 7, _WORKER, 0.0)
    book.add_run(other, 7, "w1", 0.0)
    book.note_started(other, 7, 0.0)
    await link.start(worker_port.Start(member, 7, "", ""))
    assert book.runs[other].phase is tracking.Phase.STOPPING
