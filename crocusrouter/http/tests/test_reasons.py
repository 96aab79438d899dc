"""Every refusal and retry reason: what causes it, what it says, its counter."""

import pytest
import trio

from crocusrouter import codec
from crocusrouter.controllers.configuration import OwnerRecord
from crocusrouter.http.tests import test_queue_calls
from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import RetryReason
from crocusrouter.requests.claims import Claim
from crocusrouter.requests.claims import name_claim
from crocusrouter.store import records
from crocusrouter.store import wire
from standins import ports
from standins import runner
from standins import store as store_standin
from standins import worker
from standins import world as worlds

_SLOW = {"item": 1, "work_s": 0.5}


def _write(world, key, value):
    """Write a record as some other entry would have."""
    data = records.wrap(codec.pack(value), records.new_write_id(), ())
    world.store.put(wire.encode(key), wire.encode(data))


def _set_store(world, fault, **more):
    world.store.switch = store_standin.Switch(fault, **more)


async def _reserve(world, key="k1", document=None, **headers):
    body = {"item": 1} if document is None else document
    return await world.ask(
        "POST", "/v1/requests/reserve", body, Idempotency_Key=key, **headers
    )


async def _match(world, document=None, **headers):
    body = {"item": 1} if document is None else document
    return await world.ask("POST", "/v1/requests/match", body, **headers)


async def _submit(world, **fields):
    return await world.ask("POST", "/v1/jobs", {"kind": "tag"} | fields)


async def _send_raw(world, data):
    stream = await trio.open_tcp_stream("127.0.0.1", world.entries["e1"].port)
    async with stream:
        await stream.send_all(data)
        received = b""
        async for chunk in stream:
            received += chunk
    head, _, body = received.partition(b"\r\n\r\n")
    import orjson

    return worlds.Reply(int(head.split()[1]), {}, orjson.loads(body))


async def _malformed_http(world):
    return await _send_raw(
        world,
        b"POST /v1/requests/match HTTP/1.1\r\nHost: x\r\n"
        b"Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
    )


async def _malformed_json(world):
    return await world.ask("POST", "/v1/requests/match", body=b"{")


async def _malformed_header(world):
    return await _match(world, Request_Timeout="soon")


async def _invalid_document(world):
    return await world.put_template(surprise=1)


async def _body_too_large(world):
    return await world.ask("POST", "/v1/requests/match", body=b"1" * 3_000_000)


async def _unauthenticated(world):
    return await world.ask("POST", "/v1/requests/match", {}, key="wrong")


async def _unknown_kind(world):
    return await world.ask("POST", "/v1/requests/nothing", {})


async def _unknown_customer(world):
    return await world.ask(
        "GET", "/v1/templates/nobody", key=worlds.OPERATOR_KEY
    )


async def _unknown_job(world):
    await world.wait_owned()
    return await world.ask("GET", "/v1/jobs/dc.0000")


async def _deadline_passed(world):
    return await _match(world, Request_Timeout="0")


async def _deadline_unmeetable(world):
    for held in list(world.runners)[1:]:
        world.unlist_vm(held)
    entry = world.entries["e1"].entry
    await world.wait_for(lambda: len(entry.runners.list_loads("matching")) == 1)
    async with trio.open_nursery() as nursery:
        for _ in range(8):
            nursery.start_soon(_match, world, _SLOW)
        await world.wait_for(lambda: world.runners["run0"].busy == 8)
        return await _match(world, Request_Timeout="0.01")


async def _key_reused(world):
    await _reserve(world)
    return await _reserve(world, document={"item": 2})


async def _key_in_progress(world):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_reserve, world, "k1", _SLOW)
        await world.wait_for(
            lambda: sum(r.busy for r in world.runners.values())
        )
        return await _reserve(world, document=_SLOW)


async def _customer_limit(world):
    await world.put_template(max_in_flight=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_match, world, _SLOW)
        await world.wait_for(
            lambda: sum(r.busy for r in world.runners.values())
        )
        return await _match(world)


async def _no_endpoint(world):
    for name in world.runners:
        world.unlist_vm(name)
    entry = world.entries["e1"].entry
    await world.wait_for(lambda: not entry.runners.list_loads("matching"))
    return await _match(world)


async def _retry_budget_spent(world):
    await world.put_template(retry_share=0.02)
    for held in world.runners.values():
        held.slots = 0
    return await _match(world)


async def _not_ready(world):
    _set_store(world, store_standin.Fault.DOWN)
    # A peer would vouch as well, so the newcomer knows none.
    world.unlist_vm("e1")
    await world.add_entry("e2", wait=False)
    return await world.ask("POST", "/v1/requests/match", {}, entry="e2")


async def _store_unavailable(world):
    _set_store(world, store_standin.Fault.DOWN)
    return await _reserve(world)


async def _owner_unavailable(world):
    _write(world, "crocusrouter/control/owners/dc", OwnerRecord("e9", 9, 0))
    entry = world.entries["e1"].entry
    await world.wait_for(lambda: entry.configuration.find_owner("dc") == "e9")
    await world.wait_for(lambda: not entry.owned)
    return await _submit(world)


async def _never_fits(world):
    await world.wait_owned()
    return await _submit(world, accelerators=64, level="rack")


async def _queue_full(world):
    await world.put_template(max_jobs=1)
    await world.wait_owned()
    await _submit(world, run_time_s=60.0)
    return await _submit(world)


async def _revision_conflict(world):
    return await world.ask(
        "PUT",
        "/v1/templates/a",
        worlds.build_template(),
        key=worlds.OPERATOR_KEY,
        If_Match='"99"',
    )


async def _guarantees_do_not_fit(world):
    cell = {"data_centre": "dc", "level": "worker", "accelerators": 9}
    return await world.put_template(guarantee=[cell])


async def _answer_lost(world):
    for held in world.runners.values():
        held.fault = runner.Fault.SILENT
    return await _reserve(world, Request_Timeout="0.2")


async def _answer_mismatched(world):
    for held in world.runners.values():
        held.fault = runner.Fault.MISDIRECT
    return await _reserve(world)


async def _earlier_try_unknown(world):
    call = world.entries["e1"].entry.identify(
        _incoming(world, b'{"item":1}', "k1")
    )
    claim = Claim("e9", "life", call.digest)
    _write(world, f"crocusrouter/claims/{name_claim('a', 'k1')}", claim)
    return await _reserve(world)


def _incoming(world, body, key):
    from crocusrouter.requests import Incoming

    bearer = f"Bearer {worlds.CUSTOMER_KEY}"
    return Incoming("reserve", bearer, None, key, body)


async def _commit_unknown(world):
    await world.wait_owned()
    _set_store(world, store_standin.Fault.LOSE_ANSWERS)
    return await _submit(world)


_REFUSALS = {
    RefusalReason.MALFORMED_HTTP: (_malformed_http, 400, "not-run"),
    RefusalReason.MALFORMED_JSON: (_malformed_json, 400, "not-run"),
    RefusalReason.MALFORMED_HEADER: (_malformed_header, 400, "not-run"),
    RefusalReason.INVALID_DOCUMENT: (_invalid_document, 422, None),
    RefusalReason.BODY_TOO_LARGE: (_body_too_large, 413, "not-run"),
    RefusalReason.UNAUTHENTICATED: (_unauthenticated, 401, "not-run"),
    RefusalReason.UNKNOWN_KIND: (_unknown_kind, 404, "not-run"),
    RefusalReason.UNKNOWN_CUSTOMER: (_unknown_customer, 404, None),
    RefusalReason.UNKNOWN_JOB: (_unknown_job, 404, None),
    RefusalReason.DEADLINE_PASSED: (_deadline_passed, 408, "not-run"),
    RefusalReason.DEADLINE_UNMEETABLE: (_deadline_unmeetable, 503, "not-run"),
    RefusalReason.KEY_REUSED: (_key_reused, 422, "not-run"),
    RefusalReason.KEY_IN_PROGRESS: (_key_in_progress, 409, "unknown"),
    RefusalReason.CUSTOMER_LIMIT: (_customer_limit, 429, "not-run"),
    RefusalReason.NO_ENDPOINT: (_no_endpoint, 503, "not-run"),
    RefusalReason.RETRY_BUDGET_SPENT: (_retry_budget_spent, 503, "not-run"),
    RefusalReason.NOT_READY: (_not_ready, 503, "not-run"),
    RefusalReason.STORE_UNAVAILABLE: (_store_unavailable, 503, "unknown"),
    RefusalReason.OWNER_UNAVAILABLE: (_owner_unavailable, 503, None),
    RefusalReason.NEVER_FITS: (_never_fits, 422, None),
    RefusalReason.QUEUE_FULL: (_queue_full, 429, None),
    RefusalReason.REVISION_CONFLICT: (_revision_conflict, 412, None),
    RefusalReason.GUARANTEES_DO_NOT_FIT: (_guarantees_do_not_fit, 422, None),
    RefusalReason.ANSWER_LOST: (_answer_lost, 504, "unknown"),
    RefusalReason.ANSWER_MISMATCHED: (_answer_mismatched, 502, "unknown"),
    RefusalReason.EARLIER_TRY_UNKNOWN: (_earlier_try_unknown, 502, "unknown"),
    RefusalReason.COMMIT_UNKNOWN: (_commit_unknown, 503, None),
}


# The other reasons are in the table of the calls on queues.
@pytest.mark.parametrize(
    "reason",
    [r for r in RefusalReason if r not in test_queue_calls.REASONS],
)
async def test_refusal_is_typed_and_counted(reason):
    cause, status, outcome = _REFUSALS[reason]
    options = {}
    if reason is RefusalReason.OWNER_UNAVAILABLE:
        options = {"owner_ttl_s": 5.0, "task_lease_s": 10.0}
    async with worlds.open_world(**options) as world:
        await world.put_template()
        reply = await cause(world)
        assert reply.status == status, reply.document
        assert reply.document["reason"] == str(reason)
        assert reply.document["remedy"]
        assert reply.document.get("outcome") == outcome
        counts = sum(
            served.entry.metrics.counts[f"refused:{reason}"]
            for served in world.entries.values()
        )
        assert counts == 1
        exposed = await world.ask(
            "GET", "/metrics", entry=list(world.entries)[-1]
        )
        assert f'crocusrouter_refusals_total{{reason="{reason}"}}'.encode() in (
            exposed.document
        )


async def _close_unread(stream):
    async with stream:
        await stream.receive_some(1)


async def _endpoint_unreachable(world):
    [port] = ports.reserve_ports(1)
    world.list_vm("run0", "runner", port, service="matching", slots=8)
    world.unlist_vm("run1")
    await _wait_one_runner(world)
    return await _match(world, Request_Timeout="0.5")


async def _wait_one_runner(world):
    entry = world.entries["e1"].entry
    await world.wait_for(lambda: len(entry.runners.list_loads("matching")) == 1)


async def _endpoint_refused(world):
    for held in world.runners.values():
        held.slots = 0
    return await _match(world, Request_Timeout="0.3")


async def _retry_answer_lost(world):
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    world.nursery.start_soon(trio.serve_listeners, _close_unread, listeners)
    world.list_vm("run0", "runner", port, service="matching", slots=8)
    world.unlist_vm("run1")
    await _wait_one_runner(world)
    return await _match(world, Request_Timeout="0.5")


async def _retry_mismatched(world):
    for held in world.runners.values():
        held.fault = runner.Fault.MISDIRECT
    return await _match(world, Request_Timeout="0.3")


async def _store_answer_lost(world):
    _set_store(world, store_standin.Fault.LOSE_ANSWERS, share=0.5)
    for number in range(8):
        await _reserve(world, f"key-{number}")


async def _worker_lost(world):
    await world.wait_owned()
    reply = await _submit(world, run_time_s=60.0)
    owner = world.entries["e1"].entry.owned["dc"]
    job_id = reply.document["id"]
    await world.wait_for(lambda: job_id in owner.book.gangs)
    world.unlist_vm(owner.book.jobs[job_id].members[0].worker)
    await world.wait_for(lambda: owner.book.jobs[job_id].losses == 1)


async def _worker_declined(world):
    for held in world.workers.values():
        held.accelerators = 0
    await world.wait_owned()
    await _submit(world)
    await _wait_retried(world, RetryReason.WORKER_DECLINED)


async def _task_failed(world):
    for held in world.workers.values():
        held.fault = worker.Fault.FAIL_TASKS
    await world.wait_owned()
    await _submit(world)
    await _wait_retried(world, RetryReason.TASK_FAILED)


async def _wait_retried(world, reason):
    counts = world.entries["e1"].entry.metrics.counts
    await world.wait_for(lambda: counts[f"retried:{reason}"])


_RETRIES = {
    RetryReason.ENDPOINT_UNREACHABLE: _endpoint_unreachable,
    RetryReason.ENDPOINT_REFUSED: _endpoint_refused,
    RetryReason.ANSWER_LOST: _retry_answer_lost,
    RetryReason.ANSWER_MISMATCHED: _retry_mismatched,
    RetryReason.STORE_ANSWER_LOST: _store_answer_lost,
    RetryReason.WORKER_LOST: _worker_lost,
    RetryReason.WORKER_DECLINED: _worker_declined,
    RetryReason.TASK_FAILED: _task_failed,
}


@pytest.mark.parametrize("reason", list(RetryReason))
async def test_retry_is_counted(reason):
    async with worlds.open_world() as world:
        await world.put_template()
        await _RETRIES[reason](world)
        counts = world.entries["e1"].entry.metrics.counts
        assert counts[f"retried:{reason}"] >= 1
        exposed = await world.ask("GET", "/metrics")
        assert f'crocusrouter_retries_total{{reason="{reason}"}}'.encode() in (
            exposed.document
        )
