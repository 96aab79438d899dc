"""Plays soaks by hand: python -m standins.soak --seeds 50."""

import pathlib
import tempfile
from typing import Annotated

import trio
import typer

from standins import soak


def run(
    seeds: Annotated[int, typer.Option(help="How many seeds.")] = 10,
    first: Annotated[int, typer.Option(help="The first seed.")] = 0,
    entries: Annotated[int, typer.Option(help="Entry processes.")] = 4,
    faults: Annotated[int, typer.Option(help="Faults a soak.")] = 5,
    length_s: Annotated[float, typer.Option(help="Seconds of load.")] = 15.0,
    kinds: Annotated[
        list[soak.Fault] | None, typer.Option("--kind", help="Only these.")
    ] = None,
) -> None:
    """Play seeds one after another; print what broke and keep its logs."""
    shape = soak.Shape(
        entries=entries,
        faults=faults,
        length_s=length_s,
        kinds=tuple(kinds or soak.Fault),
    )
    failed = []
    for seed in range(first, first + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = trio.run(soak.soak, seed, shape, folder)
        seen = result.changes
        counts = f"{result.accepted} jobs, {result.crashes} crashes"
        counts += f", {seen.judged} calls on changes"
        counts += f" (latest {seen.max_delay_s:.2f} s, excused"
        counts += f" {dict(seen.excused)}, not ready {seen.unready})"
        cut = result.cuts
        counts += (
            f", {cut.judged} cut beside planned work ({cut.excused} excused)"
        )
        print(f"seed {seed}: {result.verdict}, {counts}, {folder}")
        print(f"  no case of: {', '.join(result.list_idle_checks()) or '-'}")
        print("  " + "; ".join(result.faults), flush=True)
        for line in result.broken:
            print(f"  {line}", flush=True)
        if result.verdict != "kept":
            failed.append(seed)
    print(f"{seeds - len(failed)} of {seeds} seeds kept all promises: {failed}")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(run)
