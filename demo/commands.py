"""Runs the real command line."""

import dataclasses
import json
import subprocess
import sys
from typing import Any


@dataclasses.dataclass(frozen=True)
class Finished:
    """A command that ended."""

    code: int
    document: Any
    message: str


def run_command(entry: str, key: str, *arguments: str) -> Finished:
    """Run `crocusrouter arguments --json` against an entry."""
    done = subprocess.run(
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
    document = json.loads(done.stdout) if done.stdout.strip() else None
    return Finished(done.returncode, document, done.stderr.strip())
