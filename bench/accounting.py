"""Reads processor time, memory and loopback traffic from /proc."""

import dataclasses
import os
import pathlib
import time

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PROC = pathlib.Path("/proc")
_UTIME_FIELD = 11  # after the command's closing parenthesis
_KB_PER_MB = 1024


@dataclasses.dataclass(frozen=True)
class Reading:
    """Counters of a process and of the loopback interface at one moment.

    Attributes:
        at: Monotonic seconds.
        cpu_s: Processor seconds used.
        loopback_bytes: Bytes received on the loopback interface, headers
            included, for all processes together.
        loopback_packets: Packets received, for all processes together.
    """

    at: float
    cpu_s: float
    loopback_bytes: int
    loopback_packets: int


@dataclasses.dataclass(frozen=True)
class Usage:
    """Usage between two readings.

    Attributes:
        cpu_percent: Percent of one core.
        bytes_per_s: Loopback bytes per second.
        packets_per_s: Loopback packets per second.
    """

    cpu_percent: float
    bytes_per_s: float
    packets_per_s: float


def read_accounts(pid: int) -> Reading:
    """Read a process's processor time and the loopback counters."""
    size, packets = _read_loopback()
    return Reading(time.monotonic(), _read_cpu(pid), size, packets)


def compare(before: Reading, after: Reading) -> Usage:
    """Return the usage between two readings."""
    elapsed_s = after.at - before.at
    return Usage(
        100 * (after.cpu_s - before.cpu_s) / elapsed_s,
        (after.loopback_bytes - before.loopback_bytes) / elapsed_s,
        (after.loopback_packets - before.loopback_packets) / elapsed_s,
    )


def read_memory(pid: int) -> float:
    """Return the resident memory of a process in MB (2**20 bytes)."""
    for line in (_PROC / str(pid) / "status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / _KB_PER_MB
    raise ValueError(f"process {pid} has no resident memory")


def _read_cpu(pid: int) -> float:
    text = (_PROC / str(pid) / "stat").read_text()
    fields = text.rpartition(")")[2].split()
    user, system = fields[_UTIME_FIELD], fields[_UTIME_FIELD + 1]
    return (int(user) + int(system)) / _TICKS_PER_S


def _read_loopback() -> tuple[int, int]:
    for line in (_PROC / "net" / "dev").read_text().splitlines():
        name, _, counters = line.partition(":")
        if name.strip() == "lo":
            fields = counters.split()
            return int(fields[0]), int(fields[1])
    raise ValueError("there is no loopback interface")
