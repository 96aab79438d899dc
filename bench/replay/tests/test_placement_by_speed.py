"""Tests that known speeds improve the days of a pool with unequal workers."""

import statistics

from bench import replay
from crocusrouter import work
from crocusrouter.work import speeds

_LENGTH_S = 34.0
# Simulating a day takes five to ten seconds.
_SEEDS = range(300, 304)


class _TrueSpeeds(speeds.WorkerSpeeds):
    """The true speeds, in two groups unless the groups are left out."""

    def __init__(self, true_speeds, has_groups):
        self._true_speeds = true_speeds
        self._has_groups = has_groups
        self._groups = speeds.SpeedGroups()
        self._grouped_count = 0

    def observe(self, run, tracked_step, members, now):
        pass

    def forget(self, worker_id):
        pass

    def find_speed(self, worker_id):
        return self._true_speeds.get(worker_id)

    def is_slowed(self, worker_id, now):
        return False

    def find_groups(self):
        if self._has_groups and self._grouped_count < len(self._true_speeds):
            self._grouped_count = len(self._true_speeds)
            self._groups = self._split()
        return self._groups

    def _split(self):
        slow_speed = min(self._true_speeds.values())
        fast_speed = max(self._true_speeds.values())
        fast = frozenset(
            name
            for name, speed in self._true_speeds.items()
            if speed == fast_speed
        )
        return speeds.SpeedGroups(
            fast, frozenset(self._true_speeds) - fast, fast_speed, slow_speed
        )


def _score_day(site_name, seed, *, has_groups):
    site = replay.SITES[site_name]
    outcome = replay.play_day(
        site,
        replay.draw_arrivals(site, seed, _LENGTH_S),
        replay.draw_disruptions(site, seed, _LENGTH_S),
        work.PlannerPolicy(),
        seed,
        read_clock=lambda: 0.0,
        make_speeds=lambda true_speeds: _TrueSpeeds(true_speeds, has_groups),
    )
    return replay.score_day(outcome.job_results, outcome.wasted)


# A third of the workers is 2.4 times as fast as the others. Gangs over both
# kinds run at the slow speed, and urgent gangs on slow workers are late.
def test_groups_by_speed_raise_the_score():
    gain = statistics.mean(
        _score_day("uneven", seed, has_groups=True).combined_score
        - _score_day("uneven", seed, has_groups=False).combined_score
        for seed in _SEEDS
    )
    assert gain > 0.02
