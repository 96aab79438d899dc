"""Runs the benchmarks: python -m bench [--only name]."""

from collections.abc import Callable
from typing import Annotated

import orjson
import typer

from bench import deciding
from bench import figures
from bench import overload
from bench import passing
from bench import policy
from bench import polling
from bench import recovery
from bench import registration
from bench import steady
from bench import steps

Measure = Callable[[], list[figures.Figure]]

SUBJECTS: dict[str, Measure] = {
    "decisions": deciding.measure_decisions,
    "journal": deciding.measure_journal,
    "catalog": deciding.measure_catalog,
    "vm_list": steady.measure_vm_list,
    "owned": steady.measure_owned,
    "mesh": steady.measure_mesh,
    "worker_link": steady.measure_worker_link,
    "http_poll": polling.measure_polling,
    "passing": passing.measure_passing,
    "overload": overload.measure_overload,
    "slow_runner": overload.measure_slow_runner,
    "policy": policy.measure_policy,
    "registration": registration.measure_registration,
    "steps": steps.measure_steps,
    "steps_large": steps.measure_large_decisions,
    "edits": recovery.measure_edits,
    "takeovers": recovery.measure_takeovers,
    "recovery": recovery.measure_recovery,
    "urgent": recovery.measure_urgent,
}


def run(
    only: Annotated[
        str, typer.Option(help=f"One of: {', '.join(SUBJECTS)}.")
    ] = "",
) -> None:
    """Measure, print one JSON line per figure and store the results."""
    if only and only not in SUBJECTS:
        raise typer.BadParameter(f"use one of: {', '.join(SUBJECTS)}")
    for subject, measure in SUBJECTS.items():
        if only in ("", subject):
            measured = measure()
            figures.write_figures(subject, measured)
            for figure in measured:
                print(orjson.dumps(figure).decode(), flush=True)


if __name__ == "__main__":
    typer.run(run)
