"""Short builders for tests of jobs."""

import hashlib

from crocusrouter import jobs
from crocusrouter import templates
from crocusrouter.jobs import book as books
from crocusrouter.jobs import cells
from crocusrouter.templates import Level

DATA_CENTRE = "dc"


def build_floor(*free, per_rack=2):
    """Workers w0, w1, ... with the given masks free."""
    return {
        f"w{i}": cells.Space(f"w{i}", f"r{i // per_rack}", mask)
        for i, mask in enumerate(free)
    }


def build_template(customer="c", *shapes, **fields):
    """A template with cells (level, accelerators, count)."""
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


def build_catalog(*held):
    """A catalog of templates."""
    catalog = templates.Catalog()
    for template in held:
        catalog = templates.replace_template(catalog, template)
    return catalog


def build_job(number, customer="c", size=1, level="worker", **fields):
    """A fresh job."""
    spec = jobs.Spec("tag", size, Level(level), 1.0, 100.0, 3, **fields)
    return jobs.Job(f"{DATA_CENTRE}.{number}", customer, spec, float(number))


def build_book(catalog, workers=4, accelerators=8, per_rack=2):
    """A book whose workers have all told that they hold nothing."""
    from crocusrouter.fleet import messages

    book = books.Book(DATA_CENTRE)
    book.catalog = catalog
    for i in range(workers):
        book.set_worker(f"w{i}", f"r{i // per_rack}", accelerators, True)
        jobs.handle_message(book, f"w{i}", messages.Inventory(()), 0.0)
    return book
