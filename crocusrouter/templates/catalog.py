"""The catalog: the templates of all customers, at one revision.

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
    """The templates of all customers.

    Attributes:
        revision: Incremented by each edit. It is stored in the document, so
            that it survives a repair of the store that resets the store's own
            revisions.
        templates: Templates by customer.
    """

    revision: int = 0
    templates: dict[str, VersionedTemplate] = dataclasses.field(
        default_factory=dict
    )

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
    return Catalog(revision, catalog.templates | changed_template)
