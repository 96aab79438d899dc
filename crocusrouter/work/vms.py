"""VMs of the workers, and the waves of upkeep that operators request."""

import dataclasses
import enum
from typing import Protocol

from crocusrouter.work import worker_port


class VmState(enum.StrEnum):
    """State of a VM as the platform reports it."""

    UP = "up"
    MOVING = "moving"  # to another pool
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclasses.dataclass(frozen=True)
class Vm:
    """A VM as the platform lists it.

    Attributes:
        name: Stays the same over all incarnations of its worker.
        pool: The service whose worker runs on it.
        state: Present state.
        worker: Present incarnation of the worker; empty if there is none. The
            platform itself uses the worker id that its incarnations share.
    """

    name: str
    pool: str
    state: VmState
    worker: str


@dataclasses.dataclass(frozen=True)
class Wave:
    """A request of operators for the upkeep of some VMs.

    Attributes:
        number: Identifies the wave.
        vms: Names of the VMs.
        within_s: Seconds within which all VMs should have had their upkeep.
        most_at_once: Maximum number of VMs that are down for it at a time.
    """

    number: int
    vms: frozenset[str]
    within_s: float
    most_at_once: int


class Upkeep(enum.StrEnum):
    """The platform's answer to an order for upkeep."""

    DONE = "done"  # the VM is down for upkeep, or has had it
    FENCED = "fenced"  # the platform knows a later holder
    BUSY = "busy"  # the VM is not up, or is about to leave
    FOREIGN = "foreign"  # no such VM, or not part of the wave


class VmPort(Protocol):
    """The platform's control of VMs."""

    async def list_vms(self) -> tuple[Vm, ...] | worker_port.NoAnswer:
        """Return all VMs."""
        ...

    async def begin_upkeep(
        self, holder: str, epoch: int, vm: str, wave: int
    ) -> Upkeep | worker_port.NoAnswer:
        """Take a VM down for its upkeep; everything that runs there ends.

        Args:
            holder: Who gives the order.
            epoch: Epoch of the holder; fences earlier holders.
            vm: Name of the VM.
            wave: Number of the wave.
        """
        ...

    async def aclose(self) -> None:
        """Close all connections."""
        ...
