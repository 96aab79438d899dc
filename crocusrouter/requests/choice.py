"""Choice of a runner, and limits that adapt to what runners do."""

from collections.abc import Sequence
import dataclasses
import random

_DECREASE = 0.7
_INCREASE = 0.2
# Bad news counts more: a runner that turned slow must be left quickly, and a
# single quick answer of it proves little.
_SMOOTHING_SLOWER = 0.5
_SMOOTHING_FASTER = 0.1
_FIRST_GUESS_S = 0.1


@dataclasses.dataclass(frozen=True)
class Load:
    """What this entry knows of one runner.

    Attributes:
        name: The runner.
        slots: Requests that it runs at once, for all entries together.
        in_flight: Our own requests there.
        limit: How many of ours it seems to take; adapts.
        service_s: Smoothed time to answer.
        leaving: Whether it gets no new work.
        shunned_until: After a failure to connect, until when it is avoided.
        oldest_at: When our oldest request there was sent; None without any.
    """

    name: str
    slots: int
    in_flight: int = 0
    limit: float = 1.0
    service_s: float = _FIRST_GUESS_S
    leaving: bool = False
    shunned_until: float = 0.0
    oldest_at: float | None = None


def is_open(load: Load, now: float) -> bool:
    """Tell whether a runner can take one more of our requests."""
    return (
        not load.leaving
        and load.shunned_until <= now
        and load.in_flight < max(1, int(load.limit))
    )


def choose_runner(
    loads: Sequence[Load],
    avoided: frozenset[str],
    rng: random.Random,
    now: float,
) -> Load | None:
    """Choose a runner: the better of two random open ones.

    Two choices spread almost as well as the best of all, and entries that
    can't see each other's load don't all pick the same runner.

    >>> loads = [Load("a", 8, in_flight=3, limit=8), Load("b", 8, limit=8)]
    >>> choose_runner(loads, frozenset(), random.Random(1), 0.0).name
    'b'

    Args:
        loads: The service's runners.
        avoided: Runners that this request has already tried.
        rng: Source of randomness.
        now: Seconds on the process's own clock.
    """
    usable = [load for load in loads if is_open(load, now)]
    fresh = [load for load in usable if load.name not in avoided]
    candidates = fresh or usable
    if not candidates:
        return None
    pair = rng.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda load: _rate(load, now))


def _rate(load: Load, now: float) -> float:
    """Estimate the time to an answer.

    A request that is out for longer than usual tells of a slow runner before
    its answer does; until then more and more requests would join it.
    """
    age_s = now - load.oldest_at if load.oldest_at is not None else 0.0
    service_s = max(load.service_s, age_s)
    return (load.in_flight + 1) * service_s / max(1.0, load.limit)


def note_answer(load: Load, took_s: float) -> Load:
    """Learn from an answer: a little more may fit."""
    slower = took_s > load.service_s
    share = _SMOOTHING_SLOWER if slower else _SMOOTHING_FASTER
    smoothed = load.service_s + share * (took_s - load.service_s)
    limit = min(float(load.slots), load.limit + _INCREASE)
    return dataclasses.replace(load, service_s=smoothed, limit=limit)


def note_refusal(load: Load) -> Load:
    """Learn from a refusal: other entries use the runner's slots too.

    >>> note_refusal(Load("a", 8, in_flight=4, limit=8.0)).limit
    2.8
    """
    limit = max(1.0, _DECREASE * min(load.limit, load.in_flight))
    return dataclasses.replace(load, limit=round(limit, 6))


def estimate_wait(loads: Sequence[Load], waiting: int) -> float:
    """Estimate the seconds until a slot frees for one more waiting request."""
    rate = sum(
        max(1.0, load.limit) / max(load.service_s, 1e-4)
        for load in loads
        if not load.leaving
    )
    return (waiting + 1) / rate if rate else float("inf")
