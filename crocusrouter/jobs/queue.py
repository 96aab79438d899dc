"""Queue order: the order in which the scheduler considers queued jobs."""

from collections.abc import Iterable
from collections.abc import Mapping

from crocusrouter.jobs import claims
from crocusrouter.jobs import model
from crocusrouter.jobs import run_times
from crocusrouter.templates import Catalog
from crocusrouter.templates import PlacementWeights

_BORROWED_SHARE_STEPS = 8


def order_queue(
    queued_jobs: Iterable[model.Job],
    demands: claims.CellDemands,
    borrowed_shares: Mapping[str, float],
    catalog: Catalog,
    run_time_history: run_times.RunTimeHistory,
) -> list[model.Job]:
    """Sort queued jobs, the job to consider first in front.

    Urgent jobs come first, then jobs within a guarantee. Other jobs are ordered
    by fair share: the customer that borrows least for its weight comes first.
    The borrowed share is compared in coarse steps. Within a step, older and
    shorter jobs come first: each expected second of run time counts as the
    number of seconds of waiting that the template's completion weight sets, so
    short jobs overtake a long job for a bounded time only.

    Args:
        queued_jobs: Jobs that wait for a place.
        demands: Every guaranteed cell, with its claimed part.
        borrowed_shares: Share of the data centre that each customer borrows,
            0 to 1.
        catalog: Templates, for the weights.
        run_time_history: Run times of recent jobs.
    """
    guaranteed_shapes: dict[tuple[str, str, int], bool] = {}

    def is_guaranteed(job: model.Job) -> bool:
        shape = (job.customer, job.spec.level, job.spec.accelerators)
        if shape not in guaranteed_shapes:
            guaranteed_shapes[shape] = claims.is_within_guarantee(
                demands, job.customer, job.spec.level, job.spec.accelerators
            )
        return guaranteed_shapes[shape]

    def build_sort_key(
        job: model.Job,
    ) -> tuple[bool, bool, int, float, str]:
        template = catalog.find_template(job.customer)
        share = template.fair_share if template is not None else 1.0
        weights = (
            template.weights if template is not None else PlacementWeights()
        )
        expected_s = estimate_job_run_time(run_time_history, job)
        return (
            not job.spec.urgent,
            not is_guaranteed(job),
            int(
                _BORROWED_SHARE_STEPS
                * borrowed_shares.get(job.customer, 0.0)
                / share
            ),
            job.submitted_at + weights.completion * expected_s,
            job.id,
        )

    return sorted(queued_jobs, key=build_sort_key)


def estimate_job_run_time(
    run_time_history: run_times.RunTimeHistory, job: model.Job
) -> float:
    """Return the expected run time of a job in seconds."""
    key = (job.customer, job.spec.kind)
    return run_times.estimate_run_time(
        run_time_history, key, job.spec.run_time_s
    )
