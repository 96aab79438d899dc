"""Emulates the users' platform in memory, on a clock that tests control.

Store, workers, connections between entries, and callers behave as the
platform's pages specify, with faults injected; the entries are the product's
own code. Oracles check the platform's rules from what workers and callers
observe.
"""

from standins.emulator import closure_oracle
from standins.emulator import cluster
from standins.emulator import config_oracle
from standins.emulator import oracle
from standins.emulator import standing_oracle
from standins.emulator import vms
from standins.emulator.cluster import Cluster
from standins.emulator.faults import Fault
from standins.emulator.faults import choose_faults
from standins.emulator.faults import play
from standins.emulator.load import Load
from standins.emulator.rules import Rule
from standins.emulator.store import StoreFault

# The rules that are checked on emulated days.
CHECKED = (
    oracle.RULES
    | config_oracle.RULES
    | closure_oracle.RULES
    | standing_oracle.RULES
    | cluster.RULES
    | vms.RULES
)

__all__ = [
    "CHECKED",
    "Cluster",
    "Fault",
    "Load",
    "Rule",
    "StoreFault",
    "choose_faults",
    "play",
]
