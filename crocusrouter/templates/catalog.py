"""The catalog: every customer's template, at one revision.

One document holds all templates. An edit is one compare-and-swap, so the
check that all guarantees fit together can't be raced: two edits that fit
alone but not together never both win.
"""

import dataclasses

import pydantic

from crocusrouter.templates import model


@dataclasses.dataclass(frozen=True)
class Versioned:
    """A template and the catalog revision of its last change.

    Attributes:
        revision: Catalog revision of the last change.
        template: The template.
        version: Name of its record in the history.
    """

    revision: int
    template: model.Template
    version: str = ""


@dataclasses.dataclass(frozen=True)
class Catalog:
    """Every template.

    Attributes:
        revision: Rises by one with each edit and lives in the document, so
            that it survives a repair of the store that resets the store's own
            revisions.
        templates: Templates by customer.
    """

    revision: int = 0
    templates: dict[str, Versioned] = dataclasses.field(default_factory=dict)

    def find(self, customer: str) -> model.Template | None:
        """Return the customer's template, or None."""
        held = self.templates.get(customer)
        return held.template if held is not None else None

    def revision_of(self, customer: str) -> int:
        """Return the revision of the customer's template, 0 if none."""
        held = self.templates.get(customer)
        return held.revision if held is not None else 0


_ADAPTER = pydantic.TypeAdapter(Catalog)


def dump_catalog(catalog: Catalog) -> bytes:
    """Return the catalog as JSON."""
    return _ADAPTER.dump_json(catalog)


def parse_catalog(data: bytes) -> Catalog:
    """Check and return a catalog.

    Raises:
        InvalidTemplateError: The document is no catalog.
    """
    return model.parse_json(_ADAPTER, data)


def replace_template(
    catalog: Catalog, template: model.Template, version: str = ""
) -> Catalog:
    """Return the next catalog, in which the customer has `template`.

    >>> key = "0" * 64
    >>> after = replace_template(Catalog(3), model.Template("a", key))
    >>> after.revision, after.revision_of("a")
    (4, 4)
    """
    revision = catalog.revision + 1
    changed = {template.customer: Versioned(revision, template, version)}
    return Catalog(revision, catalog.templates | changed)
