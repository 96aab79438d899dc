"""Edits of templates by operators."""

import dataclasses

from crocusrouter import fleet
from crocusrouter import jobs
from crocusrouter import store
from crocusrouter.controllers import configuration as configurations
from crocusrouter.outcomes import Refusal
from crocusrouter.outcomes import RefusalReason
from crocusrouter.templates import Catalog
from crocusrouter.templates import Template
from crocusrouter.templates import Version
from crocusrouter.templates import compare_templates
from crocusrouter.templates import dump_catalog
from crocusrouter.templates import dump_version
from crocusrouter.templates import name_version
from crocusrouter.templates import parse_catalog
from crocusrouter.templates import parse_version
from crocusrouter.templates import replace_template

_TRIES = 5
_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True)
class Edited:
    """The edit is in the store.

    Attributes:
        revision: Catalog revision that holds it.
        catalog: The catalog after it.
    """

    revision: int
    catalog: Catalog


def check_edit(
    catalog: Catalog,
    template: Template,
    expected_revision: int | None,
    machines: fleet.Fleet,
) -> Refusal | None:
    """Tell what speaks against an edit, or None.

    Args:
        catalog: The catalog that the edit would change.
        template: The new template.
        expected_revision: Revision of the customer's template that the
            operator read; 0 if there was none; None to edit regardless.
        machines: The fleet in which all guarantees must embed.
    """
    current = catalog.revision_of(template.customer)
    if expected_revision is not None and expected_revision != current:
        return _describe_conflict(catalog, template, expected_revision)
    misfit = jobs.check_guarantees(
        replace_template(catalog, template), machines
    )
    if misfit is not None:
        return Refusal(RefusalReason.GUARANTEES_DO_NOT_FIT, str(misfit))
    return None


async def apply_edit(
    configuration: configurations.Configuration,
    client: store.StoreClient,
    template: Template,
    expected_revision: int | None,
    machines: fleet.Fleet,
    now: float,
) -> Edited | Refusal:
    """Write a template by compare-and-swap on the whole catalog.

    The catalog is read afresh, so that an entry which lags behind can't
    replace what it has not seen. An edit of another customer that comes
    between is no conflict: the edit is checked again on top of it.
    """
    for _ in range(_TRIES):
        try:
            record = await client.read(configuration.catalog_key)
        except store.StoreUnavailableError as error:
            return Refusal(
                RefusalReason.STORE_UNAVAILABLE, str(error), _RETRY_S
            )
        catalog = parse_catalog(record.value) if record else Catalog()
        if catalog.revision < configuration.catalog.revision:
            # The store has gone back. Edit what is in force, so that what it
            # lost is written again and no revision is used twice.
            catalog = configuration.catalog
        refusal = check_edit(catalog, template, expected_revision, machines)
        if refusal is not None:
            return refusal
        version = await _keep_version(
            configuration, client, catalog, template, now
        )
        if isinstance(version, Refusal):
            return version
        after = replace_template(catalog, template, version)
        outcome = await client.compare_and_swap(
            configuration.catalog_key, record, dump_catalog(after)
        )
        if isinstance(outcome, store.Committed):
            configuration.take_catalog(after)
            return Edited(after.revision, after)
        if isinstance(outcome, store.Superseded):
            return Edited(after.revision, after)
        if isinstance(outcome, store.Unavailable):
            return _refuse_unavailable(outcome)
    return Refusal(
        RefusalReason.REVISION_CONFLICT, "many edits at once", _RETRY_S
    )


async def _keep_version(
    configuration: configurations.Configuration,
    client: store.StoreClient,
    catalog: Catalog,
    template: Template,
    now: float,
) -> str | Refusal:
    """Write the record of a version before the catalog that names it."""
    held = catalog.templates.get(template.customer)
    previous = held.version if held is not None else ""
    version = Version(catalog.revision + 1, now, previous, template)
    name = name_version(version)
    outcome = await client.compare_and_swap(
        configuration.history_prefix + name, None, dump_version(version)
    )
    if isinstance(outcome, store.Unavailable):
        return Refusal(RefusalReason.STORE_UNAVAILABLE, outcome.cause, _RETRY_S)
    return name


async def list_versions(
    configuration: configurations.Configuration,
    client: store.StoreClient,
    customer: str,
    limit: int,
) -> list[Version]:
    """Return a template's versions, the one in force first.

    Raises:
        StoreUnavailableError: The key-value service gave no answer.
    """
    held = configuration.catalog.templates.get(customer)
    name = held.version if held is not None else ""
    versions: list[Version] = []
    while name and len(versions) < limit:
        record = await client.read(configuration.history_prefix + name)
        if record is None:
            break
        versions.append(parse_version(record.value))
        name = versions[-1].previous
    return versions


def _refuse_unavailable(outcome: store.Unavailable) -> Refusal:
    if outcome.maybe_written:
        detail = f"{outcome.cause}; read the template to see if it changed"
        return Refusal(RefusalReason.COMMIT_UNKNOWN, detail, _RETRY_S)
    return Refusal(RefusalReason.STORE_UNAVAILABLE, outcome.cause, _RETRY_S)


def _describe_conflict(
    catalog: Catalog, template: Template, expected_revision: int
) -> Refusal:
    current = catalog.revision_of(template.customer)
    held = catalog.find(template.customer)
    paths = [d.path for d in compare_templates(held, template)]
    detail = (
        f"it is at revision {current}, not {expected_revision}; it differs "
        f"from yours in: {', '.join(paths) or 'nothing'}"
    )
    return Refusal(RefusalReason.REVISION_CONFLICT, detail)
