"""Speeds of workers, estimated from the relative progress of their runs."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math
import statistics

from crocusrouter.work import model
from crocusrouter.work import packing
from crocusrouter.work import run_rates
from crocusrouter.work import run_starts
from crocusrouter.work import slow_downs
from crocusrouter.work import speed_fit
from crocusrouter.work import speed_groups
from crocusrouter.work import speed_scale
from crocusrouter.work import tracking

# Number of runs kept for a worker, also of steps that have no second worker.
_MAX_WORKER_SAMPLES = 16
# Every report changes some rate, and a fit takes time in proportion to the
# samples: 22 ms of a core for 176 workers with 1,300 runs, 93 ms for 300 with
# 5,000. The interval keeps it to some 5% of the owner's processor.
_FIT_INTERVAL_S = 0.25
_SAMPLES_PER_FIT_S = 2500
# Time without reports after which a step's rates are kept as they are.
_STEP_RETENTION_S = 5.0
_MAX_STEPS = 1000
_MAX_STEP_SAMPLES = 256
# Factor of a change that operators should see.
_CHANGE_LOG = math.log(1.25)

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
        self._slow_downs = slow_downs.SlowDowns(self._is_firm)
        self._reported_log_speeds: dict[str, float] = {}
        self._scale = speed_scale.SpeedScale()
        self._observed_at = -math.inf
        self._fitted_at = -math.inf
        self._has_new_rates = False
        self._has_new_speeds = False
        self._groups: SpeedGroups | None = SpeedGroups()
        self._fast: frozenset[str] = frozenset()
        # Fitted log speeds towards which workers are drawn, by worker.
        self._usual_log_speeds: dict[str, float] = {}
        self._fit_interval_s = _FIT_INTERVAL_S

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
        percent = min(100.0, max(0.0, run.percent))
        rate = rates.rates.get(key)
        if rate is None:
            rate = run_starts.begin_rate(
                run, percent, tracked_step, rates, list(members), now
            )
            if rate is None:
                return
            rates.rates[key] = rate
        verdict = rate.update(
            percent,
            now,
            is_disturbed=self.is_slowed(run.worker_id, now),
        )
        if rate.percent_per_s > 0:
            self._keep_sample(rates, key, run.worker_id, rate, now)
        if verdict is not None:
            self._slow_downs.note(run.worker_id, verdict, now)

    def forget(self, worker_id: str) -> None:
        """Remove the estimate of an incarnation that is gone."""
        self._workers.pop(worker_id, None)
        self._slow_downs.forget(worker_id)
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
        return math.exp(worker.log_speed - self._scale.log_scale)

    def is_slowed(self, worker_id: str, now: float) -> bool:
        """Tell whether a worker runs below its own speed for a while."""
        return self._slow_downs.is_slowed(worker_id, now)

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
                    math.exp(worker.log_speed - self._scale.log_scale),
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
            worker.restored = math.log(estimate.speed) + self._scale.log_scale
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
            rates = speed_fit.StepRates(step.expected_s)
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

    def _is_firm(self, worker_id: str) -> bool:
        self._fit()
        worker = self._workers.get(worker_id)
        return worker is not None and speed_fit.is_firm(worker)

    # Speeds of workers.

    def _fit(self) -> None:
        """Fit the speeds anew if rates have changed since the last fit."""
        if (
            not self._has_new_rates
            or self._observed_at < self._fitted_at + self._fit_interval_s
        ):
            return
        self._has_new_rates = False
        self._fitted_at = self._observed_at
        speed_fit.fit(
            self._steps.values(), self._workers, self._usual_log_speeds
        )
        sample_count = sum(len(rates.samples) for rates in self._steps.values())
        self._fit_interval_s = max(
            _FIT_INTERVAL_S, sample_count / _SAMPLES_PER_FIT_S
        )
        for step_id, rates in list(self._steps.items()):
            if rates.seen_at < self._observed_at - _STEP_RETENTION_S:
                self._retire_step(step_id)
        self._scale.update(self._steps.values())
        self._groups = None
        self._has_new_speeds = True

    def _retire_step(self, step_id: _StepId) -> None:
        """Remove a step; the samples of its workers keep their values."""
        self._scale.add_retired(self._steps.pop(step_id))

    def _split_workers(self) -> SpeedGroups:
        estimates = {
            worker_id: speed_groups.Estimate(
                worker.log_speed, tuple(speed_fit.list_values(worker))
            )
            for worker_id, worker in self._workers.items()
            if worker.log_speed is not None
        }
        self._fast = speed_groups.find_fast(estimates, self._fast)
        self._usual_log_speeds = {}
        if not self._fast:
            return SpeedGroups()
        slow = frozenset(estimates) - self._fast
        groups = SpeedGroups(
            self._fast,
            slow,
            self._find_median_speed(self._fast),
            self._find_median_speed(slow),
        )
        for worker_ids, speed in (
            (groups.fast, groups.fast_speed),
            (groups.slow, groups.slow_speed),
        ):
            self._usual_log_speeds |= dict.fromkeys(
                worker_ids, math.log(speed) + self._scale.log_scale
            )
        return groups

    def _find_median_speed(self, worker_ids: Iterable[str]) -> float:
        return statistics.median(
            self.find_speed(worker_id) or 1.0 for worker_id in worker_ids
        )


def _drop_oldest(
    samples: dict[speed_fit.RunKey, speed_fit.Sample], limit: int
) -> None:
    if len(samples) > limit:
        del samples[next(iter(samples))]
