"""Runs the crocusrouter command line as a subprocess."""

import dataclasses
import json
import subprocess
import sys
from typing import Any


@dataclasses.dataclass(frozen=True)
class Finished:
    """Result of a command.

    Attributes:
        code: Exit code.
        document: Parsed JSON output; None if there was no output.
        message: Text on standard error.
    """

    code: int
    document: Any
    message: str


def run_command(entry: str, key: str, *arguments: str) -> Finished:
    """Run `crocusrouter arguments --json` against an entry."""
    process = subprocess.run(
        [
            sys.executable,
            "-m",
            "crocusrouter",
            *arguments,
            "--entry",
            entry,
            "--key",
            key,
            "--json",
        ],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    document = json.loads(process.stdout) if process.stdout.strip() else None
    return Finished(process.returncode, document, process.stderr.strip())
