"""Closures of data centres to new work, as operators request them."""

from crocusrouter import fleet
from crocusrouter import store
from crocusrouter.controllers import catalog_edits
from crocusrouter.controllers import configuration as configurations
from crocusrouter.outcomes import Refusal
from crocusrouter.outcomes import RefusalReason
from crocusrouter.templates import Catalog
from crocusrouter.templates import close_data_centre
from crocusrouter.templates import open_data_centre


async def apply_closure(
    configuration: configurations.Configuration,
    store_client: store.StoreClient,
    data_centre: str,
    current_fleet: fleet.Fleet,
    now: float,
    *,
    is_forced: bool,
) -> catalog_edits.AppliedEdit | Refusal:
    """Close a data centre to new work; what runs there goes on.

    Args:
        configuration: Gives the keys and the catalog in force.
        store_client: Client of the key-value service.
        data_centre: The data centre.
        current_fleet: The fleet as known.
        now: Unix time of the closure.
        is_forced: Whether to close the last open data centre too.
    """
    data_centres = fleet.list_data_centres(current_fleet)

    async def change(catalog: Catalog) -> Catalog | Refusal:
        if data_centre not in data_centres:
            return _build_unknown_refusal(data_centre, data_centres)
        changed = close_data_centre(catalog, data_centre, now)
        has_open = not all(map(changed.is_closed, data_centres))
        if changed is not catalog and not has_open and not is_forced:
            return Refusal(
                RefusalReason.NO_ROOM_LEFT, f"{data_centre} is the last one"
            )
        return changed

    return await catalog_edits.edit_catalog(configuration, store_client, change)


async def remove_closure(
    configuration: configurations.Configuration,
    store_client: store.StoreClient,
    data_centre: str,
    current_fleet: fleet.Fleet,
) -> catalog_edits.AppliedEdit | Refusal:
    """Open a data centre again; one that is open stays so.

    A closed data centre whose workers are all gone can be opened too.

    Args:
        configuration: Gives the keys and the catalog in force.
        store_client: Client of the key-value service.
        data_centre: The data centre.
        current_fleet: The fleet as known.
    """
    data_centres = fleet.list_data_centres(current_fleet)

    async def change(catalog: Catalog) -> Catalog | Refusal:
        if not catalog.is_closed(data_centre) and (
            data_centre not in data_centres
        ):
            return _build_unknown_refusal(data_centre, data_centres)
        return open_data_centre(catalog, data_centre)

    return await catalog_edits.edit_catalog(configuration, store_client, change)


def list_guaranteed_customers(catalog: Catalog, data_centre: str) -> list[str]:
    """Return the customers with a guarantee in a data centre."""
    return sorted(
        customer
        for customer, versioned in catalog.templates.items()
        if any(
            cell.data_centre == data_centre
            for cell in versioned.template.guarantee
        )
    )


def _build_unknown_refusal(
    data_centre: str, data_centres: tuple[str, ...]
) -> Refusal:
    known = ", ".join(data_centres) or "none"
    return Refusal(
        RefusalReason.UNKNOWN_DATA_CENTRE,
        f"{data_centre!r}; there are: {known}",
    )
