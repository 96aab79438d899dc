"""The VMs in the platform's VM list."""

import dataclasses
import enum

import pydantic


class Role(enum.StrEnum):
    """What a VM is used for."""

    ENTRY = "entry"
    WORKER = "worker"
    RUNNER = "runner"


class VmState(enum.StrEnum):
    """Whether a VM is about to be removed."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Vm:
    """One VM of the list.

    Attributes:
        name: Unique name; a replacement gets a new one.
        role: What it is used for.
        address: "host:port" of its service.
        data_centre: The data centre in which it runs.
        state: Whether it is about to be removed.
        rack: Its rack, for workers.
        accelerators: Number of its accelerators, for workers.
        service: The service that it runs, for runners.
        slots: Number of requests that it runs at once, for runners.
    """

    name: str
    role: Role
    address: str
    data_centre: str
    state: VmState = VmState.LIVE
    rack: str = ""
    accelerators: int = 0
    service: str = ""
    slots: int = 0


@dataclasses.dataclass(frozen=True)
class Fleet:
    """The VM list at one moment.

    Attributes:
        vms: VMs by name.
        read_at: When the list was read, in seconds on the process's own
            clock; None if it has never been read.
    """

    vms: dict[str, Vm] = dataclasses.field(default_factory=dict)
    read_at: float | None = None


_VM_LIST_ADAPTER = pydantic.TypeAdapter(dict[str, list[Vm]])


def parse_vms(data: bytes) -> list[Vm]:
    """Return the VMs in a JSON document of the VM list service.

    >>> parse_vms(b'{"vms": []}')
    []

    Raises:
        ValueError: The document isn't a VM list.
    """
    return _VM_LIST_ADAPTER.validate_json(data)["vms"]


def select_vms(
    fleet: Fleet, role: Role, data_centre: str | None = None
) -> list[Vm]:
    """Return the VMs of a role, ordered by name, including leaving ones."""
    return sorted(
        (
            vm
            for vm in fleet.vms.values()
            if vm.role is role and data_centre in (None, vm.data_centre)
        ),
        key=lambda vm: vm.name,
    )


def list_data_centres(fleet: Fleet) -> tuple[str, ...]:
    """Return the data centres that have workers, ordered by name."""
    workers = select_vms(fleet, Role.WORKER)
    return tuple(sorted({vm.data_centre for vm in workers}))
