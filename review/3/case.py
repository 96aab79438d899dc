"""One of eight runners goes down and up by turns, and a sound job waits."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standin  # noqa: E402

STEADY_RUNNERS = 7
UP_S = 2.0
# `addr_reuse_s` of the sites: another runner may come at the address after it.
DOWN_S = 2.0
FLAPPING_S = 13.0


async def flap(lab: standin.Lab, has_trouble: bool) -> None:
    """Let one runner crash and come back, with a new id, by turns."""
    until = asyncio.get_running_loop().time() + FLAPPING_S
    number = 0
    runner = await lab.add_runner(f"flapping-{number}")
    port = runner.port
    while has_trouble and asyncio.get_running_loop().time() < until:
        await asyncio.sleep(UP_S)
        runner.crash()
        await asyncio.sleep(DOWN_S)
        number += 1
        runner = await lab.add_runner(f"flapping-{number}", port=port)


async def play(lab: standin.Lab, has_trouble: bool) -> None:
    """Fill the steady runners, then hand a job of one task in."""
    for number in range(STEADY_RUNNERS):
        await lab.add_runner(f"runner-{number}")
        await asyncio.sleep(0.2)
    await lab.start(4)
    await lab.wait_until_serving()
    await asyncio.sleep(1.0)
    full = {"cpu": 8000, "mem_mb": 4096, "gpu": 8}
    long_step = full | {"count": STEADY_RUNNERS, "est_duration_ms": 45_000}
    long_job = lab.make_job([long_step], [45.0])
    if not await lab.submit(long_job):
        raise RuntimeError("the long job was not accepted")
    await asyncio.sleep(1.0)
    step = full | {"count": 1, "est_duration_ms": 4000}
    job = lab.make_job([step], [4.0])
    if not await lab.submit(job):
        raise RuntimeError("the job was not accepted")
    flapping = asyncio.create_task(flap(lab, has_trouble))
    states = ("completed", "failed", "cancelled", "410")
    for each in (job, long_job):
        state = await lab.wait_for_state(each, states, 70.0)
        # No run has ended `failed`, so nothing but "completed" is allowed.
        if state in states[1:]:
            lab.record.note_broken(
                "LOST",
                f"{each.id} is shown as {state}; no run has ended failed",
            )
    await flapping


if __name__ == "__main__":
    sys.exit(standin.run_case(play, FOLDER))
