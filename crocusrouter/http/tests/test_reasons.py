"""Causes each refusal and retry, and checks its answer and its counter."""

import pytest
import trio

from crocusrouter import codec
from crocusrouter.controllers.configuration import OwnerRecord
from crocusrouter.http.tests import test_queue_endpoints
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

_SLOW_BODY = {"item": 1, "work_s": 0.5}


def _write_record(world, key, value):
    """Write a record as another entry would write it."""
    data = records.wrap(codec.pack(value), records.new_write_id(), ())
    world.store.put(wire.encode(key), wire.encode(data))


def _set_store_fault(world, fault, **options):
    world.store.switch = store_standin.Switch(fault, **options)


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


async def _cause_malformed_http(world):
    return await _send_raw(
        world,
        b"POST /v1/requests/match HTTP/1.1\r\nHost: x\r\n"
        b"Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
    )


async def _cause_malformed_json(world):
    return await world.ask("POST", "/v1/requests/match", body=b"{")


async def _cause_malformed_header(world):
    return await _match(world, Request_Timeout="soon")


async def _cause_invalid_document(world):
    return await world.put_template(surprise=1)


async def _cause_body_too_large(world):
    return await world.ask("POST", "/v1/requests/match", body=b"1" * 3_000_000)


async def _cause_unauthenticated(world):
    return await world.ask("POST", "/v1/requests/match", {}, key="wrong")


async def _cause_unknown_kind(world):
    return await world.ask("POST", "/v1/requests/nothing", {})


async def _cause_unknown_customer(world):
    return await world.ask(
        "GET", "/v1/templates/nobody", key=worlds.OPERATOR_KEY
    )


async def _cause_unknown_job(world):
    await world.wait_owned()
    return await world.ask("GET", "/v1/jobs/dc.0000")


async def _cause_deadline_passed(world):
    return await _match(world, Request_Timeout="0")


async def _cause_deadline_unmeetable(world):
    for runner_name in list(world.runners)[1:]:
        world.unlist_vm(runner_name)
    entry = world.entries["e1"].entry
    await world.wait_for(lambda: len(entry.runners.list_loads("matching")) == 1)
    async with trio.open_nursery() as nursery:
        for _ in range(8):
            nursery.start_soon(_match, world, _SLOW_BODY)
        await world.wait_for(lambda: world.runners["run0"].busy == 8)
        return await _match(world, Request_Timeout="0.01")


async def _cause_key_reused(world):
    await _reserve(world)
    return await _reserve(world, document={"item": 2})


async def _cause_key_in_progress(world):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_reserve, world, "k1", _SLOW_BODY)
        await world.wait_for(
            lambda: sum(
                runner_stub.busy for runner_stub in world.runners.values()
            )
        )
        return await _reserve(world, document=_SLOW_BODY)


async def _cause_customer_limit(world):
    await world.put_template(max_in_flight=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_match, world, _SLOW_BODY)
        await world.wait_for(
            lambda: sum(
                runner_stub.busy for runner_stub in world.runners.values()
            )
        )
        return await _match(world)


async def _cause_no_endpoint(world):
    for name in world.runners:
        world.unlist_vm(name)
    entry = world.entries["e1"].entry
    await world.wait_for(lambda: not entry.runners.list_loads("matching"))
    return await _match(world)


async def _cause_retry_budget_spent(world):
    await world.put_template(retry_share=0.02)
    for runner_stub in world.runners.values():
        runner_stub.slots = 0
    return await _match(world)


async def _cause_not_ready(world):
    _set_store_fault(world, store_standin.Fault.DOWN)
    # A peer could confirm the configuration too, so the new entry has no peer.
    world.unlist_vm("e1")
    await world.add_entry("e2", wait=False)
    return await world.ask("POST", "/v1/requests/match", {}, entry="e2")


async def _cause_store_unavailable(world):
    _set_store_fault(world, store_standin.Fault.DOWN)
    return await _reserve(world)


async def _cause_owner_unavailable(world):
    _write_record(
        world, "crocusrouter/control/owners/dc", OwnerRecord("e9", 9, 0)
    )
    entry = world.entries["e1"].entry
    await world.wait_for(
        lambda: entry.configuration.find_owner_name("dc") == "e9"
    )
    await world.wait_for(lambda: not entry.local_owners)
    return await _submit(world)


async def _cause_never_fits(world):
    await world.wait_owned()
    return await _submit(world, accelerators=64, level="rack")


async def _cause_queue_full(world):
    await world.put_template(max_jobs=1)
    await world.wait_owned()
    await _submit(world, run_time_s=60.0)
    return await _submit(world)


async def _close_data_centre(world, query=""):
    return await world.ask(
        "PUT", f"/v1/data-centres/dc/closure{query}", key=worlds.OPERATOR_KEY
    )


async def _cause_unknown_data_centre(world):
    return await world.ask(
        "PUT", "/v1/data-centres/none/closure", key=worlds.OPERATOR_KEY
    )


async def _cause_no_room_left(world):
    return await _close_data_centre(world)


async def _cause_data_centre_closed(world):
    await world.wait_owned()
    await _close_data_centre(world, "?force")
    return await _submit(world)


async def _cause_revision_conflict(world):
    return await world.ask(
        "PUT",
        "/v1/templates/a",
        worlds.build_template(),
        key=worlds.OPERATOR_KEY,
        If_Match='"99"',
    )


async def _cause_guarantees_do_not_fit(world):
    cell = {"data_centre": "dc", "level": "worker", "accelerators": 9}
    return await world.put_template(guarantee=[cell])


async def _cause_answer_lost(world):
    for runner_stub in world.runners.values():
        runner_stub.fault = runner.Fault.SILENT
    return await _reserve(world, Request_Timeout="0.2")


async def _cause_answer_mismatched(world):
    for runner_stub in world.runners.values():
        runner_stub.fault = runner.Fault.MISDIRECT
    return await _reserve(world)


async def _cause_earlier_try_unknown(world):
    call = world.entries["e1"].entry.identify(
        _incoming(world, b'{"item":1}', "k1")
    )
    claim = Claim("e9", "life", call.digest)
    _write_record(world, f"crocusrouter/claims/{name_claim('a', 'k1')}", claim)
    return await _reserve(world)


def _incoming(world, body, key):
    from crocusrouter.requests import IncomingRequest

    bearer = f"Bearer {worlds.CUSTOMER_KEY}"
    return IncomingRequest("reserve", bearer, None, key, body)


async def _cause_commit_unknown(world):
    await world.wait_owned()
    _set_store_fault(world, store_standin.Fault.LOSE_ANSWERS)
    return await _submit(world)


_REFUSALS = {
    RefusalReason.MALFORMED_HTTP: (_cause_malformed_http, 400, "not-run"),
    RefusalReason.MALFORMED_JSON: (_cause_malformed_json, 400, "not-run"),
    RefusalReason.MALFORMED_HEADER: (_cause_malformed_header, 400, "not-run"),
    RefusalReason.INVALID_DOCUMENT: (_cause_invalid_document, 422, None),
    RefusalReason.BODY_TOO_LARGE: (_cause_body_too_large, 413, "not-run"),
    RefusalReason.UNAUTHENTICATED: (_cause_unauthenticated, 401, "not-run"),
    RefusalReason.UNKNOWN_KIND: (_cause_unknown_kind, 404, "not-run"),
    RefusalReason.UNKNOWN_CUSTOMER: (_cause_unknown_customer, 404, None),
    RefusalReason.UNKNOWN_JOB: (_cause_unknown_job, 404, None),
    RefusalReason.UNKNOWN_DATA_CENTRE: (
        _cause_unknown_data_centre,
        404,
        None,
    ),
    RefusalReason.DEADLINE_PASSED: (_cause_deadline_passed, 408, "not-run"),
    RefusalReason.DEADLINE_UNMEETABLE: (
        _cause_deadline_unmeetable,
        503,
        "not-run",
    ),
    RefusalReason.KEY_REUSED: (_cause_key_reused, 422, "not-run"),
    RefusalReason.KEY_IN_PROGRESS: (_cause_key_in_progress, 409, "unknown"),
    RefusalReason.CUSTOMER_LIMIT: (_cause_customer_limit, 429, "not-run"),
    RefusalReason.NO_ENDPOINT: (_cause_no_endpoint, 503, "not-run"),
    RefusalReason.RETRY_BUDGET_SPENT: (
        _cause_retry_budget_spent,
        503,
        "not-run",
    ),
    RefusalReason.NOT_READY: (_cause_not_ready, 503, "not-run"),
    RefusalReason.STORE_UNAVAILABLE: (_cause_store_unavailable, 503, "unknown"),
    RefusalReason.OWNER_UNAVAILABLE: (_cause_owner_unavailable, 503, None),
    RefusalReason.NEVER_FITS: (_cause_never_fits, 422, None),
    RefusalReason.QUEUE_FULL: (_cause_queue_full, 429, None),
    RefusalReason.DATA_CENTRE_CLOSED: (_cause_data_centre_closed, 503, None),
    RefusalReason.NO_ROOM_LEFT: (_cause_no_room_left, 409, None),
    RefusalReason.REVISION_CONFLICT: (_cause_revision_conflict, 412, None),
    RefusalReason.GUARANTEES_DO_NOT_FIT: (
        _cause_guarantees_do_not_fit,
        422,
        None,
    ),
    RefusalReason.ANSWER_LOST: (_cause_answer_lost, 504, "unknown"),
    RefusalReason.ANSWER_MISMATCHED: (_cause_answer_mismatched, 502, "unknown"),
    RefusalReason.EARLIER_TRY_UNKNOWN: (
        _cause_earlier_try_unknown,
        502,
        "unknown",
    ),
    RefusalReason.COMMIT_UNKNOWN: (_cause_commit_unknown, 503, None),
}


# test_queue_endpoints covers the other reasons.
@pytest.mark.parametrize(
    "reason",
    [
        reason
        for reason in RefusalReason
        if reason not in test_queue_endpoints.REASONS
    ],
)
async def test_refusal_is_typed_and_counted(reason):
    cause_refusal, status, outcome = _REFUSALS[reason]
    options = {}
    if reason is RefusalReason.OWNER_UNAVAILABLE:
        options = {"owner_ttl_s": 5.0, "task_lease_s": 10.0}
    async with worlds.open_world(**options) as world:
        await world.put_template()
        reply = await cause_refusal(world)
        assert reply.status == status, reply.document
        assert reply.document["reason"] == str(reason)
        assert reply.document["remedy"]
        assert reply.document.get("outcome") == outcome
        counts = sum(
            emulated_entry.entry.metrics.counts[f"refused:{reason}"]
            for emulated_entry in world.entries.values()
        )
        assert counts == 1
        exposed = await world.ask(
            "GET", "/metrics", entry=list(world.entries)[-1]
        )
        assert f'crocusrouter_refusals_total{{reason="{reason}"}}'.encode() in (
            exposed.document
        )


async def _close_without_answer(stream):
    async with stream:
        await stream.receive_some(1)


async def _cause_endpoint_unreachable(world):
    [port] = ports.reserve_ports(1)
    world.list_vm("run0", "runner", port, service="matching", slots=8)
    world.unlist_vm("run1")
    await _wait_for_one_runner(world)
    return await _match(world, Request_Timeout="0.5")


async def _wait_for_one_runner(world):
    entry = world.entries["e1"].entry
    await world.wait_for(lambda: len(entry.runners.list_loads("matching")) == 1)


async def _cause_endpoint_refused(world):
    for runner_stub in world.runners.values():
        runner_stub.slots = 0
    return await _match(world, Request_Timeout="0.3")


async def _cause_retry_answer_lost(world):
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    world.nursery.start_soon(
        trio.serve_listeners, _close_without_answer, listeners
    )
    world.list_vm("run0", "runner", port, service="matching", slots=8)
    world.unlist_vm("run1")
    await _wait_for_one_runner(world)
    return await _match(world, Request_Timeout="0.5")


async def _cause_retry_mismatched(world):
    for runner_stub in world.runners.values():
        runner_stub.fault = runner.Fault.MISDIRECT
    return await _match(world, Request_Timeout="0.3")


async def _cause_store_answer_lost(world):
    _set_store_fault(world, store_standin.Fault.LOSE_ANSWERS, share=0.5)
    for number in range(8):
        await _reserve(world, f"key-{number}")


async def _cause_worker_lost(world):
    await world.wait_owned()
    reply = await _submit(world, run_time_s=60.0)
    owner = world.entries["e1"].entry.local_owners["dc"]
    job_id = reply.document["id"]
    await world.wait_for(lambda: job_id in owner.scheduler_state.gangs)
    world.unlist_vm(owner.scheduler_state.jobs[job_id].members[0].worker)
    await world.wait_for(lambda: owner.scheduler_state.jobs[job_id].losses == 1)


async def _cause_worker_declined(world):
    for worker_stub in world.workers.values():
        worker_stub.accelerators = 0
    await world.wait_owned()
    await _submit(world)
    await _wait_for_retry(world, RetryReason.WORKER_DECLINED)


async def _cause_task_failed(world):
    for worker_stub in world.workers.values():
        worker_stub.fault = worker.Fault.FAIL_TASKS
    await world.wait_owned()
    await _submit(world)
    await _wait_for_retry(world, RetryReason.TASK_FAILED)


async def _cause_retry_data_centre_closed(world):
    await world.wait_owned()
    for worker_stub in world.workers.values():
        worker_stub.fault = worker.Fault.BUSY
    await _submit(world)
    owner = world.entries["e1"].entry.local_owners["dc"]
    await world.wait_for(lambda: owner.scheduler_state.gangs)
    await _close_data_centre(world, "?force")
    for worker_stub in world.workers.values():
        worker_stub.fault = worker.Fault.NONE
    await _wait_for_retry(world, RetryReason.DATA_CENTRE_CLOSED)


async def _wait_for_retry(world, reason):
    counts = world.entries["e1"].entry.metrics.counts
    await world.wait_for(lambda: counts[f"retried:{reason}"])


_RETRIES = {
    RetryReason.ENDPOINT_UNREACHABLE: _cause_endpoint_unreachable,
    RetryReason.ENDPOINT_REFUSED: _cause_endpoint_refused,
    RetryReason.ANSWER_LOST: _cause_retry_answer_lost,
    RetryReason.ANSWER_MISMATCHED: _cause_retry_mismatched,
    RetryReason.STORE_ANSWER_LOST: _cause_store_answer_lost,
    RetryReason.WORKER_LOST: _cause_worker_lost,
    RetryReason.WORKER_DECLINED: _cause_worker_declined,
    RetryReason.TASK_FAILED: _cause_task_failed,
    RetryReason.DATA_CENTRE_CLOSED: _cause_retry_data_centre_closed,
}


@pytest.mark.parametrize("reason", list(RetryReason))
async def test_retry_is_counted(reason):
    options = {}
    if reason is RetryReason.DATA_CENTRE_CLOSED:
        # Workers that are busy for a while must not count as lost.
        options = {"task_lease_s": 10.0, "owner_ttl_s": 5.0}
    async with worlds.open_world(**options) as world:
        await world.put_template()
        await _RETRIES[reason](world)
        counts = world.entries["e1"].entry.metrics.counts
        assert counts[f"retried:{reason}"] >= 1
        exposed = await world.ask("GET", "/metrics")
        assert f'crocusrouter_retries_total{{reason="{reason}"}}'.encode() in (
            exposed.document
        )
