"""Fit of the rates of runs: log rate = level of the step + log speed + noise.

Medians ignore the outliers that a few tasks of unusual length cause.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

from crocusrouter.work import medians
from crocusrouter.work import model
from crocusrouter.work import run_rates

RunKey = tuple[model.TaskKey, int]

# Every fit starts from the last one, so it may end before it has converged.
_MAX_SWEEPS = 4
# Greatest change of a log speed in the last sweep.
_TOLERANCE = 0.01
# Weight in a step's level of a worker about which other steps say nothing.
_UNKNOWN_WEIGHT = 0.25
# Weight, for every worker, of the median of its group, or of speed 1 without
# groups. Without it, workers that have no steps in common with others could
# drift away from them.
_PRIOR_WEIGHT = 0.1
# Steps with a shorter declared run time have none.
_MIN_EXPECTED_S = 1e-3
# Number of runs that count for a worker.
_MAX_RUNS = 8
# A run that is this much faster or slower than the speeds of the others tells
# of its own task or of a disturbance.
_OUTLIER_LOG = math.log(4.0)
_OUTLIER_WEIGHT = 0.1
# A lower bound counts for a worker without exact rates only if it lies above
# the usual speed by this log factor.
_MIN_BOUND_LOG = 0.2
# Every rate that was measured since outweighs an estimate of an earlier owner.
_RESTORED_WEIGHT = 0.02
_RESTORED_UNTIL_RUNS = 2
# How far samples may be from their median to agree with it.
_AGREEMENT_LOG = math.log(1.25)
_FIRM_RUNS = 2


@dataclasses.dataclass(eq=False)
class Sample:
    """The rate of one run.

    Attributes:
        worker_id: Id of the worker's incarnation.
        since: Steady time at which the rate was first known.
        log_rate: Logarithm of the percent per second.
        weight: Weight, from 0 to 1.
        is_exact: Whether it is more than a lower bound.
        value: Log speed of the worker according to this run; None if no other
            worker can be compared.
        value_weight: Weight of `value`, which also depends on what is known of
            the step's other workers.
    """

    worker_id: str
    since: float
    log_rate: float = math.nan
    weight: float = 0.0
    is_exact: bool = False
    value: float | None = None
    value_weight: float = 0.0


@dataclasses.dataclass(eq=False)
class StepRates:
    """Rates of the runs of a step that are alike.

    Attributes:
        expected_s: Declared run time in seconds.
        begins_at: Steady time at which the work of the gang begins; None if it
            is unknown or if the step is no gang.
        is_start_unknown: Whether a gang's work may have begun before this owner
            knew of it.
        seen_at: Steady time of the last observation.
        rates: Measurements by run.
        samples: Samples by run.
        level: Log rate at the usual speed; None if it is unknown.
    """

    expected_s: float
    begins_at: float | None = None
    is_start_unknown: bool = False
    seen_at: float = 0.0
    rates: dict[RunKey, run_rates.RunRate] = dataclasses.field(
        default_factory=dict
    )
    samples: dict[RunKey, Sample] = dataclasses.field(default_factory=dict)
    level: float | None = None

    @property
    def has_two_workers(self) -> bool:
        """Whether runs of different workers can be compared."""
        worker_ids = {sample.worker_id for sample in self.samples.values()}
        return len(worker_ids) > 1

    @property
    def log_excess(self) -> float | None:
        """Log of the measured work at the usual speed by the declared one.

        None if either is unknown.
        """
        if self.level is None or not (
            _MIN_EXPECTED_S < self.expected_s < math.inf
        ):
            return None
        return math.log(100 / self.expected_s) - self.level


@dataclasses.dataclass(eq=False)
class WorkerSamples:
    """Samples of one worker and the log speed that follows from them.

    Attributes:
        samples: The latest samples by run, in the order of their first reports.
        restored: Log speed of an earlier owner's estimate; None if none.
        restored_since: Steady time since when that estimate existed.
        log_speed: Log speed; None if it is unknown.
        anchored: The log speed, closer to the usual speed the fewer rates there
            are; it sets the levels of steps.
        steps: Number of steps whose samples count.
        used: The samples that count.
    """

    samples: dict[RunKey, Sample] = dataclasses.field(default_factory=dict)
    restored: float | None = None
    restored_since: float = 0.0
    log_speed: float | None = None
    anchored: float | None = None
    steps: int = 0
    used: list[Sample] = dataclasses.field(default_factory=list)


def fit(
    steps: Iterable[StepRates],
    workers: Mapping[str, WorkerSamples],
    usual_log_speeds: Mapping[str, float],
) -> None:
    """Set the levels of steps, the samples' values and the log speeds.

    Samples of steps that are not among `steps` keep their values.

    Args:
        steps: The steps whose runs are compared.
        workers: The workers by id.
        usual_log_speeds: Log speed of each worker's group; workers that are not
            among these belong to no group. While work is placed by speed, the
            groups have few steps in common, and workers that were all drawn
            towards speed 1 lost the difference of their groups.
    """
    for worker in workers.values():
        worker.steps = len(
            {
                key[0][:3]
                for key, sample in worker.samples.items()
                if sample.value is not None
            }
        )
    comparable = [step for step in steps if step.has_two_workers]
    for _ in range(_MAX_SWEEPS):
        for step in comparable:
            _fit_step(step, workers)
        change = max(
            (
                _fit_worker(worker, usual_log_speeds.get(worker_id, 0.0))
                for worker_id, worker in workers.items()
            ),
            default=0.0,
        )
        if change < _TOLERANCE:
            return


def is_firm(worker: WorkerSamples) -> bool:
    """Tell whether most of two or more runs agree on a worker's speed."""
    if worker.log_speed is None:
        return False
    agreeing = sum(
        abs((sample.value or 0.0) - worker.log_speed) <= _AGREEMENT_LOG
        for sample in worker.used
    )
    return agreeing >= _FIRM_RUNS and 2 * agreeing > len(worker.used)


def _fit_step(step: StepRates, workers: Mapping[str, WorkerSamples]) -> None:
    """Set a step's level from the speeds of its workers."""
    exact: list[tuple[float, float]] = []
    bounds: list[tuple[float, float]] = []
    weights: dict[str, float] = collections.defaultdict(float)
    for sample in step.samples.values():
        worker = workers.get(sample.worker_id)
        log_speed, weight = 0.0, _UNKNOWN_WEIGHT
        if worker is not None and worker.anchored is not None:
            log_speed = worker.anchored
            if worker.steps > 1 or worker.restored is not None:
                weight = 1.0
        pair = (sample.log_rate - log_speed, weight * sample.weight)
        (exact if sample.is_exact else bounds).append(pair)
        weights[sample.worker_id] += pair[1]
    if not exact:
        step.level = None
    else:
        step.level = medians.find_median(exact)
        higher = [pair for pair in bounds if pair[0] > step.level]
        if higher:
            step.level = medians.find_median(exact + higher)
    total = math.fsum(weights.values())
    for sample in step.samples.values():
        if step.level is None:
            sample.value = None
            continue
        sample.value = sample.log_rate - step.level
        # The variances of the rate and of the level that the others set add.
        others = max(1e-3, total - weights[sample.worker_id])
        sample.value_weight = 1 / (1 / sample.weight + 1 / others)


def _fit_worker(worker: WorkerSamples, usual_log_speed: float) -> float:
    """Set a worker's log speed; return by how much it has changed."""
    known = [s for s in worker.samples.values() if s.value is not None]
    known = known[-_MAX_RUNS:]
    worker.used = [sample for sample in known if sample.is_exact]
    if len(worker.used) >= _RESTORED_UNTIL_RUNS:
        worker.restored = None
    pairs = [_weigh(sample) for sample in worker.used]
    if worker.restored is not None:
        pairs.append((worker.restored, _RESTORED_WEIGHT))
    lowest = medians.find_median(pairs) if pairs else _MIN_BOUND_LOG
    bounds = [
        sample
        for sample in known
        if not sample.is_exact and (sample.value or 0.0) > lowest
    ]
    worker.used += bounds
    pairs += map(_weigh, bounds)
    before = worker.anchored
    worker.log_speed = worker.anchored = None
    if pairs:
        worker.log_speed = medians.find_median(pairs)
        total = math.fsum(weight for _, weight in pairs)
        if worker.restored is None:
            total += _PRIOR_WEIGHT
        own_share = math.fsum(weight for _, weight in pairs) / total
        worker.anchored = usual_log_speed + own_share * (
            worker.log_speed - usual_log_speed
        )
    if before is None or worker.anchored is None:
        return 0.0 if before is worker.anchored else 1.0
    return abs(worker.anchored - before)


def list_values(worker: WorkerSamples) -> list[tuple[float, float]]:
    """Return the log speeds according to single runs, with their weights.

    A restored estimate counts as one run.
    """
    if not worker.used and worker.log_speed is not None:
        return [(worker.log_speed, 1.0)]
    return [_weigh(sample) for sample in worker.used]


def _weigh(sample: Sample) -> tuple[float, float]:
    value = sample.value or 0.0
    is_outlier = abs(value) > _OUTLIER_LOG
    return value, sample.value_weight * (_OUTLIER_WEIGHT if is_outlier else 1.0)
