"""Runs soaks from the command line: python -m standins.soak --seeds 50."""

import pathlib
import tempfile
from typing import Annotated

import trio
import typer

from standins import soak

# Stalls of the soak's own process that are printed.
_NOTABLE_STALL_S = 0.2


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
    workers: Annotated[int, typer.Option(help="Number of workers.")] = 6,
    jobs_per_s: Annotated[
        float, typer.Option(help="Jobs submitted per second.")
    ] = 2.0,
    series_length: Annotated[
        int, typer.Option(help="How often each fault is injected.")
    ] = 1,
    most_tasks: Annotated[int, typer.Option(help="Most tasks of a step.")] = 4,
    processor_share: Annotated[
        float,
        typer.Option(help="Share of a processor that each entry may use."),
    ] = 1.0,
    crashing: Annotated[
        int,
        typer.Option(help="One in so many jobs crashes workers; 0 for none."),
    ] = 20,
    cancel_share: Annotated[
        float,
        typer.Option(
            help="Share of jobs that are cancelled, with long tasks among "
            "them; 0 for few cancels and short tasks."
        ),
    ] = 0.4,
    log_folder: Annotated[
        pathlib.Path | None,
        typer.Option(help="Folder for the logs; a temporary one by default."),
    ] = None,
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
        worker_count=workers,
        jobs_per_s=jobs_per_s,
        fault_count=faults,
        length_s=length_s,
        jobs_per_crashing_job=crashing,
        fault_kinds=tuple(kinds or soak.Fault),
        series_length=series_length,
        most_tasks=most_tasks,
        processor_share=processor_share,
        cancel_load=(
            soak.CancelLoad(share=cancel_share) if cancel_share else None
        ),
    )
    failed_seeds = []
    for seed in range(first, first + seeds):
        seed_folder = pathlib.Path(
            tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=log_folder)
        )
        result = trio.run(soak.soak, seed, shape, seed_folder)
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
        summary += (
            f", {result.judged_cancels} cancels judged (longest run after one "
            f"{result.longest_after_cancel_s:.2f} s)"
        )
        summary += (
            f", {result.judged_standings} standing jobs judged (longest "
            f"{result.longest_standing_s:.2f} s, {result.excused_standings} "
            f"excused)"
        )
        if result.stalled_s > _NOTABLE_STALL_S:
            summary += f", stalled for {result.stalled_s:.2f} s"
        print(f"seed {seed}: {result.verdict}, {summary}, {seed_folder}")
        print(f"  no case of: {', '.join(result.list_idle_checks()) or '-'}")
        print("  " + "; ".join(result.faults), flush=True)
        for line in result.broken + result.stood:
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
