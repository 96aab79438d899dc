"""Small requests under overload and with a slow runner, real processes.

Callers arrive at a fixed rate whatever comes back (open loop), each with a
deadline, and don't try again.
"""

import collections
import dataclasses
import time

import httpcore
import trio

from bench import clusters
from bench import figures
from demo import cluster
from demo import templates

_SLOTS = 8
_WORK_S = 0.2
_DEADLINE_S = 1.5
# Longer than the slow runner takes, so that its answers count.
_LONG_DEADLINE_S = 10.0
_WINDOW_S = 10.0
_SLOW_FACTOR = 10
_CUSTOMERS = ("fbusw-matching", "fbusw-tagging", "kilima-logs", "kilima-maps")
_DONE = 200
_FAILURES = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@dataclasses.dataclass
class Tally:
    """What callers got."""

    done: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    other: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    took_s: list[float] = dataclasses.field(default_factory=list)
    in_window: int = 0


async def _call(
    pool: httpcore.AsyncConnectionPool,
    url: str,
    customer: str,
    tally: Tally,
    deadline_s: float,
) -> None:
    headers = [
        ("Authorization", f"Bearer {templates.find_key(customer)}"),
        ("Request-Timeout", str(deadline_s)),
    ]
    body = f'{{"item": 1, "work_s": {_WORK_S}}}'.encode()
    started_at = time.monotonic()
    try:
        response = await pool.request(
            "POST", f"{url}/v1/requests/match", headers=headers, content=body
        )
    except _FAILURES as error:
        tally.other[type(error).__name__] += 1
        return
    took_s = time.monotonic() - started_at
    tally.took_s.append(took_s)
    if response.status == _DONE and took_s <= deadline_s * 1.5:
        tally.done[customer] += 1
    else:
        tally.other[str(response.status)] += 1


async def _offer(
    url: str, rate: float, seconds: float, deadline_s: float = _DEADLINE_S
) -> Tally:
    """Offer `rate` requests a second, customers in turn."""
    tally = Tally()
    count = int(rate * seconds)
    async with (
        httpcore.AsyncConnectionPool(max_connections=None) as pool,
        trio.open_nursery() as nursery,
    ):
        started_at = trio.current_time()
        for number in range(count):
            await trio.sleep_until(started_at + number / rate)
            customer = _CUSTOMERS[number % len(_CUSTOMERS)]
            nursery.start_soon(_call, pool, url, customer, tally, deadline_s)
        # What is done after the window would flatter the overloaded run.
        tally.in_window = tally.done.total()
    return tally


def _put_templates(held: cluster.Cluster) -> None:
    for document in templates.build_templates().values():
        held.put_template(document | {"guarantee": []}, "e1")


def measure_overload() -> list[figures.Figure]:
    """Offer the capacity and three times as much."""
    capacity = _SLOTS / _WORK_S
    shape = cluster.Shape(
        entries=1, racks=0, runners=1, slots=_SLOTS, settings=()
    )
    with clusters.run_cluster(shape) as held:
        _put_templates(held)
        url = held.url("e1")
        at_one = trio.run(_offer, url, capacity, _WINDOW_S)
        at_three = trio.run(_offer, url, 3 * capacity, _WINDOW_S)
    size = f"{capacity:.0f}/s of capacity, {_WINDOW_S:.0f} s each"
    shares = [at_three.done[name] for name in _CUSTOMERS]
    ratio = at_three.in_window / max(1, at_one.in_window)
    fairness = min(shares) / max(1, max(shares))
    return [
        figures.Figure("goodput_at_3x_ratio", round(ratio, 3), "ratio", size),
        figures.Figure(
            "goodput_share_least_to_most", round(fairness, 3), "ratio", size
        ),
        figures.Figure(
            "answers_neither_done_nor_refused_at_3x",
            sum(n for k, n in at_three.other.items() if not k.isdigit()),
            "count",
            size,
        ),
    ]


def measure_slow_runner() -> list[figures.Figure]:
    """Offer half of the capacity with no slow runner and with one."""
    runners = 4
    rate = 0.5 * runners * _SLOTS / _WORK_S / 2
    shape = cluster.Shape(
        entries=1, racks=0, runners=runners, slots=_SLOTS, settings=()
    )
    tails = []
    lost = 0
    with clusters.run_cluster(shape) as held:
        _put_templates(held)
        port = next(iter(held.runners.values()))
        for slow in (False, True):
            fault = {"fault": "none"}
            if slow:
                delay_s = (_SLOW_FACTOR - 1) * _WORK_S
                fault = {"fault": "slow", "delay_s": str(delay_s)}
            cluster.fetch("POST", f"http://127.0.0.1:{port}/faults", fault)
            tally = trio.run(
                _offer, held.url("e1"), rate, _WINDOW_S, _LONG_DEADLINE_S
            )
            lost += sum(tally.other.values())
            tails.append(figures.find_percentile(tally.took_s, 0.99))
    size = f"{rate:.0f}/s over {runners} runners, one {_SLOW_FACTOR}x slower"
    return [
        figures.Figure(
            "slow_runner_p99_ratio",
            round(tails[1] / tails[0], 3),
            "ratio",
            size,
        ),
        figures.Figure("slow_runner_not_done", lost, "count", size),
        figures.Figure(
            "small_request_p99_s", round(tails[0], 4), "s", f"{rate:.0f}/s"
        ),
    ]
