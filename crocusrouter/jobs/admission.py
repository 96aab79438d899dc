"""Admission: checks that a set of guarantees embeds in the fleet."""

from collections.abc import Iterator
import dataclasses

from crocusrouter.fleet import model as fleet_model
from crocusrouter.jobs import cells
from crocusrouter.jobs import claims
from crocusrouter.templates import Catalog
from crocusrouter.templates import Level
from crocusrouter.templates import Loss


@dataclasses.dataclass(frozen=True)
class UnsatisfiableGuarantee:
    """A guaranteed cell that can't be embedded in the fleet.

    Attributes:
        data_centre: Data centre in which the cell must be.
        demand: The cell.
        worker_count: Number of the data centre's live workers in the VM list,
            including those that the check took as lost.
        lost_part: The worker or rack that the check took as lost; empty for
            the whole fleet.
    """

    data_centre: str
    demand: cells.CellDemand
    worker_count: int
    lost_part: str = ""

    def __str__(self) -> str:
        """Describe the cell and the workers in which it was to be embedded.

        >>> demand = cells.CellDemand("a", Level.RACK, 16)
        >>> str(UnsatisfiableGuarantee("lg", demand, 1))
        "a's cell of 16 in one rack of lg; the VM list has 1 live worker there"
        """
        after = (
            f", after the loss of {self.lost_part}" if self.lost_part else ""
        )
        noun = "worker" if self.worker_count == 1 else "workers"
        return (
            f"{self.demand.customer}'s cell of {self.demand.accelerators} in"
            f" one {self.demand.level} of {self.data_centre}{after}; the VM"
            f" list has {self.worker_count} live {noun} there"
        )


def build_total_capacities(
    fleet: fleet_model.Fleet, data_centre: str
) -> dict[str, cells.WorkerCapacity]:
    """Return the capacities of live workers with all accelerators free."""
    return {
        vm.name: cells.WorkerCapacity(
            vm.name, vm.rack, (1 << vm.accelerators) - 1
        )
        for vm in fleet_model.select_vms(
            fleet, fleet_model.Role.WORKER, data_centre
        )
        if vm.state is fleet_model.VmState.LIVE
    }


def check_guarantees(
    catalog: Catalog, fleet: fleet_model.Fleet
) -> UnsatisfiableGuarantee | None:
    """Return the first guarantee that doesn't embed, or None if all do.

    Guarantees that must survive the loss of a worker or a rack are also
    checked without each worker, or each rack, in turn.

    Args:
        catalog: Every template, including the edited one.
        fleet: The fleet as known.
    """
    for data_centre in _list_data_centres(catalog):
        capacities = build_total_capacities(fleet, data_centre)
        demands = claims.list_demands(catalog, data_centre)
        for lost_part, lost_workers, customers in _iterate_losses(
            catalog, capacities
        ):
            surviving_demands = [
                demand for demand in demands if demand.customer in customers
            ]
            remaining_capacities = {
                name: capacity
                for name, capacity in capacities.items()
                if name not in lost_workers
            }
            result = cells.embed(surviving_demands, remaining_capacities)
            if isinstance(result, cells.EmbeddingFailure):
                return UnsatisfiableGuarantee(
                    data_centre, result.demand, len(capacities), lost_part
                )
    return None


def _list_data_centres(catalog: Catalog) -> list[str]:
    return sorted(
        {
            cell.data_centre
            for template_version in catalog.templates.values()
            for cell in template_version.template.guarantee
        }
    )


def _iterate_losses(
    catalog: Catalog, capacities: cells.Capacities
) -> Iterator[tuple[str, set[str], set[str]]]:
    """Yield the losses that guarantees must survive, "no loss" first.

    Yields:
        Description of the lost part, names of its workers, and the customers
        whose guarantees must survive the loss.
    """
    survived_losses = {
        customer: template_version.template.survive
        for customer, template_version in catalog.templates.items()
    }
    yield "", set(), set(survived_losses)
    rack_loss_customers = {
        customer
        for customer, loss in survived_losses.items()
        if loss is Loss.RACK
    }
    worker_loss_customers = {
        customer
        for customer, loss in survived_losses.items()
        if loss is not Loss.NONE
    }
    if worker_loss_customers:
        for name in capacities:
            yield f"worker {name}", {name}, worker_loss_customers
    if rack_loss_customers:
        for unit in cells.group_by_level(capacities, Level.RACK):
            lost_workers = {capacity.worker for capacity in unit}
            yield f"rack {unit[0].rack}", lost_workers, rack_loss_customers
