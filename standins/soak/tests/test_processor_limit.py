"""Tests for the limit of processor time, with a real process that is busy."""

import subprocess
import sys
import time

import pytest
import trio

from standins.soak import processor_limit

_SPIN = "while True: pass"
_MEASURED_S = 1.5


class _OneProcess:
    """One busy process, as `demo.processes.Processes` offers it."""

    def __init__(self, child):
        self._child = child

    def pid(self, name):
        return self._child.pid

    def is_running(self, name):
        return self._child.poll() is None

    def signal(self, name, number):
        self._child.send_signal(number)


# Guards against a limit that does nothing, or that stops a process for good.
@pytest.mark.parametrize(("share", "least", "most"), [(0.3, 0.1, 0.5)])
async def test_busy_process_gets_its_share(share, least, most):
    with subprocess.Popen([sys.executable, "-c", _SPIN]) as child:
        try:
            limit = processor_limit.ProcessorLimit(
                _OneProcess(child), share, lambda name: False
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(limit.run, ["e0"])
                await trio.sleep(0.5)
                used_before_s = limit._read_used_s("e0")
                began_at = time.monotonic()
                await trio.sleep(_MEASURED_S)
                used_s = limit._read_used_s("e0") - used_before_s
                elapsed_s = time.monotonic() - began_at
                nursery.cancel_scope.cancel()
        finally:
            child.kill()
    assert least < used_s / elapsed_s < most
