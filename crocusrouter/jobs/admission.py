"""Whether a set of guarantees embeds in the fleet."""

from collections.abc import Iterator
import dataclasses

from crocusrouter.fleet import model as fleet_model
from crocusrouter.jobs import cells
from crocusrouter.jobs import claims
from crocusrouter.templates import Catalog
from crocusrouter.templates import Level
from crocusrouter.templates import Loss


@dataclasses.dataclass(frozen=True)
class Misfit:
    """A guarantee that finds no place.

    Attributes:
        data_centre: Where it should be.
        need: The cell that fails.
        loss: What was taken as lost; empty for nothing.
    """

    data_centre: str
    need: cells.Need
    loss: str = ""

    def __str__(self) -> str:
        """Describe the cell that fails.

        >>> need = cells.Need("a", Level.RACK, 16)
        >>> str(Misfit("liege", need, "rack r1"))
        "a's cell of 16 in one rack of liege, after the loss of rack r1"
        """
        after = f", after the loss of {self.loss}" if self.loss else ""
        return (
            f"{self.need.customer}'s cell of {self.need.accelerators} in one "
            f"{self.need.level} of {self.data_centre}{after}"
        )


def build_floor(
    fleet: fleet_model.Fleet, data_centre: str
) -> dict[str, cells.Space]:
    """Return the floor of a data centre with every accelerator free."""
    return {
        vm.name: cells.Space(vm.name, vm.rack, (1 << vm.accelerators) - 1)
        for vm in fleet_model.select_vms(
            fleet, fleet_model.Role.WORKER, data_centre
        )
        if vm.state is fleet_model.VmState.LIVE
    }


def check_guarantees(
    catalog: Catalog, fleet: fleet_model.Fleet
) -> Misfit | None:
    """Return the first guarantee that doesn't embed, or None if all do.

    Guarantees that must survive a loss are also checked with each worker, or
    each rack, taken away in turn.

    Args:
        catalog: Every template, the edited one included.
        fleet: The fleet as known.
    """
    for data_centre in _list_data_centres(catalog):
        floor = build_floor(fleet, data_centre)
        needs = claims.list_needs(catalog, data_centre)
        for loss, lost, survivors in _list_losses(catalog, floor):
            owed = [need for need in needs if need.customer in survivors]
            kept = {n: s for n, s in floor.items() if n not in lost}
            found = cells.embed(owed, kept)
            if isinstance(found, cells.Unfit):
                return Misfit(data_centre, found.need, loss)
    return None


def _list_data_centres(catalog: Catalog) -> list[str]:
    return sorted(
        {
            cell.data_centre
            for held in catalog.templates.values()
            for cell in held.template.guarantee
        }
    )


def _list_losses(
    catalog: Catalog, floor: cells.Floor
) -> Iterator[tuple[str, set[str], set[str]]]:
    """Yield (what is lost, its workers, customers whose guarantee holds)."""
    chosen = {
        customer: held.template.survive
        for customer, held in catalog.templates.items()
    }
    yield "", set(), set(chosen)
    hold_rack = {c for c, loss in chosen.items() if loss is Loss.RACK}
    hold_worker = {c for c, loss in chosen.items() if loss is not Loss.NONE}
    if hold_worker:
        for name in floor:
            yield f"worker {name}", {name}, hold_worker
    if hold_rack:
        for unit in cells.group_spaces(floor, Level.RACK):
            lost = {space.worker for space in unit}
            yield f"rack {unit[0].rack}", lost, hold_rack
