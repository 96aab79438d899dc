"""An owner is stopped, and a runner with a slow clock is cut off right then."""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standin  # noqa: E402

IDLE_S = 80.0
WORK_S = 15.0
# "Lease time is measured on the runner's own steady clock, which may be 2%
# slow."
SLOW_CLOCK_RATE = 0.98


async def play(lab: standin.Lab, has_trouble: bool) -> None:
    """Leave the runners idle, then start a task and disturb its start."""
    for number in range(3):
        await lab.add_runner(f"runner-{number}", clock_rate=SLOW_CLOCK_RATE)
        await asyncio.sleep(0.3)
    await lab.start(3)
    await lab.wait_until_serving()
    await asyncio.sleep(IDLE_S)
    step = {
        "count": 1,
        "cpu": 8000,
        "mem_mb": 4096,
        "gpu": 8,
        "est_duration_ms": WORK_S * 1000,
    }
    job = lab.make_job([step], [WORK_S])
    if not await lab.submit(job):
        raise RuntimeError("the job was not accepted")
    if not await lab.wait_until(
        lambda: any(r.runs for r in lab.runners.values()), 5.0
    ):
        raise RuntimeError("the job was not started")
    runner = next(r for r in lab.runners.values() if r.runs)
    if has_trouble:
        await disturb(lab, runner)
    await lab.wait_for_state(job, ("completed", "failed"), 25.0)


async def disturb(lab: standin.Lab, runner: standin.Runner) -> None:
    """Stop the owner as planned, and cut the runner off from its successor."""
    first_fence = runner.fence
    renewed = asyncio.Event()

    def note_renewal(fence: int) -> None:
        if fence > first_fence:
            renewed.set()

    runner.on_renewal = note_renewal
    owner = lab.find_owner()
    lab.send_signal(owner, signal.SIGTERM)
    del lab.ports[owner]
    async with asyncio.timeout(5.0):
        await renewed.wait()
    runner.cut()


if __name__ == "__main__":
    # TROUBLE=0 plays the same without the disruption.
    trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(standin.run_case(play, FOLDER, has_trouble=trouble, limit_s=118.0))
