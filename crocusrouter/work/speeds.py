"""Speeds of workers, estimated from the relative progress of their runs."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math
import statistics

from crocusrouter.work import model
from crocusrouter.work import packing
from crocusrouter.work import run_rates
from crocusrouter.work import speed_fit
from crocusrouter.work import speed_groups
from crocusrouter.work import tracking

# Number of runs kept for a worker, also of steps that have no second worker.
_MAX_WORKER_SAMPLES = 16
# A fit takes some milliseconds and every report changes some rate.
_FIT_INTERVAL_S = 0.25
# Time without reports after which a step's rates are kept as they are.
_STEP_RETENTION_S = 5.0
_MAX_STEPS = 1000
_MAX_STEP_SAMPLES = 256
# Steps by which the declared run times are compared with the measured ones.
_MAX_SCALE_STEPS = 64
# Number of steps at which half of the measured factor is applied. Declared
# times are off by a factor of 1.9, so the median of a few says little.
_SCALE_PRIOR_STEPS = 10
# A smaller change of the scale would change all speeds for nothing.
_SCALE_STEP_LOG = math.log(1.1)
# Factor of a change that operators should see.
_CHANGE_LOG = math.log(1.25)
# How far samples may be from their median to agree with it.
_AGREEMENT_LOG = math.log(1.25)
_FIRM_RUNS = 2
# A worker is slowed for as long as this after its runs were last seen slow.
_SLOWED_S = 4.0

_StepId = tuple[model.StepKey, int, bool]


@dataclasses.dataclass(frozen=True)
class SpeedEstimate:
    """The persistent speed of one incarnation of a worker.

    Attributes:
        worker_id: Id of the incarnation.
        speed: Multiple of the speed for which run times are declared.
        runs: Number of different runs that the estimate is based on.
        since: Steady time in seconds of the first of them.
    """

    worker_id: str
    speed: float
    runs: int
    since: float


@dataclasses.dataclass(frozen=True)
class SpeedChange:
    """A change of an estimate that operators should see.

    Attributes:
        worker_id: Id of the incarnation.
        before: The speed that was last reported; None for the first estimate.
        after: The speed now.
        runs: Number of different runs that the estimate is based on.
        since: Steady time in seconds of the first of them.
    """

    worker_id: str
    before: float | None
    after: float
    runs: int
    since: float


@dataclasses.dataclass(frozen=True)
class SpeedGroups:
    """A split of the workers with an estimate into two groups.

    Attributes:
        fast: Ids of the fast incarnations; empty if there are no groups.
        slow: Ids of the slow incarnations; empty if there are no groups.
        fast_speed: Median speed of the fast group.
        slow_speed: Median speed of the slow group.
    """

    fast: frozenset[str] = frozenset()
    slow: frozenset[str] = frozenset()
    fast_speed: float = 1.0
    slow_speed: float = 1.0

    @property
    def is_split(self) -> bool:
        """Whether the workers form two groups."""
        return bool(self.fast)


@dataclasses.dataclass
class _Watch:
    """Evidence of one worker's latest report on a transient slow-down.

    Attributes:
        reported_at: Steady time of that report.
        has_other_run: Whether a run was not slow in that report.
        slow_before: Value of `slow_at` before that report.
        slow_at: Steady time of the last evidence; None if not slowed.
    """

    reported_at: float = -math.inf
    has_other_run: bool = False
    slow_before: float | None = None
    slow_at: float | None = None


class WorkerSpeeds:
    """Estimates of the speeds of a pool's workers.

    `observe` only updates the rate of one run. The fit over all rates is
    computed when its result is asked for.
    """

    def __init__(
        self, workers: Mapping[str, tracking.Worker] | None = None
    ) -> None:
        """Begin without estimates.

        Args:
            workers: Workers by the id of their incarnation, to find their
                racks; not changed.
        """
        self._pool_workers = workers if workers is not None else {}
        self._workers: dict[str, speed_fit.WorkerSamples] = {}
        self._steps: dict[_StepId, speed_fit.StepRates] = {}
        self._watches: dict[str, _Watch] = {}
        self._reported_log_speeds: dict[str, float] = {}
        self._old_excesses: collections.deque[float] = collections.deque(
            maxlen=_MAX_SCALE_STEPS
        )
        # Subtracted from the fitted log speeds.
        self._log_scale = 0.0
        self._observed_at = -math.inf
        self._fitted_at = -math.inf
        self._has_new_rates = False
        self._has_new_speeds = False
        self._groups: SpeedGroups | None = SpeedGroups()
        self._fast: frozenset[str] = frozenset()

    def observe(
        self,
        run: tracking.Run,
        tracked_step: tracking.TrackedStep,
        members: Iterable[tracking.Run],
        now: float,
    ) -> None:
        """Update the estimates after a report of a run.

        Args:
            run: The run, already updated from the report.
            tracked_step: Its step.
            members: All runs of the step.
            now: Steady time in seconds.
        """
        step = tracked_step.step
        if step.lasting or step.fills or not math.isfinite(run.percent):
            return
        rates = self._find_step(run, tracked_step)
        key = (run.key, run.number)
        if run.pace < 100:
            # Measured anew, between two reports, once it has its full pace.
            rates.rates.pop(key, None)
            return
        if run.phase is not tracking.Phase.RUNNING or run.confirmed_at is None:
            return
        self._observed_at = max(self._observed_at, now)
        rates.seen_at = max(rates.seen_at, now)
        rate = rates.rates.get(key)
        if rate is None:
            rate = _begin_rate(run, tracked_step, rates, list(members), now)
            if rate is None:
                return
            rates.rates[key] = rate
        verdict = rate.update(
            min(100.0, max(0.0, run.percent)),
            now,
            is_disturbed=self.is_slowed(run.worker_id, now),
        )
        if rate.percent_per_s > 0:
            self._keep_sample(rates, key, run.worker_id, rate, now)
        if verdict is not None:
            self._judge_worker(run.worker_id, verdict, now)

    def forget(self, worker_id: str) -> None:
        """Remove the estimate of an incarnation that is gone."""
        self._workers.pop(worker_id, None)
        self._watches.pop(worker_id, None)
        self._reported_log_speeds.pop(worker_id, None)
        for rates in self._steps.values():
            for key, sample in list(rates.samples.items()):
                if sample.worker_id == worker_id:
                    del rates.samples[key]
                    rates.rates.pop(key, None)
        self._groups = None

    def find_speed(self, worker_id: str) -> float | None:
        """Return the estimated speed of a worker; None if it has none."""
        self._fit()
        worker = self._workers.get(worker_id)
        if worker is None or worker.log_speed is None:
            return None
        return math.exp(worker.log_speed - self._log_scale)

    def is_slowed(self, worker_id: str, now: float) -> bool:
        """Tell whether a worker runs below its own speed for a while."""
        watch = self._watches.get(worker_id)
        return (
            watch is not None
            and watch.slow_at is not None
            and now - watch.slow_at < _SLOWED_S
        )

    def find_groups(self) -> SpeedGroups:
        """Return the groups of workers of like speed."""
        self._fit()
        if self._groups is None:
            self._groups = self._split_workers()
        return self._groups

    def list_estimates(self) -> list[SpeedEstimate]:
        """Return all estimates."""
        self._fit()
        estimates = []
        for worker_id, worker in self._workers.items():
            if worker.log_speed is None:
                continue
            since = min(
                (sample.since for sample in worker.used),
                default=worker.restored_since,
            )
            estimates.append(
                SpeedEstimate(
                    worker_id,
                    math.exp(worker.log_speed - self._log_scale),
                    max(1, len(worker.used)),
                    since,
                )
            )
        return estimates

    def restore(self, estimates: Iterable[SpeedEstimate]) -> None:
        """Add estimates of an earlier owner as weak ones."""
        for estimate in estimates:
            if not 0 < estimate.speed < math.inf:
                continue
            worker = self._find_worker(estimate.worker_id)
            worker.restored = math.log(estimate.speed) + self._log_scale
            worker.restored_since = estimate.since
        self._has_new_rates = True
        self._fitted_at = -math.inf

    def take_changes(self) -> list[SpeedChange]:
        """Return and clear the changes that have not been returned yet."""
        self._fit()
        if not self._has_new_speeds:
            return []
        self._has_new_speeds = False
        changes = []
        for estimate in self.list_estimates():
            log_speed = math.log(estimate.speed)
            before = self._reported_log_speeds.get(estimate.worker_id)
            if before is not None and abs(log_speed - before) < _CHANGE_LOG:
                continue
            self._reported_log_speeds[estimate.worker_id] = log_speed
            changes.append(
                SpeedChange(
                    estimate.worker_id,
                    None if before is None else math.exp(before),
                    estimate.speed,
                    estimate.runs,
                    estimate.since,
                )
            )
        return changes

    # Rates of runs.

    def _find_step(
        self, run: tracking.Run, tracked_step: tracking.TrackedStep
    ) -> speed_fit.StepRates:
        """Return the rates with which a run's rate is compared."""
        step = tracked_step.step
        is_near_data = not step.rack or step.rack == self._find_rack(
            run.worker_id
        )
        step_id = (
            tracked_step.key,
            run.number if step.gang else 0,
            is_near_data,
        )
        rates = self._steps.get(step_id)
        if rates is None:
            rates = speed_fit.StepRates(max(step.expected_s, 1e-3))
            self._steps[step_id] = rates
            if len(self._steps) > _MAX_STEPS:
                self._retire_step(next(iter(self._steps)))
        return rates

    def _find_rack(self, worker_id: str) -> str:
        worker = self._pool_workers.get(worker_id)
        return packing.find_rack(worker.entry.labels) if worker else ""

    def _find_worker(self, worker_id: str) -> speed_fit.WorkerSamples:
        return self._workers.setdefault(worker_id, speed_fit.WorkerSamples())

    def _keep_sample(
        self,
        rates: speed_fit.StepRates,
        key: speed_fit.RunKey,
        worker_id: str,
        rate: run_rates.RunRate,
        now: float,
    ) -> None:
        """Record the present rate of a run."""
        worker = self._find_worker(worker_id)
        sample = rates.samples.get(key) or worker.samples.get(key)
        if sample is None:
            sample = speed_fit.Sample(worker_id, now)
            rates.samples[key] = worker.samples[key] = sample
            _drop_oldest(worker.samples, _MAX_WORKER_SAMPLES)
            _drop_oldest(rates.samples, _MAX_STEP_SAMPLES)
        log_rate = math.log(rate.percent_per_s)
        if sample.log_rate != log_rate or sample.is_exact != rate.is_exact:
            sample.log_rate = log_rate
            sample.weight = rate.weight
            sample.is_exact = rate.is_exact
            self._has_new_rates = True

    # Slow-downs.

    def _judge_worker(
        self, worker_id: str, verdict: run_rates.Verdict, now: float
    ) -> None:
        """Update whether a worker is slowed.

        The runs of one report are observed one after the other; the worker is
        slowed if none of them has shown anything else.
        """
        watch = self._watches.setdefault(worker_id, _Watch())
        if watch.reported_at != now:
            watch.reported_at = now
            watch.has_other_run = False
            watch.slow_before = watch.slow_at
        if verdict is run_rates.Verdict.SLOW:
            if self.is_slowed(worker_id, now) or (
                not watch.has_other_run and self._is_firm(worker_id)
            ):
                watch.slow_at = now
            return
        watch.has_other_run = True
        if verdict is run_rates.Verdict.BACK:
            watch.slow_at = watch.slow_before = None
        else:
            watch.slow_at = watch.slow_before

    def _is_firm(self, worker_id: str) -> bool:
        """Tell whether most of two or more runs agree on a worker's speed."""
        self._fit()
        worker = self._workers.get(worker_id)
        if worker is None or worker.log_speed is None:
            return False
        agreeing = sum(
            abs((sample.value or 0.0) - worker.log_speed) <= _AGREEMENT_LOG
            for sample in worker.used
        )
        return agreeing >= _FIRM_RUNS and 2 * agreeing > len(worker.used)

    # Speeds of workers.

    def _fit(self) -> None:
        """Fit the speeds anew if rates have changed since the last fit."""
        if (
            not self._has_new_rates
            or self._observed_at < self._fitted_at + _FIT_INTERVAL_S
        ):
            return
        self._has_new_rates = False
        self._fitted_at = self._observed_at
        speed_fit.fit(self._steps.values(), self._workers)
        for step_id, rates in list(self._steps.items()):
            if rates.seen_at < self._observed_at - _STEP_RETENTION_S:
                self._retire_step(step_id)
        self._update_scale()
        self._groups = None
        self._has_new_speeds = True

    def _retire_step(self, step_id: _StepId) -> None:
        """Remove a step; the samples of its workers keep their values."""
        excess = self._steps.pop(step_id).log_excess
        if excess is not None:
            self._old_excesses.append(excess)

    def _update_scale(self) -> None:
        """Set the scale so that the median declared time is right at 1."""
        excesses = [
            rates.log_excess
            for rates in self._steps.values()
            if rates.log_excess is not None
        ]
        excesses += self._old_excesses
        if not excesses:
            return
        log_scale = statistics.median(excesses) * (
            len(excesses) / (len(excesses) + _SCALE_PRIOR_STEPS)
        )
        if abs(log_scale - self._log_scale) > _SCALE_STEP_LOG:
            self._log_scale = log_scale

    def _split_workers(self) -> SpeedGroups:
        estimates = {
            worker_id: speed_groups.Estimate(
                worker.log_speed, tuple(speed_fit.list_values(worker))
            )
            for worker_id, worker in self._workers.items()
            if worker.log_speed is not None
        }
        self._fast = speed_groups.find_fast(estimates, self._fast)
        if not self._fast:
            return SpeedGroups()
        slow = frozenset(estimates) - self._fast
        return SpeedGroups(
            self._fast,
            slow,
            self._find_median_speed(self._fast),
            self._find_median_speed(slow),
        )

    def _find_median_speed(self, worker_ids: Iterable[str]) -> float:
        return statistics.median(
            self.find_speed(worker_id) or 1.0 for worker_id in worker_ids
        )


def _begin_rate(
    run: tracking.Run,
    tracked_step: tracking.TrackedStep,
    rates: speed_fit.StepRates,
    members: list[tracking.Run],
    now: float,
) -> run_rates.RunRate | None:
    """Begin to measure a run; None while its gang has not begun to work.

    The work of a run may have begun earlier than known if it was confirmed by
    this very report, as after a takeover, or if it has had another pace. Such
    runs, and those that resume from a checkpoint, are measured from now on.
    """
    _drop_ended(rates, members)
    step = tracked_step.step
    assert run.confirmed_at is not None
    is_start_unknown = run.confirmed_at >= now or run.paced_at > 0
    rates.is_start_unknown |= is_start_unknown
    if not step.gang:
        begins_at = run.confirmed_at
    else:
        is_start_unknown = rates.is_start_unknown
        if rates.begins_at is None:
            rates.begins_at = _find_gang_begin(run, step.count, members)
        if rates.begins_at is None:
            return None
        begins_at = rates.begins_at
    if is_start_unknown or tracked_step.find_checkpoint(run.key.position):
        return run_rates.RunRate(now, run.percent, starts_at_zero=False)
    return run_rates.RunRate(begins_at)


def _find_gang_begin(
    run: tracking.Run, count: int, members: list[tracking.Run]
) -> float | None:
    """Return when the last member was confirmed; None if one is missing."""
    times = [
        member.confirmed_at
        for member in members
        if member.number == run.number and member.confirmed_at is not None
    ]
    return max(times) if len(times) >= count else None


def _drop_ended(
    rates: speed_fit.StepRates, members: list[tracking.Run]
) -> None:
    """Remove the measurements of ended runs once they are many."""
    if len(rates.rates) > 2 * len(members) + 16:
        active = {(member.key, member.number) for member in members}
        for key in rates.rates.keys() - active:
            del rates.rates[key]


def _drop_oldest(
    samples: dict[speed_fit.RunKey, speed_fit.Sample], limit: int
) -> None:
    if len(samples) > limit:
        del samples[next(iter(samples))]
