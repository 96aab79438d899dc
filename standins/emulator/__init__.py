"""The users' platform in memory, on a clock that tests control.

Store, workers, peers and callers behave as the platform's pages say, with
faults put in; the entries are the product's own. An oracle checks the rules
from what workers and callers see.
"""

from standins.emulator.cluster import Cluster
from standins.emulator.faults import Fault
from standins.emulator.faults import choose_faults
from standins.emulator.faults import play
from standins.emulator.load import Load
from standins.emulator.store import StoreFault

__all__ = ["Cluster", "Fault", "Load", "StoreFault", "choose_faults", "play"]
