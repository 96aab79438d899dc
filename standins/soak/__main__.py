"""Runs soaks from the command line: python -m standins.soak --seeds 50."""

import pathlib
import tempfile
from typing import Annotated

import trio
import typer

from standins import soak


def run(
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 10,
    first: Annotated[int, typer.Option(help="The first seed.")] = 0,
    entries: Annotated[
        int, typer.Option(help="Number of entry processes.")
    ] = 4,
    faults: Annotated[int, typer.Option(help="Number of faults per soak.")] = 5,
    length_s: Annotated[
        float, typer.Option(help="Seconds of load and faults.")
    ] = 15.0,
    kinds: Annotated[
        list[soak.Fault] | None,
        typer.Option(
            "--kind", help="Inject only this kind of fault; repeatable."
        ),
    ] = None,
) -> None:
    """Run one soak per seed; print violations and keep the logs."""
    shape = soak.Shape(
        entry_count=entries,
        fault_count=faults,
        length_s=length_s,
        fault_kinds=tuple(kinds or soak.Fault),
    )
    failed_seeds = []
    for seed in range(first, first + seeds):
        log_folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = trio.run(soak.soak, seed, shape, log_folder)
        config_oracle = result.config_oracle
        summary = f"{result.accepted} jobs, {result.crashes} crashes"
        summary += f", {config_oracle.judged} configuration calls judged"
        summary += f" (longest delay {config_oracle.max_delay_s:.2f} s, excused"
        summary += (
            f" {dict(config_oracle.excused)}, not ready"
            f" {config_oracle.unready})"
        )
        cut_checker = result.cut_checker
        summary += (
            f", {cut_checker.judged} requests cut during planned stops"
            f" ({cut_checker.excused} excused)"
        )
        print(f"seed {seed}: {result.verdict}, {summary}, {log_folder}")
        print(f"  no case of: {', '.join(result.list_idle_checks()) or '-'}")
        print("  " + "; ".join(result.faults), flush=True)
        for line in result.broken:
            print(f"  {line}", flush=True)
        if result.verdict != "kept":
            failed_seeds.append(seed)
    print(
        f"{seeds - len(failed_seeds)} of {seeds} seeds broke no rule; "
        f"failed seeds: {failed_seeds}"
    )
    raise typer.Exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    typer.run(run)
