"""Measures small requests under overload and with a slow runner.

Requests arrive at a fixed rate, independent of the answers (open loop). Each
has a deadline and is not retried. All processes are real.
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
# Longer than a request takes on the slow runner, so that its answers count.
_LONG_DEADLINE_S = 10.0
_WINDOW_S = 10.0
_SLOW_FACTOR = 10
_CUSTOMERS = ("fbusw-matching", "fbusw-tagging", "kilima-logs", "kilima-maps")
_OK_STATUS = 200
_FAILURES = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@dataclasses.dataclass
class Tally:
    """Answers that the callers received.

    Attributes:
        done: Successful answers by customer.
        other: All other results by status or error.
        took_s: Seconds until each answer.
        in_window: Successful answers until the last request was sent.
    """

    done: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    other: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    took_s: list[float] = dataclasses.field(default_factory=list)
    in_window: int = 0


async def _send_request(
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
    if response.status == _OK_STATUS and took_s <= deadline_s * 1.5:
        tally.done[customer] += 1
    else:
        tally.other[str(response.status)] += 1


async def _send_requests(
    url: str, rate: float, seconds: float, deadline_s: float = _DEADLINE_S
) -> Tally:
    """Send `rate` requests per second, alternating between customers."""
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
            nursery.start_soon(
                _send_request, pool, url, customer, tally, deadline_s
            )
        # Counting answers after the window would favour the overloaded run.
        tally.in_window = tally.done.total()
    return tally


def _put_templates(demo_cluster: cluster.Cluster) -> None:
    for document in templates.build_templates().values():
        demo_cluster.put_template(document | {"guarantee": []}, "e1")


def measure_overload() -> list[figures.Figure]:
    """Offer requests at the capacity and at three times the capacity."""
    capacity = _SLOTS / _WORK_S
    shape = cluster.Shape(
        entries=1, racks=0, runners=1, slots=_SLOTS, settings=()
    )
    with clusters.run_cluster(shape) as demo_cluster:
        _put_templates(demo_cluster)
        url = demo_cluster.url("e1")
        tally_at_1x = trio.run(_send_requests, url, capacity, _WINDOW_S)
        tally_at_3x = trio.run(_send_requests, url, 3 * capacity, _WINDOW_S)
    size = f"{capacity:.0f}/s of capacity, {_WINDOW_S:.0f} s each"
    done_counts = [tally_at_3x.done[name] for name in _CUSTOMERS]
    ratio = tally_at_3x.in_window / max(1, tally_at_1x.in_window)
    fairness = min(done_counts) / max(1, max(done_counts))
    return [
        figures.Figure("goodput_at_3x_ratio", round(ratio, 3), "ratio", size),
        figures.Figure(
            "goodput_share_least_to_most", round(fairness, 3), "ratio", size
        ),
        figures.Figure(
            "answers_neither_done_nor_refused_at_3x",
            sum(n for k, n in tally_at_3x.other.items() if not k.isdigit()),
            "count",
            size,
        ),
    ]


def measure_slow_runner() -> list[figures.Figure]:
    """Offer a quarter of the capacity without and with a slow runner."""
    runners = 4
    rate = 0.5 * runners * _SLOTS / _WORK_S / 2
    shape = cluster.Shape(
        entries=1, racks=0, runners=runners, slots=_SLOTS, settings=()
    )
    p99_times_s = []
    not_done = 0
    with clusters.run_cluster(shape) as demo_cluster:
        _put_templates(demo_cluster)
        port = next(iter(demo_cluster.runners.values()))
        for slow in (False, True):
            fault = {"fault": "none"}
            if slow:
                delay_s = (_SLOW_FACTOR - 1) * _WORK_S
                fault = {"fault": "slow", "delay_s": str(delay_s)}
            cluster.fetch("POST", f"http://127.0.0.1:{port}/faults", fault)
            tally = trio.run(
                _send_requests,
                demo_cluster.url("e1"),
                rate,
                _WINDOW_S,
                _LONG_DEADLINE_S,
            )
            not_done += sum(tally.other.values())
            p99_times_s.append(figures.find_percentile(tally.took_s, 0.99))
    size = f"{rate:.0f}/s over {runners} runners, one {_SLOW_FACTOR}x slower"
    return [
        figures.Figure(
            "slow_runner_p99_ratio",
            round(p99_times_s[1] / p99_times_s[0], 3),
            "ratio",
            size,
        ),
        figures.Figure("slow_runner_not_done", not_done, "count", size),
        figures.Figure(
            "small_request_p99_s",
            round(p99_times_s[0], 4),
            "s",
            f"{rate:.0f}/s",
        ),
    ]
