"""Edits of the catalog by compare-and-swap on the whole document."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from crocusrouter import store
from crocusrouter.controllers import configuration as configurations
from crocusrouter.outcomes import Refusal
from crocusrouter.outcomes import RefusalReason
from crocusrouter.templates import Catalog
from crocusrouter.templates import dump_catalog
from crocusrouter.templates import parse_catalog

_MAX_ATTEMPTS = 5
_RETRY_AFTER_S = 1.0

# Returns the changed catalog, or why the change is refused.
ChangeCatalog = Callable[[Catalog], Awaitable[Catalog | Refusal]]


@dataclasses.dataclass(frozen=True)
class AppliedEdit:
    """An edit that the key-value service has stored.

    Attributes:
        revision: Catalog revision that contains the edit.
        catalog: The catalog after the edit.
    """

    revision: int
    catalog: Catalog


async def edit_catalog(
    configuration: configurations.Configuration,
    store_client: store.StoreClient,
    change: ChangeCatalog,
) -> AppliedEdit | Refusal:
    """Change the catalog that is stored, and put it in force here.

    The catalog is read again from the key-value service, so that an entry
    whose watch lags behind can't overwrite changes that it has not seen. If
    another edit was stored in the meantime, the change is made again on the
    new catalog. One that changes nothing is not written.

    Args:
        configuration: Gives the keys and the catalog in force.
        store_client: Client of the key-value service.
        change: The change; it may be called several times.
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
        new_catalog = await change(catalog)
        if isinstance(new_catalog, Refusal):
            return new_catalog
        if new_catalog is catalog:
            return AppliedEdit(catalog.revision, catalog)
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


def _build_unavailable_refusal(outcome: store.Unavailable) -> Refusal:
    if outcome.maybe_written:
        detail = f"{outcome.cause}; read it again to see if it changed"
        return Refusal(RefusalReason.COMMIT_UNKNOWN, detail, _RETRY_AFTER_S)
    return Refusal(
        RefusalReason.STORE_UNAVAILABLE, outcome.cause, _RETRY_AFTER_S
    )
