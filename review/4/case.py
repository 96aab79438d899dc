"""A queue moves to another service, whose old runner is then taken away."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import deployment2  # noqa: E402

_MACHINES = 24
_OLD_MACHINE = "m23"
_JOBS = 6
_BATCH = {
    "count": 2,
    "cpu": 13_000,
    "mem_mb": 53_000,
    "gpu": 4,
    "est_duration_ms": 2_500,
}
_CONFIG_APPLY_S = 2.0
# The bound of the rule, and the time without impairment before it.
_IDLE_S = 3.0
_CALM_S = 4.0
_FINISH_S = 14.0
_FINAL_STATES = ("completed", "failed", "cancelled")


def prepare(deployment: deployment2.Deployment) -> None:
    """Let one machine belong to the service that the queue has at first."""
    deployment.fleet.services = {_OLD_MACHINE: deployment2.OTHER_SERVICE}
    deployment.queue_services = {"batch": deployment2.OTHER_SERVICE}


async def watch_idle(
    deployment: deployment2.Deployment, jobs: set[str], for_s: float
) -> dict[str, float]:
    """Return for how long on end each job had nothing running."""
    idle_since = dict.fromkeys(jobs, time.monotonic())
    longest = dict.fromkeys(jobs, 0.0)
    deadline = time.monotonic() + for_s
    while time.monotonic() < deadline:
        now = time.monotonic()
        running = {
            name.partition(".")[0]
            for runner in deployment.fleet.runners.values()
            for name in runner.tasks
        }
        for job in jobs:
            if job in running:
                idle_since[job] = now
            longest[job] = max(longest[job], now - idle_since[job])
        await asyncio.sleep(0.05)
    return longest


async def play(deployment: deployment2.Deployment, trouble: bool) -> bool:
    """Return whether accepted jobs never run beside an idle service."""
    paths = [await deployment.submit("batch", [_BATCH]) for _ in range(_JOBS)]
    if not all(paths):
        raise RuntimeError("a job was not accepted")
    await asyncio.sleep(1.0)
    if trouble:
        deployment.record.note(
            f"config 9: the queue has the service {deployment2.SERVICE}"
        )
        deployment.store.put("op/config", deployment2.build_config(9))
        await asyncio.sleep(_CONFIG_APPLY_S)
        await deployment.fleet.drain(_OLD_MACHINE)
    else:
        await asyncio.sleep(_CONFIG_APPLY_S + deployment2.DRAIN_S)
    await asyncio.sleep(_FINISH_S)
    states = {path: await deployment.find_state(path) for path in paths}
    unfinished = {
        path.rpartition("/")[2]
        for path, state in states.items()
        if state not in _FINAL_STATES
    }
    await asyncio.sleep(_CALM_S)
    longest = await watch_idle(deployment, unfinished, _IDLE_S + 3.0)
    stranded = [job for job, idle_s in longest.items() if idle_s > _IDLE_S]
    used = sum(
        bool(runner.tasks) for runner in deployment.fleet.runners.values()
    )
    deployment.record.note(
        f"{len(stranded)} accepted jobs have nothing running for over"
        f" {_IDLE_S} s; {used} of {_MACHINES - 1} runners of the queue's"
        " service are in use"
    )
    for path in paths:
        state = await deployment.find_state(path)
        deployment.record.note(f"{path}: {state}")
    return bool(stranded) and 2 * used < _MACHINES - 1


if __name__ == "__main__":
    sys.exit(
        asyncio.run(
            deployment2.run_case(
                play, FOLDER / "record.txt", 3, _MACHINES, prepare
            )
        )
    )
