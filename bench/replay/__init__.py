"""Replays a day's arrivals against policies of steps, side by side.

No sockets and no store: the pool's own state and planner decide, and a model
of the workers carries the decisions out. A day takes some seconds, so that
two policies can be compared over many drawn days.
"""

from bench.replay.bound import measure_bound
from bench.replay.day import Outcome
from bench.replay.day import play_day
from bench.replay.load import SITES
from bench.replay.load import Arrival
from bench.replay.load import Site
from bench.replay.load import draw_arrivals
from bench.replay.load import draw_troubles
from bench.replay.worth import Worth
from bench.replay.worth import measure_worth

__all__ = [
    "SITES",
    "Arrival",
    "Outcome",
    "Site",
    "Worth",
    "draw_arrivals",
    "draw_troubles",
    "measure_bound",
    "measure_worth",
    "play_day",
]
