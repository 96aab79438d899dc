"""Choice of a runner, and limits that adapt to each runner's answers."""

from collections.abc import Sequence
import dataclasses
import random

_LIMIT_DECREASE_FACTOR = 0.7
_LIMIT_INCREASE = 0.2
# A slow answer has more weight than a quick answer: traffic must move away
# from a slow runner quickly, and a single quick answer proves little.
_SMOOTHING_WHEN_SLOWER = 0.5
_SMOOTHING_WHEN_FASTER = 0.1
_INITIAL_SERVICE_TIME_S = 0.1


@dataclasses.dataclass(frozen=True)
class Load:
    """The load of one runner, as far as this entry knows it.

    Attributes:
        name: Name of the runner.
        slots: Requests that the runner serves at once, for all entries
            together.
        in_flight: Number of this entry's requests at the runner.
        concurrency_limit: How many requests of this entry the runner seems to
            accept at once; adapts to its answers and refusals.
        service_time_s: Smoothed time to an answer.
        leaving: Whether the runner gets no new requests.
        backoff_until: Until when the runner is avoided after a failure to
            connect.
        oldest_sent_at: When the oldest of the requests in flight was sent;
            None if there are none.
    """

    name: str
    slots: int
    in_flight: int = 0
    concurrency_limit: float = 1.0
    service_time_s: float = _INITIAL_SERVICE_TIME_S
    leaving: bool = False
    backoff_until: float = 0.0
    oldest_sent_at: float | None = None


def is_available(load: Load, now: float) -> bool:
    """Tell whether a runner can take another request of this entry."""
    return (
        not load.leaving
        and load.backoff_until <= now
        and load.in_flight < max(1, int(load.concurrency_limit))
    )


def choose_runner(
    loads: Sequence[Load],
    tried_runners: frozenset[str],
    rng: random.Random,
    now: float,
) -> Load | None:
    """Choose the better of two random available runners.

    The better of two random runners spreads load almost as well as the best
    of all runners, and entries that don't know each other's load don't all
    choose the same runner.

    >>> loads = [
    ...     Load("a", 8, in_flight=3, concurrency_limit=8),
    ...     Load("b", 8, concurrency_limit=8),
    ... ]
    >>> choose_runner(loads, frozenset(), random.Random(1), 0.0).name
    'b'

    Args:
        loads: Loads of the service's runners.
        tried_runners: Runners that this request has already tried; chosen
            only if no other runner is available.
        rng: Source of randomness.
        now: Seconds on the process's own clock.
    """
    available = [load for load in loads if is_available(load, now)]
    untried = [load for load in available if load.name not in tried_runners]
    candidates = untried or available
    if not candidates:
        return None
    pair = rng.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda load: _estimate_answer_time(load, now))


def _estimate_answer_time(load: Load, now: float) -> float:
    """Estimate a runner's time to answer; used to compare runners.

    A request in flight for longer than usual shows that the runner is slow
    before its answer arrives. If only answers counted, more and more requests
    would be sent there until then.
    """
    age_s = (
        now - load.oldest_sent_at if load.oldest_sent_at is not None else 0.0
    )
    service_time_s = max(load.service_time_s, age_s)
    return (
        (load.in_flight + 1) * service_time_s / max(1.0, load.concurrency_limit)
    )


def record_answer(load: Load, elapsed_s: float) -> Load:
    """Update a load after an answer: raise the limit slightly."""
    is_slower = elapsed_s > load.service_time_s
    weight = _SMOOTHING_WHEN_SLOWER if is_slower else _SMOOTHING_WHEN_FASTER
    smoothed_s = load.service_time_s + weight * (
        elapsed_s - load.service_time_s
    )
    limit = min(float(load.slots), load.concurrency_limit + _LIMIT_INCREASE)
    return dataclasses.replace(
        load, service_time_s=smoothed_s, concurrency_limit=limit
    )


def record_refusal(load: Load) -> Load:
    """Update a load after a refusal: other entries use the slots too.

    >>> load = Load("a", 8, in_flight=4, concurrency_limit=8.0)
    >>> record_refusal(load).concurrency_limit
    2.8
    """
    limit = max(
        1.0,
        _LIMIT_DECREASE_FACTOR * min(load.concurrency_limit, load.in_flight),
    )
    return dataclasses.replace(load, concurrency_limit=round(limit, 6))


def estimate_wait(loads: Sequence[Load], waiting_count: int) -> float:
    """Estimate the seconds until a slot is free for another request.

    Args:
        loads: Loads of the service's runners.
        waiting_count: Number of requests that already wait for a slot.
    """
    requests_per_s = sum(
        max(1.0, load.concurrency_limit) / max(load.service_time_s, 1e-4)
        for load in loads
        if not load.leaving
    )
    return (
        (waiting_count + 1) / requests_per_s if requests_per_s else float("inf")
    )
