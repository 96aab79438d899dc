"""Tests for the age of the list of workers and the log of draining workers."""

import dataclasses

import eliot.testing
import pytest
import trio

from crocusrouter import work
from crocusrouter.pools import clocks
from crocusrouter.pools import worker_listing
from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics
from crocusrouter.work.tests import build

_LOST_ANSWER = client.StoreUnavailableError("lost")


class _Store:
    """Lists one worker; watches end as the script says, then by timeout."""

    def __init__(self, *script):
        self.script = list(script)
        self.waits = []

    async def read_prefix(self, prefix):
        return records.Snapshot((_list_worker("w0", revision=5),), 5)

    async def watch(self, prefix, revision, wait_s):
        self.waits.append(wait_s)
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


def _open_list(store, pool_state=None):
    metrics = Metrics()
    worker_list = worker_listing.WorkerList(
        worker_listing.ListSource("listed/", _parse),
        store,
        "p",
        pool_state or work.PoolState(1),
        clocks.Clock(trio.current_time, trio.current_time),
        metrics,
        worker_listing.ListListeners(
            lambda worker: None, lambda worker: None, lambda: None
        ),
    )
    return worker_list, metrics


@pytest.mark.parametrize(
    ("lost_answers", "are_held_back"),
    [
        pytest.param(0, False, id="calm"),
        pytest.param(1, False, id="one-lost-answer"),
        pytest.param(5, True, id="an-outage"),
    ],
)
async def test_starts_are_held_back_while_the_list_is_stale(
    lost_answers, are_held_back, autojump_clock
):
    """Starts are held back while the list is stale, but not by one lost answer.

    Answers get lost one after another, right after one that reported a change.
    One lost answer must hold nothing back, since that would cost every waiting
    job half a second; several are an outage.
    """
    change = records.Changed(_list_worker("w0", revision=6))
    worker_list, metrics = _open_list(
        _Store(change, *[_LOST_ANSWER] * lost_answers)
    )
    await worker_list.load()
    allowed = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(worker_list.run)
        for _ in range(80):
            allowed.append(worker_list.freshness.is_fresh(trio.current_time()))
            await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
    assert (False in allowed) is are_held_back
    assert allowed[-1]
    assert metrics.counts["event:view-stale"] == int(are_held_back)


@pytest.mark.parametrize(
    ("lost_answers", "second_at", "unheard_s", "started_unheard"),
    [
        pytest.param(0, -0.5, 0.0, 1, id="heard-at-once"),
        pytest.param(4, 0.5, 2.4, 2, id="deaf-follower"),
    ],
)
async def test_log_line_of_a_draining_worker(
    lost_answers, second_at, unheard_s, started_unheard, autojump_clock
):
    """The log line must distinguish a stale list from an order that took long.

    Two tasks were sent to a worker, and one of them is still in flight. The
    announcement that the worker drains arrives at once, or after lost answers.
    """
    job = build.make_job("0a", build.make_step(2))
    pool_state = build.make_pool_state(job, workers=("w0",))
    pool_state.open_due_occurrences(2e6, 0.0)
    draining_change = records.Changed(
        _list_worker("w0", revision=9, draining=True)
    )
    worker_list, _ = _open_list(
        _Store(*[_LOST_ANSWER] * lost_answers, draining_change), pool_state
    )
    await worker_list.load()
    began_at = trio.current_time()
    pool_state.add_run(work.TaskKey("0a", 0, 0, 0), 1, "w0", began_at)
    pool_state.add_run(
        work.TaskKey("0a", 0, 0, 1), 2, "w0", began_at + second_at
    )
    pool_state.note_started(work.TaskKey("0a", 0, 0, 0), 1, began_at)
    logger = eliot.testing.MemoryLogger()
    previous_logger = eliot.testing.swap_logger(logger)
    try:
        with trio.move_on_after(5.0):
            await worker_list.run()
    finally:
        eliot.testing.swap_logger(previous_logger)
    [line] = [
        line
        for line in logger.messages
        if line["message_type"] == "worker:leaves"
    ]
    assert line["revision"] == 9
    assert line["unheard_s"] == pytest.approx(unheard_s, abs=0.3)
    assert line["started_unheard"] == started_unheard
    assert line["under_way"] == 1


@pytest.mark.parametrize(
    ("announced", "expected"),
    [
        (["w0@5", "w0@7"], ["w0@7"]),
        (["w0@7", "w0@5"], ["w0@5"]),  # the clock was set back
        (["w0@5", "w0@7", None], []),
        (["w0@5", "w0@5"], ["w0@5"]),
        (["w0", "w0@5"], ["w0@5"]),
    ],
)
async def test_one_incarnation_of_a_worker_is_listed_at_a_time(
    announced, expected, autojump_clock
):
    """Work was sent to a process that had ended, and none to the next one."""
    events = [
        records.Removed("listed/w0", revision)
        if name is None
        else records.Changed(
            records.Record("listed/w0", name.encode(), revision)
        )
        for revision, name in enumerate(announced, 6)
    ]
    pool_state = work.PoolState(1)
    unlisted = []
    worker_list = worker_listing.WorkerList(
        worker_listing.ListSource(
            "listed/", lambda _, value: build.make_entry(value.decode())
        ),
        _EmptyStore(*events),
        "p",
        pool_state,
        clocks.Clock(trio.current_time, trio.current_time),
        Metrics(),
        worker_listing.ListListeners(
            lambda worker: None, unlisted.append, lambda: None
        ),
    )
    await worker_list.load()
    with trio.move_on_after(10.0):
        await worker_list.run()
    assert [
        name
        for name, worker_state in pool_state.workers.items()
        if worker_state.listed
    ] == expected
    assert set(unlisted) == {name for name in announced if name} - set(expected)


class _EmptyStore(_Store):
    """Lists no worker at first."""

    async def read_prefix(self, prefix):
        return records.Snapshot((), 5)
