"""Tests for closing data centres, over the listeners of entries."""

import pytest
import trio
from typer import testing

from crocusrouter import fleet
from crocusrouter.cli import main
from standins import world as worlds

_PATH = "/v1/data-centres"
_CLOSURE = f"{_PATH}/dc/closure"


async def _ask(world, method, path, **options):
    return await world.ask(method, path, key=worlds.OPERATOR_KEY, **options)


async def _list_row(world):
    reply = await _ask(world, "GET", _PATH)
    [row] = reply.document["data_centres"]
    return row


async def test_closed_data_centre_is_shown_with_what_still_runs():
    async with worlds.open_world() as world:
        await world.put_template()
        await world.wait_owned()
        await world.ask("POST", "/v1/jobs", {"kind": "tag", "run_time_s": 60})
        [owner] = world.entries["e1"].entry.local_owners.values()
        await world.wait_for(lambda: owner.scheduler_state.gangs)
        reply = await _ask(world, "PUT", f"{_CLOSURE}?force")
        assert reply.status == 200
        assert reply.document["guarantees_suspended"] == []
        row = await _list_row(world)
        assert row["name"] == "dc"
        assert row["owner"] == "e1"
        assert row["closure"] == {
            "closed_since": reply.document["closed_since"],
            "running_jobs": 1,
            "busy_accelerators": 1,
        }
        # Another entry asks the owner.
        await world.add_entry("e2")
        status = await _ask(world, "GET", "/v1/status", entry="e2")
        assert status.document["closed"]["dc"] == row["closure"]
        reply = await _ask(world, "DELETE", _CLOSURE)
        assert reply.document["closed_since"] is None
        assert (await _list_row(world))["closure"] is None


# Guards against a closure that a later edit of a template undoes, and against
# one that a second request begins anew.
async def test_closure_survives_edits_and_repeats():
    async with worlds.open_world() as world:
        cell = {"data_centre": "dc", "level": "worker", "accelerators": 8}
        await world.put_template(guarantee=[cell])
        closed = await _ask(world, "PUT", f"{_CLOSURE}?force")
        assert closed.document["guarantees_suspended"] == ["a"]
        edited = await world.put_template(guarantee=[cell], max_jobs=7)
        repeated = await _ask(world, "PUT", _CLOSURE)
        assert repeated.status == 200
        assert (
            repeated.document["closed_since"] == closed.document["closed_since"]
        )
        assert repeated.document["revision"] == edited.document["revision"]


# Guards against a data centre that stays closed because its workers are gone.
@pytest.mark.parametrize(("is_closed", "status"), [(True, 200), (False, 404)])
async def test_data_centre_without_workers_can_be_opened(is_closed, status):
    async with worlds.open_world() as world:
        if is_closed:
            await _ask(world, "PUT", f"{_CLOSURE}?force")
        for name in world.workers:
            world.unlist_vm(name)
        vm_list = world.entries["e1"].entry.vm_list
        await world.wait_for(lambda: not fleet.list_data_centres(vm_list.fleet))
        reply = await _ask(world, "DELETE", _CLOSURE)
        assert reply.status == status


@pytest.mark.parametrize(
    ("method", "path"),
    [("GET", _PATH), ("PUT", _CLOSURE), ("DELETE", _CLOSURE)],
)
async def test_customers_may_not_close_data_centres(method, path):
    async with worlds.open_world() as world:
        await world.put_template()
        reply = await world.ask(method, path)
        assert reply.status == 401


async def _run_command(world, *arguments):
    url = f"http://127.0.0.1:{world.entries['e1'].port}"
    options = ["--key", worlds.OPERATOR_KEY, "--entry", url]
    return await trio.to_thread.run_sync(
        lambda: testing.CliRunner().invoke(main.app, [*arguments, *options])
    )


async def test_commands_close_and_open_data_centres():
    async with worlds.open_world() as world:
        refused = await _run_command(world, "data-centre", "close", "dc")
        assert refused.exit_code == 5
        assert "--force" in refused.stderr
        unknown = await _run_command(world, "data-centre", "close", "nowhere")
        assert unknown.exit_code == 4
        assert "there are: dc" in unknown.stderr
        closed = await _run_command(
            world, "data-centre", "close", "dc", "--force"
        )
        assert closed.stdout.startswith("dc is closed to new work since")
        for command in (("data-centre", "list"), ("status",)):
            shown = await _run_command(world, *command)
            assert shown.exit_code == 0
            assert "SINCE" in shown.stdout
        opened = await _run_command(world, "data-centre", "open", "dc")
        assert opened.stdout == "dc is open to new work\n"
