"""Builders of jobs, templates and capacities for tests."""

import hashlib

from crocusrouter import jobs
from crocusrouter import templates
from crocusrouter.jobs import cells
from crocusrouter.jobs import scheduler_state as scheduler_states
from crocusrouter.templates import Level

DATA_CENTRE = "dc"


def build_capacities(*free_masks, per_rack=2):
    """Return capacities of workers w0, w1, ... with the given free masks."""
    return {
        f"w{i}": cells.WorkerCapacity(f"w{i}", f"r{i // per_rack}", mask)
        for i, mask in enumerate(free_masks)
    }


def build_template(customer="c", *shapes, **fields):
    """Return a template with the cells (level, accelerators, count)."""
    guarantee = tuple(
        templates.Cell(DATA_CENTRE, Level(level), size, count)
        for level, size, count in shapes
    )
    kinds = {"tag": templates.JobKind(), "render": templates.JobKind()}
    return templates.Template(
        customer,
        hashlib.sha256(customer.encode()).hexdigest(),
        guarantee,
        job_kinds=kinds,
        **fields,
    )


def build_catalog(*template_list):
    """Return a catalog of the templates."""
    catalog = templates.Catalog()
    for template in template_list:
        catalog = templates.replace_template(catalog, template)
    return catalog


def build_job(number, customer="c", size=1, level="worker", **fields):
    """Return a queued job that has no attempt yet."""
    spec = jobs.Spec("tag", size, Level(level), 1.0, 100.0, 3, **fields)
    return jobs.Job(f"{DATA_CENTRE}.{number}", customer, spec, float(number))


def build_scheduler_state(catalog, workers=4, accelerators=8, per_rack=2):
    """Return a state whose workers have all reported an empty inventory."""
    from crocusrouter.fleet import messages

    scheduler_state = scheduler_states.SchedulerState(DATA_CENTRE)
    scheduler_state.catalog = catalog
    for i in range(workers):
        scheduler_state.set_worker(
            f"w{i}", f"r{i // per_rack}", accelerators, True
        )
        jobs.handle_message(
            scheduler_state, f"w{i}", messages.Inventory(()), 0.0
        )
    return scheduler_state
