"""VMs under the workers, and the upkeep that operators ask for in waves."""

import dataclasses
import enum
from typing import Protocol

from crocusrouter.work import orders


class VmState(enum.StrEnum):
    """What the platform says of a VM."""

    UP = "up"
    MOVING = "moving"  # to another pool
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclasses.dataclass(frozen=True)
class Vm:
    """A VM as the platform lists it.

    Attributes:
        name: Stays the same over all lives of its worker.
        pool: The service whose worker runs on it.
        state: What it does.
        worker: The worker's present incarnation; empty if there is none. The
            platform itself names the id that its incarnations share.
    """

    name: str
    pool: str
    state: VmState
    worker: str


@dataclasses.dataclass(frozen=True)
class Wave:
    """Operators want each of some VMs to have its upkeep.

    Attributes:
        number: Names the wave.
        vms: Which VMs.
        within_s: Seconds in which all should have had it.
        most_at_once: How many may be down for it at the same time.
    """

    number: int
    vms: frozenset[str]
    within_s: float
    most_at_once: int


class Upkeep(enum.StrEnum):
    """What the platform answers to an order for upkeep."""

    DONE = "done"  # the VM is down for it, or has had it
    FENCED = "fenced"  # the platform knows a later holder
    BUSY = "busy"  # it is not up, or leaves
    FOREIGN = "foreign"  # not of that wave, or no such VM


class VmPort(Protocol):
    """The platform's own control of VMs."""

    async def list_vms(self) -> tuple[Vm, ...] | orders.Silent:
        """Return all VMs."""
        ...

    async def begin_upkeep(
        self, holder: str, epoch: int, vm: str, wave: int
    ) -> Upkeep | orders.Silent:
        """Take a VM down for its upkeep; all that runs there ends.

        Args:
            holder: Who orders it.
            epoch: The holder's epoch; fences earlier holders.
            vm: The VM's name.
            wave: Number of the wave.
        """
        ...

    async def aclose(self) -> None:
        """Close all connections."""
        ...
