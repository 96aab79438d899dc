"""Times how soon new workers are used, and counts the writes that record them.

The system is emulated in one process on a virtual clock, in which decisions
take no time.
"""

import functools

import trio
import trio.testing

from bench import figures
from crocusrouter import work
from crocusrouter.pools import keys
from crocusrouter.store import records
from standins import emulator
from standins import fuzzing
from standins.emulator import cluster as clusters

_WORKER_COUNTS = (24, 176, 1000)
_SEEDS = range(1, 4)
_LEAD_S = 3.0
_TIMEOUT_S = 5.0
_TASK_S = 60.0
# Workers register within this time of each other, or all at once.
_RAMP_S = 4.0
_TASKS_PER_STEP = 100


def measure_registration() -> list[figures.Figure]:
    """Let many workers register while tasks wait for them."""
    measured = []
    for count in _WORKER_COUNTS:
        for ramp_s in (0.0, _RAMP_S):
            measured += _measure(count, ramp_s)
    return measured


def _measure(count: int, ramp_s: float) -> list[figures.Figure]:
    delays_s: list[float] = []
    writes: list[float] = []
    rates: list[float] = []
    sizes: list[float] = []
    for seed in _SEEDS:
        outcome = _register(seed, count, ramp_s)
        delays_s += outcome[0]
        writes.append(len(outcome[1]))
        rates.append(_find_peak_rate(outcome[1]))
        sizes.append(outcome[2])
    size = f"{count} workers within {ramp_s:g} s"
    name = "registration"
    summarize = functools.partial(figures.summarize, size=size, seed=_SEEDS[0])
    return [
        figures.Figure(
            f"{name}_start_{label}",
            round(figures.find_percentile(delays_s, share) * 1000),
            "ms",
            size,
            seed=_SEEDS[0],
        )
        for label, share in (("p50", 0.5), ("p99", 0.99), ("max", 1.0))
    ] + [
        summarize(f"{name}_writes", writes, "count"),
        summarize(f"{name}_writes_peak", rates, "1/s"),
        summarize(f"{name}_record", sizes, "bytes"),
    ]


def _find_peak_rate(times: list[float]) -> int:
    """Return the largest number of times within a second."""
    return max(
        (
            sum(first <= other < first + 1.0 for other in times)
            for first in times
        ),
        default=0,
    )


def _register(
    seed: int, count: int, ramp_s: float
) -> tuple[list[float], list[float], int]:
    """Let workers register.

    Returns:
        The delay of the first start on each worker, the times at which the
        record was written, and its last size in bytes.
    """

    async def play() -> tuple[list[float], list[float], int]:
        cluster = emulator.Cluster(seed, worker_count=0)
        async with trio.open_nursery() as nursery:
            await nursery.start(cluster.run)
            await trio.sleep(_LEAD_S)
            assert await cluster.submit(_make_job(count)) == "accepted"
            await trio.sleep(1.0 + cluster.random.random())
            written_at: list[float] = []
            nursery.start_soon(_note_writes, cluster, written_at)
            registered_at = await _add_workers(cluster, count, ramp_s)
            delays_s = await _measure_delays(cluster, registered_at)
            record = cluster.store.items[keys.KNOWN_WORKERS + clusters.POOL]
            nursery.cancel_scope.cancel()
        return delays_s, written_at, len(record.value)

    with fuzzing.fix_schedule():
        return trio.run(
            play, clock=trio.testing.MockClock(autojump_threshold=0.0)
        )


def _make_job(task_count: int) -> work.Job:
    """Return a job whose tasks take a whole worker each."""
    steps = tuple(
        work.Step(
            min(_TASKS_PER_STEP, task_count - first),
            work.Room(1000, 1000, clusters.WORKER_ROOM.accelerators),
            _TASK_S,
        )
        for first in range(0, task_count, _TASKS_PER_STEP)
    )
    return work.Job(
        "00000000000000aa",
        "q",
        clusters.POOL,
        "a",
        1,
        3,
        2.0,
        60.0,
        "payload",
        steps,
        0.0,
    )


async def _add_workers(
    cluster: emulator.Cluster, count: int, ramp_s: float
) -> dict[str, float]:
    """Start workers and return when each has registered."""
    registered_at = {}
    for number in range(count):
        name = f"worker-{number:04}"
        cluster.add_worker(name, f"r0-{number // 12}")
        registered_at[name] = trio.current_time()
        if ramp_s:
            await trio.sleep(ramp_s / count)
    return registered_at


async def _measure_delays(
    cluster: emulator.Cluster, registered_at: dict[str, float]
) -> list[float]:
    await trio.sleep(_TIMEOUT_S)
    return [
        min(run.started_at for run in cluster.workers[name].tasks.values()) - at
        for name, at in registered_at.items()
    ]


async def _note_writes(
    cluster: emulator.Cluster, written_at: list[float]
) -> None:
    """Note when the record of known workers changes until cancelled."""
    key = keys.KNOWN_WORKERS + clusters.POOL
    seen_count = len(cluster.store.history)
    while True:
        await cluster.store.wait_for_change()
        events = cluster.store.history[seen_count:]
        seen_count += len(events)
        written_at += [
            trio.current_time()
            for event in events
            if isinstance(event, records.Changed) and event.record.key == key
        ]
