"""Soak of real entry processes: faults from outside, promises checked.

Entries run as processes of their own, as on the users' platform. The
emulated store and workers speak the platform's HTTP interface to them,
through proxies that delay, silence and reset; signals pause, stop and kill.
Only what callers and workers see is judged.
"""

from standins.soak.run import CHECKED
from standins.soak.run import Fault
from standins.soak.run import Result
from standins.soak.run import Shape
from standins.soak.run import soak

__all__ = ["CHECKED", "Fault", "Result", "Shape", "soak"]
