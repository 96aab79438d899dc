"""A zone is cut off while a machine is added elsewhere: two owners act.

Of three entries, e3 has left as planned. Then the zone of e1 and e2 is cut off
from the store and from the other zone, and e4 is added in the other zone. It
succeeds the owner in the cut-off zone, which goes on renewing the leases of its
runners, because e2 attests that it has no successor.
"""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig3 import deployment  # noqa: E402
from rig3 import web  # noqa: E402

_JOB = "00000000000000a1"
_STEP = {
    "count": 6,
    "cpu": 16_000,
    "mem_mb": 1_000,
    "gpu": 4,
    "est_duration_ms": 60_000,
    "works_s": 60.0,
}
_NEAR_ZONE = "zone-0"
_FAR_ZONE = "zone-1"
# From the planned end of e3 to the cut.
_CALM_S = 14.0
# Day scale-2 of the site file has a cut of 12 s.
_CUT_S = 12.0


async def _answer_nothing(request: web.Request) -> web.Answer:
    del request
    raise web.NoAnswerError


def _cut(case: deployment.Deployment) -> None:
    """Cut the near zone off from the store and from the far zone."""
    case.note("trouble", kind="cut", zone=_NEAR_ZONE)
    case.store.silent_for |= {"e1", "e2"}
    for runner in case.runners:
        if runner.zone == _NEAR_ZONE:
            runner.is_far_cut = True
        else:
            runner.is_near_cut = True


def _heal(case: deployment.Deployment) -> None:
    case.note("trouble-over")
    case.store.silent_for.clear()
    for runner in case.runners:
        runner.is_far_cut = runner.is_near_cut = False


def _judge(case: deployment.Deployment) -> list[str]:
    """Return the runs that began beside another run of their task."""
    broken = []
    running: dict[str, dict[int, str]] = {}
    for row in case.rows:
        if row["what"] == "start":
            others = running.setdefault(row["task"], {})
            if others:
                broken.append(
                    f"TWICE: {row['at']} s: {row['task']} run {row['run']}"
                    f" starts on {row['id']} beside {others}"
                )
            others[row["run"]] = row["id"]
        elif row["what"] in ("end", "run-lost"):
            running.get(row["task"], {}).pop(row["run"], None)
    return broken


async def _play() -> list[str] | None:
    case = deployment.Deployment(entries=0, machines=6)
    no_link = web.Server(_answer_nothing)
    await no_link.start()
    async with case.run():
        e1 = await case.add_entry("e1", _NEAR_ZONE)
        e2 = await case.add_entry("e2", _NEAR_ZONE)
        e3 = await case.add_entry("e3", _FAR_ZONE)
        far_ways = {
            f"127.0.0.1:{runner.port}": f"127.0.0.1:{runner.far_port}"
            for runner in case.runners
        }
        case.store.shown["e3"] = far_ways
        e1.start()
        await asyncio.sleep(1.5)
        e2.start()
        e3.start()
        if not await case.wait_until_serving():
            return None
        if not await case.submit(_JOB, [_STEP], e1):
            return None
        await asyncio.sleep(2.0)
        e3.signal(signal.SIGTERM)
        case.note("removed", entry="e3")
        await asyncio.sleep(_CALM_S)
        if case.find_owner() not in (e1, e2) or e3.is_running():
            return None
        e4 = await case.add_entry("e4", _FAR_ZONE)
        case.store.shown["e4"] = far_ways
        if deployment.has_trouble():
            # The link between the entries of both zones is cut as well.
            case.store.shown["e4"] = far_ways | {
                f"127.0.0.1:{entry.mesh_port}": f"127.0.0.1:{no_link.port}"
                for entry in (e1, e2)
            }
            _cut(case)
        e4.start()
        case.note("added", entry="e4")
        await asyncio.sleep(_CUT_S)
        owner = case.find_owner()
        case.note("owner", entry=owner.name if owner else None)
        if deployment.has_trouble():
            _heal(case)
        await asyncio.sleep(3.0)
    broken = _judge(case)
    case.write_record(FOLDER / "record.txt", broken or ["held"])
    return broken


deployment.main(_play)
