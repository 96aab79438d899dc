"""Soak tests of real entry processes under injected faults.

Each entry runs as a process of its own, as on the users' platform. The
emulated store and workers serve the platform's HTTP interface through proxies
that delay, drop and reset traffic. Signals pause, stop and kill entries. Only
what callers and workers observe is judged.
"""

from standins.soak.cancels import CancelLoad
from standins.soak.run import CHECKED
from standins.soak.run import Fault
from standins.soak.run import Result
from standins.soak.run import Shape
from standins.soak.run import soak

__all__ = ["CHECKED", "CancelLoad", "Fault", "Result", "Shape", "soak"]
