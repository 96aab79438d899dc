"""Runs one stand-in: python -m standins store --port 9000."""

import functools
from typing import Annotated

import trio
import typer

from standins import runner
from standins import store
from standins import vmlist
from standins import worker

app = typer.Typer(add_completion=False, no_args_is_help=True)
Port = Annotated[int, typer.Option(min=1, max=65535)]


@app.command("store")
def run_store(port: Port) -> None:
    """Run the key-value service."""
    trio.run(store.run, port)


@app.command("vms")
def run_vms(port: Port, lag_s: float = 1.0) -> None:
    """Run the VM list."""
    trio.run(functools.partial(vmlist.run, port, lag_s))


@app.command("worker")
def run_worker(name: str, port: Port, accelerators: int = 8) -> None:
    """Run one worker."""
    trio.run(functools.partial(worker.run, name, port, accelerators))


@app.command("workers")
def run_workers(ports: str, accelerators: int = 1) -> None:
    """Run many workers in one process, one per port: 9001,9002,..."""
    port_numbers = [int(text) for text in ports.split(",")]
    trio.run(functools.partial(worker.run_many, port_numbers, accelerators))


@app.command("runner")
def run_runner(name: str, port: Port, slots: int = 8) -> None:
    """Run one runner."""
    trio.run(functools.partial(runner.run, name, port, slots))


if __name__ == "__main__":
    app()
