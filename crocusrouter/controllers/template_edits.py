"""Changes of customers' templates by operators: checks, writes, history."""

from crocusrouter import fleet
from crocusrouter import jobs
from crocusrouter import store
from crocusrouter.controllers import catalog_edits
from crocusrouter.controllers import configuration as configurations
from crocusrouter.outcomes import Refusal
from crocusrouter.outcomes import RefusalReason
from crocusrouter.templates import Catalog
from crocusrouter.templates import Template
from crocusrouter.templates import TemplateVersion
from crocusrouter.templates import build_version_name
from crocusrouter.templates import compare_templates
from crocusrouter.templates import dump_version
from crocusrouter.templates import parse_version
from crocusrouter.templates import replace_template

_RETRY_AFTER_S = 1.0


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
) -> catalog_edits.AppliedEdit | Refusal:
    """Write a template into the catalog.

    If another edit was stored in the meantime, this edit is checked again
    against the new catalog. A change of another customer's template is no
    conflict.

    Args:
        configuration: Gives the keys and the catalog in force.
        store_client: Client of the key-value service.
        template: The new template.
        expected_revision: As in `check_edit`.
        current_fleet: As in `check_edit`.
        now: Unix time of the edit.
    """

    async def change(catalog: Catalog) -> Catalog | Refusal:
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
        return replace_template(catalog, template, version_name)

    return await catalog_edits.edit_catalog(configuration, store_client, change)


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
