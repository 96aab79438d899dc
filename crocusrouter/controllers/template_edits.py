"""Changes of customers' templates by operators: checks, writes, history."""

import dataclasses

from crocusrouter import fleet
from crocusrouter import jobs
from crocusrouter import store
from crocusrouter.controllers import configuration as configurations
from crocusrouter.outcomes import Refusal
from crocusrouter.outcomes import RefusalReason
from crocusrouter.templates import Catalog
from crocusrouter.templates import Template
from crocusrouter.templates import TemplateVersion
from crocusrouter.templates import build_version_name
from crocusrouter.templates import compare_templates
from crocusrouter.templates import dump_catalog
from crocusrouter.templates import dump_version
from crocusrouter.templates import parse_catalog
from crocusrouter.templates import parse_version
from crocusrouter.templates import replace_template

_MAX_ATTEMPTS = 5
_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True)
class AppliedEdit:
    """An edit that the key-value service has stored.

    Attributes:
        revision: Catalog revision that contains the edit.
        catalog: The catalog after the edit.
    """

    revision: int
    catalog: Catalog


def check_edit(
    catalog: Catalog,
    template: Template,
    expected_revision: int | None,
    current_fleet: fleet.Fleet,
) -> Refusal | None:
    """Return the reason to refuse an edit, or None if it is valid.

    Args:
        catalog: The catalog that the edit would change.
        template: The new template.
        expected_revision: Revision of the customer's template that the
            operator read; 0 if there was none; None to skip this check.
        current_fleet: The fleet in which all guarantees must fit together.
    """
    current_revision = catalog.find_revision(template.customer)
    if expected_revision is not None and expected_revision != current_revision:
        return _build_conflict_refusal(catalog, template, expected_revision)
    misfit = jobs.check_guarantees(
        replace_template(catalog, template), current_fleet
    )
    if misfit is not None:
        return Refusal(RefusalReason.GUARANTEES_DO_NOT_FIT, str(misfit))
    return None


async def apply_edit(
    configuration: configurations.Configuration,
    store_client: store.StoreClient,
    template: Template,
    expected_revision: int | None,
    current_fleet: fleet.Fleet,
    now: float,
) -> AppliedEdit | Refusal:
    """Write a template by compare-and-swap on the whole catalog.

    The catalog is read again from the key-value service, so that an entry
    whose watch lags behind can't overwrite changes that it has not seen. If
    another edit was stored in the meantime, this edit is checked again against
    the new catalog. A change of another customer's template is no conflict.

    Args:
        configuration: Gives the keys and the catalog in force.
        store_client: Client of the key-value service.
        template: The new template.
        expected_revision: As in `check_edit`.
        current_fleet: As in `check_edit`.
        now: Unix time of the edit.
    """
    for _ in range(_MAX_ATTEMPTS):
        try:
            record = await store_client.read(configuration.catalog_key)
        except store.StoreUnavailableError as error:
            return Refusal(
                RefusalReason.STORE_UNAVAILABLE, str(error), _RETRY_AFTER_S
            )
        catalog = parse_catalog(record.value) if record else Catalog()
        if catalog.revision < configuration.catalog.revision:
            # The store lost recent writes, for example when it was restored
            # from a backup. Base the edit on the catalog in force, so that
            # the lost edits are written again and no revision is used twice.
            catalog = configuration.catalog
        refusal = check_edit(
            catalog, template, expected_revision, current_fleet
        )
        if refusal is not None:
            return refusal
        version_name = await _store_version(
            configuration, store_client, catalog, template, now
        )
        if isinstance(version_name, Refusal):
            return version_name
        new_catalog = replace_template(catalog, template, version_name)
        outcome = await store_client.compare_and_swap(
            configuration.catalog_key, record, dump_catalog(new_catalog)
        )
        if isinstance(outcome, store.Committed):
            configuration.adopt_catalog(new_catalog)
            return AppliedEdit(new_catalog.revision, new_catalog)
        if isinstance(outcome, store.Superseded):
            return AppliedEdit(new_catalog.revision, new_catalog)
        if isinstance(outcome, store.Unavailable):
            return _build_unavailable_refusal(outcome)
    return Refusal(
        RefusalReason.REVISION_CONFLICT,
        "too many concurrent edits",
        _RETRY_AFTER_S,
    )


async def _store_version(
    configuration: configurations.Configuration,
    store_client: store.StoreClient,
    catalog: Catalog,
    template: Template,
    now: float,
) -> str | Refusal:
    """Store a new version, before the catalog that refers to it.

    Returns:
        The version's name, or a refusal if the service is unavailable.
    """
    versioned = catalog.templates.get(template.customer)
    previous_name = versioned.version if versioned is not None else ""
    version = TemplateVersion(
        catalog.revision + 1, now, previous_name, template
    )
    name = build_version_name(version)
    outcome = await store_client.compare_and_swap(
        configuration.history_prefix + name, None, dump_version(version)
    )
    if isinstance(outcome, store.Unavailable):
        return Refusal(
            RefusalReason.STORE_UNAVAILABLE, outcome.cause, _RETRY_AFTER_S
        )
    return name


async def list_versions(
    configuration: configurations.Configuration,
    store_client: store.StoreClient,
    customer: str,
    limit: int,
) -> list[TemplateVersion]:
    """Return a template's versions, starting with the one in force.

    Raises:
        StoreUnavailableError: The key-value service gave no answer.
    """
    versioned = configuration.catalog.templates.get(customer)
    name = versioned.version if versioned is not None else ""
    versions: list[TemplateVersion] = []
    while name and len(versions) < limit:
        record = await store_client.read(configuration.history_prefix + name)
        if record is None:
            break
        versions.append(parse_version(record.value))
        name = versions[-1].previous
    return versions


def _build_unavailable_refusal(outcome: store.Unavailable) -> Refusal:
    if outcome.maybe_written:
        detail = f"{outcome.cause}; read the template to see if it changed"
        return Refusal(RefusalReason.COMMIT_UNKNOWN, detail, _RETRY_AFTER_S)
    return Refusal(
        RefusalReason.STORE_UNAVAILABLE, outcome.cause, _RETRY_AFTER_S
    )


def _build_conflict_refusal(
    catalog: Catalog, template: Template, expected_revision: int
) -> Refusal:
    """Refuse an edit and name the fields that differ from the current ones."""
    current_revision = catalog.find_revision(template.customer)
    current_template = catalog.find_template(template.customer)
    changed_paths = [
        difference.path
        for difference in compare_templates(current_template, template)
    ]
    detail = (
        f"the template is at revision {current_revision}, not "
        f"{expected_revision}; it differs from yours in: "
        f"{', '.join(changed_paths) or 'nothing'}"
    )
    return Refusal(RefusalReason.REVISION_CONFLICT, detail)
