"""Entries with their platform: what holds while parts of it fail."""

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


def _set_store(world, fault, **more):
    world.store.switch = store_standin.Switch(fault, **more)


async def _submit(world, key, entry="e1", **fields):
    return await world.ask(
        "POST",
        "/v1/jobs",
        {"kind": "tag"} | fields,
        entry=entry,
        Idempotency_Key=key,
    )


async def _find_state(world, job_id, entry="e1"):
    reply = await world.ask("GET", f"/v1/jobs/{job_id}", entry=entry)
    return reply.document.get("state")


async def _wait_state(world, job_id, state, entry="e1"):
    with trio.fail_after(10):
        while await _find_state(world, job_id, entry) != state:
            await trio.sleep(0.02)


# Operators see that their latest edit stays. The store is repaired from a
# backup and serves an older catalog under a new revision of its own. Entries
# refuse it, raise an alarm, and the next edit writes the newer one back.
async def test_older_catalog_is_refused_and_written_back():
    async with worlds.open_world(entries=2, runners=0, workers=0) as world:
        await world.put_template(max_jobs=1)
        old = world.store.values[wire.encode(_CATALOG_KEY)].data
        await world.put_template(max_jobs=2)
        world.store.put(wire.encode(_CATALOG_KEY), old)
        entries = [served.entry for served in world.entries.values()]
        await world.wait_for(
            lambda: all(e.configuration.alarm for e in entries)
        )
        for entry in entries:
            assert entry.configuration.catalog.revision == 2
            assert entry.metrics.counts["event:older-revision-refused"] >= 1
        reply = await world.put_template(max_jobs=3)
        assert reply.document["revision"] == 3
        await world.wait_for(
            lambda: not any(e.configuration.alarm for e in entries)
        )


# Two operators edit what both have read. Exactly one wins; the other is told
# which fields differ.
async def test_of_two_racing_edits_one_wins():
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
        [lost] = [r for r in replies if r.status == 412]
        assert "max_jobs" in lost.document["detail"]


# Two edits of two customers fit alone and not together. Whatever their order,
# the second one is refused, since both go through one value.
async def test_guarantees_that_fit_alone_but_not_together():
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


# Callers see that accepted jobs go on and requests flow while the store is
# away; new jobs are refused at once, and all works again when it is back.
async def test_store_outage():
    async with worlds.open_world() as world:
        await world.put_template()
        await world.wait_owned()
        running = await _submit(world, "k1", run_time_s=0.5)
        await _wait_state(world, running.document["id"], "assigned")
        _set_store(world, store_standin.Fault.DOWN)
        entry = world.entries["e1"].entry
        await world.wait_for(lambda: entry.store.failing_since is not None)
        refused = await _submit(world, "k2")
        assert refused.document["reason"] == "store-unavailable"
        assert int(refused.headers["retry-after"]) >= 1
        reply = await world.ask("POST", "/v1/requests/match", {"item": 1})
        assert reply.status == 200
        await trio.sleep(0.8)
        _set_store(world, store_standin.Fault.NONE)
        await _wait_state(world, running.document["id"], "done")
        await world.wait_for(lambda: entry.store.failing_since is None)
        accepted = await _submit(world, "k2")
        assert accepted.status == 201
        await _wait_state(world, accepted.document["id"], "done")


# Every process is replaced at once. No acknowledged job is missing, and the
# one that ran goes on under its lease: it runs once.
async def test_all_entries_replaced_at_once():
    async with worlds.open_world(
        entries=2, runners=0, task_lease_s=4.0
    ) as world:
        await world.put_template()
        await world.wait_owned()
        accepted = [
            (await _submit(world, f"k{n}", run_time_s=2.0)).document["id"]
            for n in range(3)
        ]
        for job_id in accepted:
            await _wait_state(world, job_id, "assigned")
        for name in ("e1", "e2"):
            world.entries[name].scope.cancel()
            world.unlist_vm(name)
        await world.add_entry("e3")
        await world.add_entry("e4")
        await world.wait_owned()
        for job_id in accepted:
            await _wait_state(world, job_id, "done", entry="e4")
        starts = [
            record.job_id
            for held in world.workers.values()
            for record in held.records
            if record.what == "started"
        ]
        assert sorted(starts) == sorted(accepted)


# The same submission to two entries at once is one job.
async def test_same_submission_to_two_entries_is_one_job():
    async with worlds.open_world(entries=2, runners=0) as world:
        await world.put_template()
        await world.wait_owned()
        replies = []

        async def submit(entry):
            replies.append(await _submit(world, "same", entry))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit, "e1")
            nursery.start_soon(submit, "e2")
        assert [reply.status for reply in replies] == [201, 201]
        assert len({reply.document["id"] for reply in replies}) == 1
        listed = await world.ask("GET", "/v1/jobs", entry="e2")
        assert len(listed.document["jobs"]) == 1


# Watches stay open and say nothing more, as when something between the two
# ends forgot the connection. An edit is still in force everywhere: a silent
# watch ends, and heartbeats carry the revision.
async def test_silent_watches():
    async with worlds.open_world(entries=2, runners=0, workers=0) as world:
        await world.put_template(max_jobs=1)
        _set_store(world, store_standin.Fault.CUT_WATCHES)
        reply = await world.put_template(max_jobs=2)
        assert reply.document["revision"] == 2
        second = world.entries["e2"].entry
        assert second.configuration.catalog.revision == 2


# A reservation's answer is lost with the entry that held the claim. The
# caller asks another entry with the same key and gets the truth: unknown.
# With the first entry alive it gets the first answer again.
@pytest.mark.parametrize("alive", [True, False])
async def test_key_asked_at_a_second_entry(alive):
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
        ran = sum(len(r.executions) for r in world.runners.values())
        assert ran == 1


# A request that certainly did not run may run at the entry asked next, and
# then no longer at the first one: both must swap the claim.
async def test_claim_passes_on_after_not_run():
    async with worlds.open_world(entries=2, workers=0) as world:
        await world.put_template(retry_share=0.0)
        # An entry that has not read of the other one yet can't ask it, and
        # truthfully says "unknown".
        peers = world.entries["e1"].entry.peers
        await world.wait_for(lambda: peers.find_link("e2") is not None)
        path = "/v1/requests/reserve"
        for held in world.runners.values():
            held.slots = 0
        first = await world.ask("POST", path, {"item": 7}, Idempotency_Key="k")
        assert first.headers["crocusrouter-outcome"] == "not-run"
        for held in world.runners.values():
            held.slots = 8
        for entry in ("e2", "e1"):
            reply = await world.ask(
                "POST", path, {"item": 7}, entry=entry, Idempotency_Key="k"
            )
            assert reply.headers["crocusrouter-outcome"] == "done"
        ran = sum(len(r.executions) for r in world.runners.values())
        assert ran == 1


# A leaving runner gets no new work once the list says so, and what it runs
# ends; the other runner takes over.
async def test_leaving_runner_gets_no_new_work():
    async with worlds.open_world(workers=0) as world:
        await world.put_template()
        entry = world.entries["e1"].entry
        vm = world.vms.truth["run0"]
        world.vms.change("run0", vm | {"state": "leaving"}, 0.0)
        await world.wait_for(
            lambda: any(
                load.leaving for load in entry.runners.list_loads("matching")
            )
        )
        before = len(world.runners["run0"].executions)
        for item in range(10):
            reply = await world.ask(
                "POST", "/v1/requests/match", {"item": item}
            )
            assert reply.status == 200
        assert len(world.runners["run0"].executions) == before


# Answers that are cut short, or that name another request, never reach a
# caller as whole ones.
@pytest.mark.parametrize("kind", ["match", "reserve"])
async def test_misdirected_answers_reach_nobody(kind):
    async with worlds.open_world(workers=0) as world:
        await world.put_template()
        for held in world.runners.values():
            held.fault = runner.Fault.MISDIRECT
        reply = await world.ask(
            "POST",
            f"/v1/requests/{kind}",
            {"item": 1},
            Request_Timeout="0.3",
        )
        assert reply.status == 502
        assert reply.headers["crocusrouter-outcome"] == "unknown"


# Malformed messages are refused while others are served as ever.
async def test_bad_input_harms_nobody_else():
    async with worlds.open_world(workers=0) as world:
        await world.put_template()
        lines = [
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
            for data in lines * 3:
                nursery.start_soon(send_bad, data)
            for item in range(30):
                nursery.start_soon(send_good, item)
        assert replies == [(200, True)] * 30


def test_catalog_keeps_its_own_revision():
    template = templates.Template("a", "0" * 64)
    catalog = templates.replace_template(templates.Catalog(5), template)
    data = templates.dump_catalog(catalog)
    assert templates.parse_catalog(data) == catalog
    assert dataclasses.replace(catalog, revision=1) != catalog
    record = records.unwrap("k", records.wrap(data, b"1", ()), 3)
    assert templates.parse_catalog(record.value).revision == 6


# A fault in the decisions of a data centre ends its ownership, not the entry:
# small requests go on, and the data centre has an owner again after the TTL.
async def test_fault_in_decisions_does_not_end_the_entry(monkeypatch):
    async with worlds.open_world() as world:
        await world.put_template()
        await world.wait_owned()
        entry = world.entries["e1"].entry
        first = entry.owned["dc"]

        def fail(*_):
            raise KeyError("w0")

        monkeypatch.setattr(first.scheduler_state, "submit", fail)
        monkeypatch.setattr(first.scheduler_state, "list_queued", fail)
        await world.wait_for(
            lambda: entry.metrics.counts["event:owner-failed"] == 1
        )
        reply = await world.ask("POST", "/v1/requests/match", {"item": 1})
        assert reply.status == 200
        await world.wait_for(lambda: entry.owned.get("dc") not in (None, first))
        await world.wait_owned()
        accepted = await _submit(world, "k1")
        await _wait_state(world, accepted.document["id"], "done")


# An owner can't reach the key-value service, while another entry can and
# takes over. The first one hears of the higher epoch from its peer and stops
# deciding, instead of renewing tasks that its successor counts as lost.
async def test_owner_cut_off_from_the_store_is_fenced_by_a_peer():
    async with worlds.open_world(entries=2, runners=0) as world:
        await world.put_template()
        await world.wait_owned()
        entries = [served.entry for served in world.entries.values()]
        [owner] = [entry for entry in entries if entry.owned]
        [other] = [entry for entry in entries if not entry.owned]

        async def fail(*_):
            raise httpcore.ConnectError("cut off")

        owner.store._pool.request = lambda *a, **k: fail()
        await world.wait_for(lambda: "dc" in other.owned)
        await world.wait_for(lambda: "dc" not in owner.owned)
        assert owner.metrics.counts["event:owner-fenced"] >= 1


async def test_gauges_are_exposed():
    async with worlds.open_world(runners=0) as world:
        await world.put_template()
        await world.wait_owned()
        exposed = (await world.ask("GET", "/metrics")).document
        for line in (
            b"crocusrouter_catalog_revision 1.0",
            b"crocusrouter_owned_data_centres 1.0",
            b"crocusrouter_ready 1.0",
        ):
            assert line in exposed
