"""The catalog: all templates and all closed data centres, at one revision.

One document holds all templates, and an edit is one compare-and-swap of it. So
of two concurrent edits whose guarantees fit separately but not together, at
most one succeeds.
"""

import dataclasses

import pydantic

from crocusrouter.templates import model


@dataclasses.dataclass(frozen=True)
class VersionedTemplate:
    """A template and the catalog revision of its last change.

    Attributes:
        revision: Catalog revision of the last change.
        template: The template.
        version: Name of the template's record in the history.
    """

    revision: int
    template: model.Template
    version: str = ""


@dataclasses.dataclass(frozen=True)
class Catalog:
    """The templates of all customers, and the closed data centres.

    Attributes:
        revision: Incremented by each edit. It is stored in the document, so
            that it survives a repair of the store that resets the store's own
            revisions.
        templates: Templates by customer.
        closed_since: Unix time of its closure, by data centre that is closed
            to new work.
    """

    revision: int = 0
    templates: dict[str, VersionedTemplate] = dataclasses.field(
        default_factory=dict
    )
    closed_since: dict[str, float] = dataclasses.field(default_factory=dict)

    def is_closed(self, data_centre: str) -> bool:
        """Tell whether a data centre is closed to new work."""
        return data_centre in self.closed_since

    def find_template(self, customer: str) -> model.Template | None:
        """Return the customer's template, or None."""
        versioned = self.templates.get(customer)
        return versioned.template if versioned is not None else None

    def find_revision(self, customer: str) -> int:
        """Return the revision of the customer's template, 0 if none."""
        versioned = self.templates.get(customer)
        return versioned.revision if versioned is not None else 0


_CATALOG_ADAPTER = pydantic.TypeAdapter(Catalog)


def dump_catalog(catalog: Catalog) -> bytes:
    """Return the catalog as JSON."""
    return _CATALOG_ADAPTER.dump_json(catalog)


def parse_catalog(data: bytes) -> Catalog:
    """Check a JSON document and return the catalog.

    Raises:
        InvalidTemplateError: The document isn't a catalog.
    """
    return model.parse_json(_CATALOG_ADAPTER, data)


def replace_template(
    catalog: Catalog, template: model.Template, version: str = ""
) -> Catalog:
    """Return the catalog's next revision, with `template` for its customer.

    >>> key = "0" * 64
    >>> after = replace_template(Catalog(3), model.Template("a", key))
    >>> after.revision, after.find_revision("a")
    (4, 4)
    """
    revision = catalog.revision + 1
    changed_template = {
        template.customer: VersionedTemplate(revision, template, version)
    }
    return dataclasses.replace(
        catalog,
        revision=revision,
        templates=catalog.templates | changed_template,
    )


def close_data_centre(
    catalog: Catalog, data_centre: str, now: float
) -> Catalog:
    """Return the catalog's next revision, with a data centre closed.

    >>> close_data_centre(Catalog(3), "liege", 7.0).closed_since
    {'liege': 7.0}

    Args:
        catalog: The catalog.
        data_centre: The data centre; one that is closed stays as it is.
        now: Unix time in seconds.
    """
    if catalog.is_closed(data_centre):
        return catalog
    return dataclasses.replace(
        catalog,
        revision=catalog.revision + 1,
        closed_since=catalog.closed_since | {data_centre: now},
    )


def open_data_centre(catalog: Catalog, data_centre: str) -> Catalog:
    """Return the catalog's next revision, with a data centre open."""
    if not catalog.is_closed(data_centre):
        return catalog
    remaining = {
        name: since
        for name, since in catalog.closed_since.items()
        if name != data_centre
    }
    return dataclasses.replace(
        catalog, revision=catalog.revision + 1, closed_since=remaining
    )
