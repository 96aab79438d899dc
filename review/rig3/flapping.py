"""A runner that goes down and up by turns, beside runners that are all busy."""

import asyncio
import pathlib
import time
from typing import Any

from rig3 import deployment

MACHINES = 10
_JOB = "00000000000000a1"
# The largest dose of srv_flap in the site files: share 0.1, gap_s 1.4, for_s
# 6.5.
_PERIOD_S = 1.4
_FLAP_S = 6.5
_STARTED_S = 4.0


async def _flap(case: deployment.Deployment) -> None:
    """Take one runner down and up by turns."""
    runner = case.runners[0]
    case.note("trouble", kind="srv_flap", machine=runner.machine)
    ends_at = time.monotonic() + _FLAP_S
    while time.monotonic() < ends_at:
        runner.crash()
        await asyncio.sleep(_PERIOD_S / 2)
        await runner.start()
        await asyncio.sleep(_PERIOD_S / 2)
    case.note("trouble-over")


async def play(
    step: dict[str, Any], folder: pathlib.Path, limit_s: float
) -> list[str] | None:
    """Play a job with one task on each runner, and let one runner flap.

    Args:
        step: The job's only step.
        folder: Where the record is written.
        limit_s: Seconds after the trouble for which the job is asked for,
            unless it is over before.

    Returns:
        The broken rules; None if the case could not run.
    """
    case = deployment.Deployment(entries=3, machines=MACHINES)
    state = ""
    async with case.run():
        if not await case.wait_until_serving():
            return None
        if not await case.submit(_JOB, [step]):
            return None
        await asyncio.sleep(_STARTED_S)
        if len(case.list_rows("start")) != MACHINES:
            return None
        if deployment.has_trouble():
            await _flap(case)
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at:
            await asyncio.sleep(1.0)
            state = await case.show(_JOB)
            if state in ("completed", "failed", "cancelled", "410"):
                break
        at_work = sum(len(runner.runs) for runner in case.runners)
    broken = _judge(case, state, at_work, is_lasting="long_running" in step)
    closing = f"state {state}, {at_work} tasks at work at the end"
    case.write_record(folder / "record.txt", [closing, *(broken or ["held"])])
    return broken


def _judge(
    case: deployment.Deployment, state: str, at_work: int, *, is_lasting: bool
) -> list[str]:
    lost = [row["run"] for row in case.list_rows("run-lost")]
    failed = case.list_rows("end", how="failed")
    if state == "failed" and not failed:
        return [
            f"LOST: {_JOB} is shown as failed without cause: no run has ended"
            f" failed, runs {lost} were lost with their runner"
        ]
    wanted = "running" if is_lasting else "completed"
    if state != wanted or (is_lasting and not at_work):
        return [f"LOST: {_JOB} is shown as {state}, {at_work} tasks at work"]
    return []
