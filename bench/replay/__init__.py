"""Simulates days of jobs in a pool, to compare scheduling policies.

The simulation needs no sockets and no store: the pool's own state and planner
decide, and a model of the workers carries out the decisions. A day takes a few
seconds, so policies can be compared over many random days.
"""

from bench.replay.bound import measure_bound
from bench.replay.day import Outcome
from bench.replay.day import play_day
from bench.replay.load import SITES
from bench.replay.load import Arrival
from bench.replay.load import Site
from bench.replay.load import draw_arrivals
from bench.replay.load import draw_disruptions
from bench.replay.scoring import DayScore
from bench.replay.scoring import score_day

__all__ = [
    "SITES",
    "Arrival",
    "Outcome",
    "Site",
    "DayScore",
    "draw_arrivals",
    "draw_disruptions",
    "measure_bound",
    "score_day",
    "play_day",
]
