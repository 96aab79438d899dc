"""Tests of whole entries whose platform, peers or workers fail."""

import dataclasses

import httpcore
import pytest
import trio

from crocusrouter import templates
from crocusrouter.store import records
from crocusrouter.store import wire
from standins import runner
from standins import store as store_standin
from standins import world as worlds

_CATALOG_KEY = "crocusrouter/control/catalog"


def _set_store_fault(world, fault, **switch_options):
    world.store.switch = store_standin.Switch(fault, **switch_options)


async def _submit_job(world, key, entry="e1", **fields):
    return await world.ask(
        "POST",
        "/v1/jobs",
        {"kind": "tag"} | fields,
        entry=entry,
        Idempotency_Key=key,
    )


async def _fetch_job_state(world, job_id, entry="e1"):
    reply = await world.ask("GET", f"/v1/jobs/{job_id}", entry=entry)
    return reply.document.get("state")


async def _wait_for_job_state(world, job_id, state, entry="e1"):
    with trio.fail_after(10):
        while await _fetch_job_state(world, job_id, entry) != state:
            await trio.sleep(0.02)


# An operator's latest edit is lost when the store is restored from a backup:
# it then serves an older catalog under a new store revision. Entries must
# refuse that catalog and raise an alarm, and the next edit must write the newer
# catalog back.
async def test_older_catalog_is_refused_and_written_back():
    async with worlds.open_world(entries=2, runners=0, workers=0) as world:
        await world.put_template(max_jobs=1)
        old_catalog = world.store.values[wire.encode(_CATALOG_KEY)].data
        await world.put_template(max_jobs=2)
        world.store.put(wire.encode(_CATALOG_KEY), old_catalog)
        entries = [served.entry for served in world.entries.values()]
        await world.wait_for(
            lambda: all(entry.configuration.alarm for entry in entries)
        )
        for entry in entries:
            assert entry.configuration.catalog.revision == 2
            assert entry.metrics.counts["event:older-revision-refused"] >= 1
        reply = await world.put_template(max_jobs=3)
        assert reply.document["revision"] == 3
        await world.wait_for(
            lambda: not any(entry.configuration.alarm for entry in entries)
        )


# Two operators edit the same revision at the same time, and the second edit
# silently overwrites the first. Exactly one edit must succeed; the other must
# be told which fields differ.
async def test_one_of_two_concurrent_edits_wins():
    async with worlds.open_world(entries=2, runners=0, workers=0) as world:
        await world.put_template()
        replies = []

        async def edit(entry, max_jobs):
            replies.append(
                await world.ask(
                    "PUT",
                    "/v1/templates/a",
                    worlds.build_template() | {"max_jobs": max_jobs},
                    entry=entry,
                    key=worlds.OPERATOR_KEY,
                    If_Match='"1"',
                )
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(edit, "e1", 5)
            nursery.start_soon(edit, "e2", 6)
        assert sorted(reply.status for reply in replies) == [200, 412]
        [conflict] = [reply for reply in replies if reply.status == 412]
        assert "max_jobs" in conflict.document["detail"]


# Two customers' edits add guarantees that fit separately but not together. In
# either order the second edit must be refused; both write the same catalog key,
# so each is checked against the other.
async def test_guarantees_that_fit_only_separately():
    async with worlds.open_world(entries=2, runners=0, workers=2) as world:
        cell = {"data_centre": "dc", "level": "worker", "accelerators": 8}
        replies = []

        async def edit(entry, customer):
            document = worlds.build_template() | {
                "customer": customer,
                "guarantee": [cell | {"count": 2}],
            }
            path = f"/v1/templates/{customer}"
            replies.append(
                await world.ask(
                    "PUT", path, document, entry=entry, key=worlds.OPERATOR_KEY
                )
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(edit, "e1", "a")
            nursery.start_soon(edit, "e2", "b")
        reasons = {reply.document.get("reason") for reply in replies}
        assert reasons == {None, "guarantees-do-not-fit"}


# While the store is down, accepted jobs must go on, requests must be answered
# and new jobs must be refused at once. All must work again when it is back.
async def test_store_outage():
    async with worlds.open_world() as world:
        await world.put_template()
        await world.wait_owned()
        first_reply = await _submit_job(world, "k1", run_time_s=0.5)
        await _wait_for_job_state(world, first_reply.document["id"], "assigned")
        _set_store_fault(world, store_standin.Fault.DOWN)
        entry = world.entries["e1"].entry
        await world.wait_for(lambda: entry.store.failing_since is not None)
        refusal = await _submit_job(world, "k2")
        assert refusal.document["reason"] == "store-unavailable"
        assert int(refusal.headers["retry-after"]) >= 1
        reply = await world.ask("POST", "/v1/requests/match", {"item": 1})
        assert reply.status == 200
        await trio.sleep(0.8)
        _set_store_fault(world, store_standin.Fault.NONE)
        await _wait_for_job_state(world, first_reply.document["id"], "done")
        await world.wait_for(lambda: entry.store.failing_since is None)
        accepted_reply = await _submit_job(world, "k2")
        assert accepted_reply.status == 201
        await _wait_for_job_state(world, accepted_reply.document["id"], "done")


# All entries are replaced at the same time. No acknowledged job may be missing,
# and a running job must go on under its lease, so that it runs once.
async def test_all_entries_replaced_at_once():
    async with worlds.open_world(
        entries=2, runners=0, task_lease_s=4.0
    ) as world:
        await world.put_template()
        await world.wait_owned()
        accepted_ids = [
            (await _submit_job(world, f"k{n}", run_time_s=2.0)).document["id"]
            for n in range(3)
        ]
        for job_id in accepted_ids:
            await _wait_for_job_state(world, job_id, "assigned")
        for name in ("e1", "e2"):
            world.entries[name].scope.cancel()
            world.unlist_vm(name)
        await world.add_entry("e3")
        await world.add_entry("e4")
        await world.wait_owned()
        for job_id in accepted_ids:
            await _wait_for_job_state(world, job_id, "done", entry="e4")
        started_ids = [
            record.job_id
            for worker in world.workers.values()
            for record in worker.records
            if record.what == "started"
        ]
        assert sorted(started_ids) == sorted(accepted_ids)


# A caller sends the same submission to two entries at the same time. Both must
# answer with the same job.
async def test_same_submission_to_two_entries_is_one_job():
    async with worlds.open_world(entries=2, runners=0) as world:
        await world.put_template()
        await world.wait_owned()
        replies = []

        async def submit(entry):
            replies.append(await _submit_job(world, "same", entry))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit, "e1")
            nursery.start_soon(submit, "e2")
        assert [reply.status for reply in replies] == [201, 201]
        assert len({reply.document["id"] for reply in replies}) == 1
        listed = await world.ask("GET", "/v1/jobs", entry="e2")
        assert len(listed.document["jobs"]) == 1


# Watches stay open but deliver nothing, as when a device between the two ends
# has dropped the connection's state. An edit must still come into force at all
# entries: silent watches are ended, and heartbeats carry the revision.
async def test_silent_watches():
    async with worlds.open_world(entries=2, runners=0, workers=0) as world:
        await world.put_template(max_jobs=1)
        _set_store_fault(world, store_standin.Fault.CUT_WATCHES)
        reply = await world.put_template(max_jobs=2)
        assert reply.document["revision"] == 2
        second = world.entries["e2"].entry
        assert second.configuration.catalog.revision == 2


# A caller sends a request to a second entry under the same idempotency key. If
# the first entry, which holds the claim, is alive, the caller must get the
# first answer again. If it is gone, the outcome must be "unknown", and the
# request must not run twice.
@pytest.mark.parametrize("alive", [True, False])
async def test_key_used_again_at_a_second_entry(alive):
    async with worlds.open_world(entries=2, workers=0) as world:
        await world.put_template()
        path = "/v1/requests/reserve"
        first = await world.ask("POST", path, {"item": 7}, Idempotency_Key="k")
        assert first.headers["crocusrouter-outcome"] == "done"
        if not alive:
            world.entries["e1"].scope.cancel()
        again = await world.ask(
            "POST", path, {"item": 7}, entry="e2", Idempotency_Key="k"
        )
        if alive:
            assert again.document == first.document
            assert again.headers["idempotency-repeat"] == "true"
        else:
            assert again.headers["crocusrouter-outcome"] == "unknown"
            assert again.document["reason"] == "earlier-try-unknown"
        execution_count = sum(
            len(runner_standin.executions)
            for runner_standin in world.runners.values()
        )
        assert execution_count == 1


# A request that certainly did not run may run at the entry that the caller asks
# next, and from then on no longer at the first entry. To run it, either entry
# must first swap the claim.
async def test_claim_moves_to_another_entry_after_not_run():
    async with worlds.open_world(entries=2, workers=0) as world:
        await world.put_template(retry_share=0.0)
        # An entry that has not yet read of the other one in the VM list can't
        # ask it and correctly answers "unknown".
        peers = world.entries["e1"].entry.peer_controller
        await world.wait_for(lambda: peers.find_link("e2") is not None)
        path = "/v1/requests/reserve"
        for runner_standin in world.runners.values():
            runner_standin.slots = 0
        first = await world.ask("POST", path, {"item": 7}, Idempotency_Key="k")
        assert first.headers["crocusrouter-outcome"] == "not-run"
        for runner_standin in world.runners.values():
            runner_standin.slots = 8
        for entry in ("e2", "e1"):
            reply = await world.ask(
                "POST", path, {"item": 7}, entry=entry, Idempotency_Key="k"
            )
            assert reply.headers["crocusrouter-outcome"] == "done"
        execution_count = sum(
            len(runner_standin.executions)
            for runner_standin in world.runners.values()
        )
        assert execution_count == 1


# Once the VM list shows that a runner is leaving, it must get no new requests;
# the other runner must answer them.
async def test_leaving_runner_gets_no_new_work():
    async with worlds.open_world(workers=0) as world:
        await world.put_template()
        entry = world.entries["e1"].entry
        vm = world.vms.listed_vms["run0"]
        world.vms.change("run0", vm | {"state": "leaving"}, 0.0)
        await world.wait_for(
            lambda: any(
                load.leaving for load in entry.runners.list_loads("matching")
            )
        )
        previous_count = len(world.runners["run0"].executions)
        for item in range(10):
            reply = await world.ask(
                "POST", "/v1/requests/match", {"item": item}
            )
            assert reply.status == 200
        assert len(world.runners["run0"].executions) == previous_count


# A runner's answers belong to other requests. No caller may get such an answer
# as the answer to its own request.
@pytest.mark.parametrize("kind", ["match", "reserve"])
async def test_misdirected_answers_reach_no_caller(kind):
    async with worlds.open_world(workers=0) as world:
        await world.put_template()
        for runner_standin in world.runners.values():
            runner_standin.fault = runner.Fault.MISDIRECT
        reply = await world.ask(
            "POST",
            f"/v1/requests/{kind}",
            {"item": 1},
            Request_Timeout="0.3",
        )
        assert reply.status == 502
        assert reply.headers["crocusrouter-outcome"] == "unknown"


# Malformed HTTP messages must not affect the requests of other callers.
async def test_bad_input_does_not_affect_other_callers():
    async with worlds.open_world(workers=0) as world:
        await world.put_template()
        malformed_messages = [
            b"GET / HTTP/9.9\r\n\r\n",
            b"\x00\x01\x02\r\n\r\n",
            b"POST /v1/requests/match HTTP/1.1\r\nHost: x\r\n"
            b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n",
            b"POST /v1/requests/match HTTP/1.1\r\nHost: x\r\n"
            b"Content-Length: -1\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: x\r\n" + b"a: b\r\n" * 5000,
        ]
        port = world.entries["e1"].port
        replies = []

        async def send_bad(data):
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            async with stream:
                with trio.move_on_after(1.0):
                    await stream.send_all(data)
                    await stream.receive_some(1 << 16)

        async def send_good(item):
            document = {"item": item}
            reply = await world.ask("POST", "/v1/requests/match", document)
            replies.append((reply.status, reply.document["item"] == item))

        async with trio.open_nursery() as nursery:
            for data in malformed_messages * 3:
                nursery.start_soon(send_bad, data)
            for item in range(30):
                nursery.start_soon(send_good, item)
        assert replies == [(200, True)] * 30


def test_catalog_keeps_its_own_revision():
    template = templates.Template("a", "0" * 64)
    catalog = templates.replace_template(templates.Catalog(5), template)
    packed_catalog = templates.dump_catalog(catalog)
    assert templates.parse_catalog(packed_catalog) == catalog
    assert dataclasses.replace(catalog, revision=1) != catalog
    record = records.unwrap("k", records.wrap(packed_catalog, b"1", ()), 3)
    assert templates.parse_catalog(record.value).revision == 6


# An error in scheduling one data centre must end the ownership of that data
# centre only, not the entry: small requests must still be answered, and the
# data centre must have an owner again after the TTL.
async def test_error_in_scheduling_does_not_end_the_entry(monkeypatch):
    async with worlds.open_world() as world:
        await world.put_template()
        await world.wait_owned()
        entry = world.entries["e1"].entry
        first_owner = entry.local_owners["dc"]

        def fail(*_):
            raise KeyError("w0")

        monkeypatch.setattr(first_owner.scheduler_state, "submit", fail)
        monkeypatch.setattr(first_owner.scheduler_state, "list_queued", fail)
        await world.wait_for(
            lambda: entry.metrics.counts["event:owner-failed"] == 1
        )
        reply = await world.ask("POST", "/v1/requests/match", {"item": 1})
        assert reply.status == 200
        await world.wait_for(
            lambda: entry.local_owners.get("dc") not in (None, first_owner)
        )
        await world.wait_owned()
        accepted_reply = await _submit_job(world, "k1")
        await _wait_for_job_state(world, accepted_reply.document["id"], "done")


# An owner can't reach the key-value service, and an entry that can takes over.
# The first owner must learn of the higher epoch from its peer and stop, or it
# would renew the leases of tasks that its successor counts as lost.
async def test_owner_cut_off_from_the_store_is_fenced_by_a_peer():
    async with worlds.open_world(entries=2, runners=0) as world:
        await world.put_template()
        await world.wait_owned()
        entries = [served.entry for served in world.entries.values()]
        [owner_entry] = [entry for entry in entries if entry.local_owners]
        [other_entry] = [entry for entry in entries if not entry.local_owners]

        async def fail(*_):
            raise httpcore.ConnectError("cut off")

        owner_entry.store._pool.request = lambda *a, **k: fail()
        await world.wait_for(lambda: "dc" in other_entry.local_owners)
        await world.wait_for(lambda: "dc" not in owner_entry.local_owners)
        assert owner_entry.metrics.counts["event:owner-fenced"] >= 1


async def test_gauges_are_exposed():
    async with worlds.open_world(runners=0) as world:
        await world.put_template()
        await world.wait_owned()
        exposed_metrics = (await world.ask("GET", "/metrics")).document
        for line in (
            b"crocusrouter_catalog_revision 1.0",
            b"crocusrouter_owned_data_centres 1.0",
            b"crocusrouter_ready 1.0",
        ):
            assert line in exposed_metrics
