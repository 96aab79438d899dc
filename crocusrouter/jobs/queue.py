"""The order in which waiting jobs are considered."""

from collections.abc import Iterable
from collections.abc import Mapping

from crocusrouter.jobs import claims
from crocusrouter.jobs import estimates as learned
from crocusrouter.jobs import model
from crocusrouter.templates import Catalog
from crocusrouter.templates import Weights

_SHARE_STEPS = 8


def order_queue(
    waiting: Iterable[model.Job],
    needs: claims.Needs,
    borrowed: Mapping[str, float],
    catalog: Catalog,
    estimates: learned.Estimates,
) -> list[model.Job]:
    """Return waiting jobs, the one to consider first in front.

    Urgent work goes first, then work within a guarantee. What isn't
    guaranteed is shared by weight, in coarse steps: the customer that borrows
    least for its weight goes first. Within a step the older and the shorter
    job goes first: each expected second counts as much as the template's
    weight of completion says in seconds of waiting, so a long job yields to
    short ones for a bounded time only.

    Args:
        waiting: Queued jobs.
        needs: Every guaranteed cell, with what is claimed of it.
        borrowed: Share of the data centre lent to each customer, 0 to 1.
        catalog: Templates, for the weights.
        estimates: Run times learned so far.
    """
    shapes: dict[tuple[str, str, int], bool] = {}

    def is_guaranteed(job: model.Job) -> bool:
        shape = (job.customer, job.spec.level, job.spec.accelerators)
        if shape not in shapes:
            shapes[shape] = claims.is_claimable(
                needs, job.customer, job.spec.level, job.spec.accelerators
            )
        return shapes[shape]

    def rate(job: model.Job) -> tuple[bool, bool, int, float, str]:
        template = catalog.find(job.customer)
        share = template.fair_share if template is not None else 1.0
        weights = template.weights if template is not None else Weights()
        expected_s = estimate_job(estimates, job)
        return (
            not job.spec.urgent,
            not is_guaranteed(job),
            int(_SHARE_STEPS * borrowed.get(job.customer, 0.0) / share),
            job.submitted_at + weights.completion * expected_s,
            job.id,
        )

    return sorted(waiting, key=rate)


def estimate_job(estimates: learned.Estimates, job: model.Job) -> float:
    """Return the run time to expect of a job, in seconds."""
    key = (job.customer, job.spec.kind)
    return learned.estimate_run_time(estimates, key, job.spec.run_time_s)
