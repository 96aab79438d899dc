"""Speeds of workers that a test sets, in place of measured ones."""

from crocusrouter.work import speeds


class FakeSpeeds(speeds.WorkerSpeeds):
    """Holds estimates, groups and slowed workers as a test assigns them."""

    def __init__(self, estimates=(), groups=None):
        self.estimates = {e.worker_id: e for e in estimates}
        self.groups = groups or speeds.SpeedGroups()
        self.slowed = set()
        self.changes = []
        self.slowed_checks = 0

    def observe(self, run, tracked_step, members, now):
        """Measure nothing."""

    def forget(self, worker_id):
        self.estimates.pop(worker_id, None)

    def find_speed(self, worker_id):
        estimate = self.estimates.get(worker_id)
        return estimate.speed if estimate else None

    def is_slowed(self, worker_id, now):
        self.slowed_checks += 1
        return worker_id in self.slowed

    def find_groups(self):
        return self.groups

    def list_estimates(self):
        return list(self.estimates.values())

    def restore(self, estimates):
        self.estimates |= {e.worker_id: e for e in estimates}

    def take_changes(self):
        changes, self.changes = self.changes, []
        return changes


def make_split(*fast_ids, slow=()):
    """Return groups of the given workers."""
    return speeds.SpeedGroups(frozenset(fast_ids), frozenset(slow), 1.7, 0.7)
