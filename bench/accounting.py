"""Processor time, memory and bytes, from the operating system's accounts."""

import dataclasses
import os
import pathlib
import time

_TICKS = os.sysconf("SC_CLK_TCK")
_PROC = pathlib.Path("/proc")
_UTIME_FIELD = 11  # after the command's closing parenthesis
_KILO = 1024


@dataclasses.dataclass(frozen=True)
class Reading:
    """A process's accounts at one moment.

    Attributes:
        at: Monotonic seconds.
        cpu_s: Processor seconds used.
        loopback_bytes: Bytes that crossed the loopback interface, headers
            included, all processes together.
        loopback_packets: Packets, likewise.
    """

    at: float
    cpu_s: float
    loopback_bytes: int
    loopback_packets: int


@dataclasses.dataclass(frozen=True)
class Usage:
    """What one process used between two readings.

    Attributes:
        cpu_percent: Percent of one core.
        bytes_per_s: Loopback bytes a second.
        packets_per_s: Loopback packets a second.
    """

    cpu_percent: float
    bytes_per_s: float
    packets_per_s: float


def read_accounts(pid: int) -> Reading:
    """Read a process's processor time and the loopback's bytes."""
    size, packets = _read_loopback()
    return Reading(time.monotonic(), _read_cpu(pid), size, packets)


def compare(before: Reading, after: Reading) -> Usage:
    """Return the usage between two readings."""
    took_s = after.at - before.at
    return Usage(
        100 * (after.cpu_s - before.cpu_s) / took_s,
        (after.loopback_bytes - before.loopback_bytes) / took_s,
        (after.loopback_packets - before.loopback_packets) / took_s,
    )


def read_memory(pid: int) -> float:
    """Return the resident memory of a process in MB (2**20 bytes)."""
    for line in (_PROC / str(pid) / "status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / _KILO
    raise ValueError(f"process {pid} has no resident memory")


def _read_cpu(pid: int) -> float:
    text = (_PROC / str(pid) / "stat").read_text()
    fields = text.rpartition(")")[2].split()
    user, system = fields[_UTIME_FIELD], fields[_UTIME_FIELD + 1]
    return (int(user) + int(system)) / _TICKS


def _read_loopback() -> tuple[int, int]:
    for line in (_PROC / "net" / "dev").read_text().splitlines():
        name, _, counters = line.partition(":")
        if name.strip() == "lo":
            fields = counters.split()
            return int(fields[0]), int(fields[1])
    raise ValueError("there is no loopback interface")
