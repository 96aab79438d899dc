"""Upkeep of a machine whose runner has not answered the new owner yet."""

import asyncio
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

import deployment3  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
POOL = "swapmatch"
MACHINES = 6
CUT_S = 5.5  # fbusw-crocus: node_cut "servers" share 0.17 for 5.5 s
COUNT, MAY_MISS = 12, 1
WATCH_S = 40.0
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "r-size",
            "host": "jobs.example",
            "prefix": "/size/",
            "kind": "unsafe",
            "timeout_ms": 3000,
            "target_duration_ms": 1000,
            "priority": 1,
            "service": POOL,
            "max_attempts": 3,
            "slack_factor": 3.0,
            "public": False,
        }
    ],
    "services": [{"name": POOL, "admission_check": True}],
    "tenants": [
        {"name": "t1", "api_keys": ["key-1"], "guaranteed": {"gpu": 8}}
    ],
    "limits": {"max_body_bytes": 262144},
}
JOB = "5c0e7a21d94b36f8"
JOB_BODY = {
    "spec": "serve",
    "steps": [
        {
            "count": COUNT,
            "cpu": 2000,
            "mem_mb": 1024,
            "gpu": 2,
            "est_duration_ms": 500,
            "long_running": True,
            "may_miss": MAY_MISS,
        }
    ],
}


def list_at_work(case):
    """Return the machine of each task of the step that is at work."""
    now = time.monotonic()
    return {
        run.task: machine.name
        for machine in case.platform.machines.values()
        if machine.state == "up"
        for run in machine.worker.runs.values()
        if run.percent(now) >= 100
    }


def find_breaks(case):
    """Return the tasks that an upkeep ended beyond what the step may miss.

    Only tasks that the same order has ended count as away, which is less than
    the rule counts.
    """
    breaks = []
    for at, machine, _, _, _, ended in case.platform.upkeeps:
        at_work = [
            (task, run)
            for task, run, percent, lasts in ended
            if lasts and percent >= 100
        ]
        breaks += [
            (round(at, 3), machine, task, run, others_away)
            for others_away, (task, run) in enumerate(at_work)
            if others_away >= MAY_MISS
        ]
    return breaks


async def play(case):
    """Restart the owner during a wave of upkeep while a runner is cut off."""
    record, platform = case.record, case.platform
    await case.open(CONFIG)
    for number in range(MACHINES):
        await platform.add_machine(
            f"m-{number + 1}", POOL, labels=("a", f"r1-{number // 3 + 1}")
        )
    if not await case.start_entries():
        record.write("an entry is not ready")
        return 2
    if not await case.wait_for(lambda: case.find_owner(POOL), 10.0):
        return 2
    platform.jobs[JOB] = JOB_BODY
    answer = await case.call(case.entries[0], "POST", f"/size/{JOB}", JOB_BODY)
    if answer is None or answer[0] != 200:
        return 2
    if not await case.wait_for(lambda: len(list_at_work(case)) == COUNT, 20.0):
        record.write("the step does not work")
        return 2
    await asyncio.sleep(4.0)
    at_work = list_at_work(case)
    counts = {m: list(at_work.values()).count(m) for m in platform.machines}
    record.write("at-work", counts=counts)
    victim = max(counts, key=lambda name: (counts[name], name))
    if counts[victim] <= MAY_MISS:
        record.write("no machine holds enough tasks")
        return 2
    owner = case.find_owner(POOL)
    record.write("wave", machines=sorted(platform.machines), max_count=1)
    await platform.store.put(
        "op/wave/1",
        {
            "wave": 1,
            "machines": sorted(platform.machines),
            "within_s": 90,
            "max_count": 1,
        },
    )
    record.write("sigterm", entry=owner.name)
    owner.send(signal.SIGTERM)
    if TROUBLE:
        cut = platform.machines[victim].cut
        cut.cut()
        record.write("cut", machine=victim, for_s=CUT_S)
        await asyncio.sleep(CUT_S)
        cut.heal()
        record.write("cut-ends", machine=victim)
    else:
        await asyncio.sleep(CUT_S)
    await owner.process.wait()
    record.write("entry-ended", entry=owner.name, code=owner.process.returncode)
    await owner.start()
    await asyncio.sleep(WATCH_S - CUT_S)
    status = platform.store.read_value("status/wave/1")
    record.write("status", wave=status)
    breaks = find_breaks(case)
    for row in breaks:
        record.write(
            "BROKEN AVAIL",
            at=row[0],
            machine=row[1],
            task=row[2],
            run=row[3],
            others_away=row[4],
        )
    record.write(
        "result",
        rule="AVAIL",
        breaks=len(breaks),
        upkeeps=len(platform.upkeeps),
    )
    return 1 if breaks else 0


deployment3.run_case(play, FOLDER, 3)
