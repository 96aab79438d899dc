"""Swaps of the store client when answers are lost or writers compete."""

import pytest

from crocusrouter import store
from crocusrouter.store.tests import fakes


async def test_swap_creates_replaces_and_conflicts(autojump_clock):
    client = fakes.FakeService().open_client()
    created = await client.compare_and_swap("k", None, b"1")
    assert isinstance(created, store.Committed)
    replaced = await client.compare_and_swap("k", created.record, b"2")
    assert isinstance(replaced, store.Committed)
    late = await client.compare_and_swap("k", created.record, b"3")
    assert isinstance(late, store.Conflict)
    assert late.current.value == b"2"
    assert (await client.read("k")).value == b"2"


# The write takes effect, its answer is lost, and the client sends the same
# write again, which conflicts with the first one. If the client reported this
# as a conflict, an edit that is in force would be refused.
@pytest.mark.parametrize(
    "failures",
    [["lose"], ["lose", "lose"], ["refuse", "lose"], ["lose", "refuse"]],
)
async def test_swap_with_lost_answer_is_committed(autojump_clock, failures):
    service = fakes.FakeService()
    client = service.open_client()
    service.failures = list(failures)
    outcome = await client.compare_and_swap("k", None, b"1")
    assert isinstance(outcome, store.Committed)
    assert (await client.read("k")).revision == outcome.record.revision


# The write takes effect and its answer is lost. Another writer replaces the
# value before the client sends the write again, which then conflicts. The
# client must report that its write took effect and was replaced.
async def test_swap_with_lost_answer_is_superseded_by_another_writer(
    autojump_clock,
):
    service = fakes.FakeService()
    client, other_client = service.open_client(), service.open_client()
    service.failures = ["lose"]
    real_request = service.request
    race_done = []

    async def race(*args, **kwargs):
        if service.calls == 1 and not race_done:
            race_done.append(True)
            record = await other_client.read("k")
            await other_client.compare_and_swap("k", record, b"theirs")
        return await real_request(*args, **kwargs)

    client._pool.request = race
    outcome = await client.compare_and_swap("k", None, b"mine")
    assert isinstance(outcome, store.Superseded)
    assert outcome.current.value == b"theirs"


@pytest.mark.parametrize(
    ("failure", "maybe_written"), [("refuse", False), ("lose", True)]
)
async def test_timed_out_swap_reports_whether_it_may_be_written(
    autojump_clock, failure, maybe_written
):
    service = fakes.FakeService()
    client = service.open_client()
    service.failures = [failure] * 1000
    outcome = await client.compare_and_swap("k", None, b"1", timeout_s=1.0)
    assert isinstance(outcome, store.Unavailable)
    assert outcome.maybe_written is maybe_written
    assert client.failing_since is not None


async def test_call_rate_is_limited(autojump_clock):
    import trio

    service = fakes.FakeService()
    client = service.open_client(calls_per_s=10.0, burst=5.0)
    started = trio.current_time()
    for _ in range(25):
        await client.read("k")
    assert trio.current_time() - started == pytest.approx(2.0)


async def test_value_of_another_system_is_an_error(autojump_clock):
    service = fakes.FakeService()
    client = service.open_client()
    from crocusrouter.store import wire

    service.store.put(wire.encode("k"), wire.encode(b"foreign"))
    with pytest.raises(ValueError, match="key prefix of its own"):
        await client.read("k")
