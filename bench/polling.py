"""Baseline for the worker link: polling each worker over HTTP/1.1 with JSON.

The poller renews leases and reads reports over one keep-alive connection per
worker, as often as the websocket link renews.
"""

import functools
import sys

import httpcore
import orjson
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from bench import accounting
from bench import figures
from standins import ports
from standins import serving

_WORKER_COUNTS = (70, 140, 280)
_INTERVAL_S = 2.0
_WINDOW_S = 6.0
_REPETITIONS = 3


async def _answer_renewal(request: requests.Request) -> responses.Response:
    await request.body()
    return responses.JSONResponse({"renewed": True, "tasks": []})


async def _poll_worker(pool: httpcore.AsyncConnectionPool, port: int) -> None:
    body = orjson.dumps({"epoch": 1, "renew": True})
    headers = [("Content-Type", "application/json")]
    while True:
        await pool.request(
            "POST",
            f"http://127.0.0.1:{port}/v1/renew",
            headers=headers,
            content=body,
        )
        await trio.sleep(_INTERVAL_S)


async def poll_all(worker_ports: list[int]) -> None:
    """Poll one worker on each port until cancelled."""
    async with (
        httpcore.AsyncConnectionPool(max_connections=None) as pool,
        trio.open_nursery() as nursery,
    ):
        for port in worker_ports:
            nursery.start_soon(_poll_worker, pool, port)


async def serve_all(worker_ports: list[int]) -> None:
    """Serve one worker on each port until cancelled."""
    route = routing.Route("/v1/renew", _answer_renewal, methods=["POST"])
    app = applications.Starlette(routes=[route])
    async with trio.open_nursery() as nursery:
        for port in worker_ports:
            nursery.start_soon(serving.serve, app, port)


async def _measure(count: int) -> list[accounting.Usage]:
    worker_ports = ports.reserve_ports(count)
    ports_argument = ",".join(map(str, worker_ports))
    usages = []
    async with trio.open_nursery() as nursery:
        command = [sys.executable, "-m", "bench.polling"]
        start = functools.partial(trio.run_process, check=False)
        await nursery.start(start, [*command, "serve", ports_argument])
        await trio.sleep(4.0)
        poller: trio.Process = await nursery.start(
            start, [*command, "poll", ports_argument]
        )
        await trio.sleep(4.0)
        for _ in range(_REPETITIONS):
            before = accounting.read_accounts(poller.pid)
            await trio.sleep(_WINDOW_S)
            after = accounting.read_accounts(poller.pid)
            usages.append(accounting.compare(before, after))
        nursery.cancel_scope.cancel()
    return usages


def measure_polling() -> list[figures.Figure]:
    """Measure the poller with three numbers of workers."""
    measured = []
    for count in _WORKER_COUNTS:
        usages = trio.run(_measure, count)
        size = f"{count} workers, every 2 s"
        measured += [
            figures.summarize(
                "http_poll_cpu_percent",
                [usage.cpu_percent for usage in usages],
                "% of a core",
                size,
            ),
            figures.summarize(
                "http_poll_bytes_per_s",
                [usage.bytes_per_s for usage in usages],
                "B/s",
                size,
            ),
        ]
    return measured


if __name__ == "__main__":
    run = {"serve": serve_all, "poll": poll_all}[sys.argv[1]]
    trio.run(run, list(map(int, sys.argv[2].split(","))))
