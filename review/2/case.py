"""A new runner gets a task, and the platform's store is away right then."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standin  # noqa: E402

ROUNDS = 3
OUTAGE_S = 5.0


async def play(lab: standin.Lab, has_trouble: bool) -> None:
    """Play some rounds; each brings one new runner and one outage."""
    for number in range(5):
        await lab.add_runner(f"old-{number}")
        await asyncio.sleep(0.3)
    await lab.start(4)
    await lab.wait_until_serving()
    await asyncio.sleep(2.0)
    for number in range(ROUNDS):
        await play_round(lab, number, has_trouble)


async def play_round(lab: standin.Lab, number: int, has_trouble: bool) -> None:
    """Fill all runners, add one for the task that waits, and lose the store."""
    idle = [r for r in lab.runners.values() if r.alive]
    full = {"count": len(idle), "cpu": 8000, "mem_mb": 4096, "gpu": 8}
    full["est_duration_ms"] = 3500
    first = lab.make_job([full], [3.5])
    if not await lab.submit(first):
        raise RuntimeError("the first job was not accepted")
    if not await lab.wait_until(lambda: all(r.runs for r in idle), 8.0):
        raise RuntimeError("the runners were not filled")
    single = full | {"count": 1, "est_duration_ms": 12_000}
    second = lab.make_job([single], [12.0])
    if not await lab.submit(second):
        raise RuntimeError("the second job was not accepted")
    runner = await lab.add_runner(f"new-{number}")
    if not await lab.wait_until(lambda: bool(runner.runs), 4.0):
        raise RuntimeError("the new runner got nothing")
    if has_trouble:
        lab.store.set_mode("busy")
        await asyncio.sleep(OUTAGE_S)
        lab.store.set_mode("up")
    for job in (first, second):
        await lab.wait_for_state(job, ("completed", "failed"), 25.0)


if __name__ == "__main__":
    # TROUBLE=0 plays the same without the disruption.
    trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(standin.run_case(play, FOLDER, has_trouble=trouble))
