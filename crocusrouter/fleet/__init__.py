"""The VM list, and the protocol between a data centre's owner and workers."""

from crocusrouter.fleet.model import Fleet
from crocusrouter.fleet.model import Role
from crocusrouter.fleet.model import Vm
from crocusrouter.fleet.model import VmState
from crocusrouter.fleet.model import list_data_centres
from crocusrouter.fleet.model import parse_vms
from crocusrouter.fleet.model import select_vms

__all__ = [
    "Fleet",
    "Role",
    "Vm",
    "VmState",
    "list_data_centres",
    "parse_vms",
    "select_vms",
]
