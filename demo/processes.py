"""Starts and stops child processes, with their output in files."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from typing import Any

_START_LIMIT_S = 15.0
_STOP_LIMIT_S = 15.0
_POLL_S = 0.05


def wait_for_port(port: int) -> None:
    """Wait until something listens on a loopback port.

    Raises:
        TimeoutError: Nothing listens within 15 seconds.
    """
    deadline = time.monotonic() + _START_LIMIT_S
    while time.monotonic() < deadline:
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) == 0:
                return
        time.sleep(_POLL_S)
    raise TimeoutError(f"nothing listens on port {port}")


class Processes:
    """Named child processes; `stop_all` ends all of them."""

    def __init__(self, log_folder: pathlib.Path) -> None:
        self._log_folder = log_folder
        self._children: dict[str, subprocess.Popen[bytes]] = {}
        log_folder.mkdir(parents=True, exist_ok=True)

    def start(
        self, name: str, module: str, *arguments: str, **env: str
    ) -> None:
        """Start `python -m module arguments` with its output in files."""
        out = (self._log_folder / f"{name}.out").open("wb")
        err = (self._log_folder / f"{name}.err").open("wb")
        with out, err:
            self._children[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=out,
                stderr=err,
                env=os.environ | env,
                # Ctrl-C reaches only this process, which stops the rest.
                start_new_session=True,
            )

    def read_output(self, name: str) -> str:
        """Return the standard output of a child so far."""
        return (self._log_folder / f"{name}.out").read_text()

    def read_log(self, name: str) -> list[dict[str, Any]]:
        """Return the JSON log lines that a child has written so far."""
        text = (self._log_folder / f"{name}.err").read_text()
        *lines, _ = text.split("\n")
        return [json.loads(line) for line in lines if line.startswith("{")]

    def pid(self, name: str) -> int:
        """Return a child's process id."""
        return self._children[name].pid

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a child."""
        self._children[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a child and wait for its end."""
        child = self._children[name]
        child.kill()
        child.wait()

    def is_running(self, name: str) -> bool:
        """Tell whether a child is still running."""
        return self._children[name].poll() is None

    def wait(self, name: str) -> int:
        """Wait for a child's end and return its exit code."""
        return self._children[name].wait(_STOP_LIMIT_S)

    def stop_all(self) -> None:
        """Kill all running children and wait for their end."""
        for child in self._children.values():
            if child.poll() is None:
                child.kill()
        for child in self._children.values():
            child.wait()
