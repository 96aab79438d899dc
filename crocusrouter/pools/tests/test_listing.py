"""The list of workers: its age, and what is told of a worker that leaves."""

import dataclasses

import eliot.testing
import pytest
import trio

from crocusrouter import work
from crocusrouter.pools import clock
from crocusrouter.pools import listing
from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics
from crocusrouter.work.tests import build

_LOST = client.StoreUnavailableError("lost")


class _Store:
    """Lists one worker; watches end as a script says, then with its time."""

    def __init__(self, *script):
        self.script = list(script)
        self.asked = []

    async def read_prefix(self, prefix):
        return records.Snapshot((_list_worker("w0", revision=5),), 5)

    async def watch(self, prefix, revision, wait_s):
        self.asked.append(wait_s)
        step = self.script.pop(0) if self.script else None
        if isinstance(step, client.StoreUnavailableError):
            await trio.sleep(wait_s + 0.4)
            raise step
        if step is not None:
            return key_value.Changes((step,), records.get_event_revision(step))
        await trio.sleep(wait_s)
        return key_value.Changes((), revision)


def _list_worker(name, revision, **changes):
    entry = build.make_entry(name, **changes)
    record = records.Record(f"listed/{name}", str(entry.draining).encode(), 5)
    return dataclasses.replace(record, revision=revision)


def _parse(key, value):
    name = key.removeprefix("listed/")
    return build.make_entry(name, draining=value == b"True")


def _open_list(store, book=None):
    metrics = Metrics()
    listed = listing.WorkerList(
        listing.Source("listed/", _parse),
        store,
        "p",
        book or work.Book(1),
        clock.Clock(trio.current_time, trio.current_time),
        metrics,
        listing.Listeners(
            lambda worker, address: None, lambda worker: None, lambda: None
        ),
    )
    return listed, metrics


@pytest.mark.parametrize(
    ("lost", "held"),
    [
        pytest.param(0, False, id="calm"),
        pytest.param(1, False, id="one-lost-answer"),
        pytest.param(5, True, id="an-outage"),
    ],
)
async def test_starts_held_back_while_the_list_is_not_heard(
    lost, held, autojump_clock
):
    """Answers get lost one after another, right after one that told of a
    change. One alone must hold nothing back, since each would cost every
    waiting job half a second; several are an outage.
    """
    told = records.Changed(_list_worker("w0", revision=6))
    listed, metrics = _open_list(_Store(told, *[_LOST] * lost))
    await listed.load()
    allowed = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(listed.run)
        for _ in range(80):
            allowed.append(listed.freshness.is_fresh(trio.current_time()))
            await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
    assert (False in allowed) is held
    assert allowed[-1]
    assert metrics.counts["event:view-stale"] == int(held)


@pytest.mark.parametrize(
    ("lost", "second_at", "unheard_s", "started"),
    [
        pytest.param(0, -0.5, 0.0, 1, id="heard-at-once"),
        pytest.param(4, 0.5, 2.4, 2, id="deaf-follower"),
    ],
)
async def test_line_of_a_worker_that_leaves(
    lost, second_at, unheard_s, started, autojump_clock
):
    """Two tasks went to a worker, one of them is still under way. The word
    that it leaves comes at once, or after lost answers. The line must tell a
    deaf owner from an order that took long.
    """
    job = build.make_job("0a", build.make_step(2))
    book = build.make_book(job, workers=("w0",))
    book.open_due(2e6, 0.0)
    leaves = records.Changed(_list_worker("w0", revision=9, draining=True))
    listed, _ = _open_list(_Store(*[_LOST] * lost, leaves), book)
    await listed.load()
    began = trio.current_time()
    book.add_run(work.TaskKey("0a", 0, 0, 0), 1, "w0", began)
    book.add_run(work.TaskKey("0a", 0, 0, 1), 2, "w0", began + second_at)
    book.note_taken(work.TaskKey("0a", 0, 0, 0), 1, began)
    logger = eliot.testing.MemoryLogger()
    before = eliot.testing.swap_logger(logger)
    try:
        with trio.move_on_after(5.0):
            await listed.run()
    finally:
        eliot.testing.swap_logger(before)
    [line] = [
        line
        for line in logger.messages
        if line["message_type"] == "worker:leaves"
    ]
    assert line["revision"] == 9
    assert line["unheard_s"] == pytest.approx(unheard_s, abs=0.3)
    assert line["started_unheard"] == started
    assert line["under_way"] == 1


@pytest.mark.parametrize(
    ("told", "listed"),
    [
        (["w0@5", "w0@7"], ["w0@7"]),
        (["w0@7", "w0@5"], ["w0@5"]),  # clocks jump
        (["w0@5", "w0@7", None], []),
        (["w0@5", "w0@5"], ["w0@5"]),
        (["w0", "w0@5"], ["w0@5"]),
    ],
)
async def test_one_incarnation_of_a_worker_is_listed_at_a_time(
    told, listed, autojump_clock
):
    """Work went to a process that had ended, and none to the next one."""
    events = [
        records.Removed("listed/w0", revision)
        if name is None
        else records.Changed(
            records.Record("listed/w0", name.encode(), revision)
        )
        for revision, name in enumerate(told, 6)
    ]
    book = work.Book(1)
    unlisted = []
    follower = listing.WorkerList(
        listing.Source(
            "listed/", lambda _, value: build.make_entry(value.decode())
        ),
        _Empty(*events),
        "p",
        book,
        clock.Clock(trio.current_time, trio.current_time),
        Metrics(),
        listing.Listeners(
            lambda worker, address: None, unlisted.append, lambda: None
        ),
    )
    await follower.load()
    with trio.move_on_after(10.0):
        await follower.run()
    assert [
        name for name, held in book.workers.items() if held.listed
    ] == listed
    assert set(unlisted) == {name for name in told if name} - set(listed)


class _Empty(_Store):
    """Lists nobody at first."""

    async def read_prefix(self, prefix):
        return records.Snapshot((), 5)
