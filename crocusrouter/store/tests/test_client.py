import pytest

from crocusrouter import store
from crocusrouter.store.tests import fakes


async def test_swap_creates_replaces_and_conflicts(autojump_clock):
    client = fakes.FakeService().open_client()
    created = await client.swap("k", None, b"1")
    assert isinstance(created, store.Committed)
    replaced = await client.swap("k", created.record, b"2")
    assert isinstance(replaced, store.Committed)
    late = await client.swap("k", created.record, b"3")
    assert isinstance(late, store.Conflict)
    assert late.current.value == b"2"
    assert (await client.read("k")).value == b"2"


# The caller sees one success. The write takes effect, its answer is lost, and
# the client sends the same write again, which conflicts with itself. Taking
# that for a lost race would refuse an edit that is in force.
@pytest.mark.parametrize(
    "failures",
    [["lose"], ["lose", "lose"], ["refuse", "lose"], ["lose", "refuse"]],
)
async def test_lost_answer_is_settled(autojump_clock, failures):
    service = fakes.FakeService()
    client = service.open_client()
    service.failures = list(failures)
    outcome = await client.swap("k", None, b"1")
    assert isinstance(outcome, store.Committed)
    assert (await client.read("k")).revision == outcome.record.revision


# The caller sees that its write took effect and is gone. Its answer is lost,
# another writer replaces the value, and then the repetition conflicts.
async def test_lost_answer_then_another_writer(autojump_clock):
    service = fakes.FakeService()
    client, other = service.open_client(), service.open_client()
    service.failures = ["lose"]
    real_request = service.request
    raced = []

    async def race(*args, **kwargs):
        if service.calls == 1 and not raced:
            raced.append(True)
            record = await other.read("k")
            await other.swap("k", record, b"theirs")
        return await real_request(*args, **kwargs)

    client._pool.request = race
    outcome = await client.swap("k", None, b"mine")
    assert isinstance(outcome, store.Superseded)
    assert outcome.current.value == b"theirs"


@pytest.mark.parametrize(
    ("failure", "maybe_written"), [("refuse", False), ("lose", True)]
)
async def test_gives_up_and_says_what_is_certain(
    autojump_clock, failure, maybe_written
):
    service = fakes.FakeService()
    client = service.open_client()
    service.failures = [failure] * 1000
    outcome = await client.swap("k", None, b"1", patience_s=1.0)
    assert isinstance(outcome, store.Unavailable)
    assert outcome.maybe_written is maybe_written
    assert client.failing_since is not None


async def test_calls_stay_within_the_budget(autojump_clock):
    import trio

    service = fakes.FakeService()
    client = service.open_client(calls_per_s=10.0, burst=5.0)
    started = trio.current_time()
    for _ in range(25):
        await client.read("k")
    assert trio.current_time() - started == pytest.approx(2.0)


async def test_foreign_value_is_named(autojump_clock):
    service = fakes.FakeService()
    client = service.open_client()
    from crocusrouter.store import wire

    service.store.put(wire.encode("k"), wire.encode(b"foreign"))
    with pytest.raises(ValueError, match="key prefix of its own"):
        await client.read("k")
