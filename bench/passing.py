"""One entry's throughput against a bare pass-through, in turns."""

import functools
import sys
import time

import httpcore
import hypercorn.trio
import trio

from bench import clusters
from bench import figures
from demo import cluster
from demo import processes
from demo import templates
from standins import ports
from standins import serving

_CALLERS = 16
_WINDOW_S = 4.0
_TURNS = 3
_BODY = b'{"item": 1}'


async def _serve_bare(port: int, target: str) -> None:
    """Pass each request on and its answer back; nothing else."""
    pool = httpcore.AsyncConnectionPool(max_connections=64)

    async def app(scope, receive, send):  # type: ignore[no-untyped-def]
        if scope["type"] != "http":
            return
        event = await receive()
        response = await pool.request(
            "POST",
            target + scope["path"],
            headers=[("Content-Type", "application/json"), ("Request-Id", "1")],
            content=event["body"],
        )
        headers = [(b"content-type", b"application/json")]
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": response.content})

    await hypercorn.trio.serve(app, serving.build_config(port), mode="asgi")


async def _load(url: str, headers: list[tuple[str, str]]) -> float:
    """Return answers a second from a bounded number of callers."""
    done = 0
    async with httpcore.AsyncConnectionPool(max_connections=_CALLERS) as pool:

        async def call() -> None:
            nonlocal done
            while True:
                response = await pool.request(
                    "POST", url, headers=headers, content=_BODY
                )
                done += response.status == 200

        started_at = time.monotonic()
        with trio.move_on_after(_WINDOW_S):
            async with trio.open_nursery() as nursery:
                for _ in range(_CALLERS):
                    nursery.start_soon(call)
        return done / (time.monotonic() - started_at)


def measure_passing() -> list[figures.Figure]:
    """Measure entry and bare pass-through, taking turns in one run."""
    shape = cluster.Shape(entries=1, racks=0, runners=4, slots=64, settings=())
    document = templates.build_templates()["fbusw-matching"]
    document["guarantee"] = []
    key = templates.find_key("fbusw-matching")
    headers = [
        ("Authorization", f"Bearer {key}"),
        ("Content-Type", "application/json"),
    ]
    with clusters.run_cluster(shape) as held:
        held.put_template(document, "e1")
        [port] = ports.find_ports(1)
        target = f"http://127.0.0.1:{next(iter(held.runners.values()))}"
        held.processes.start("bare", "bench.passing", str(port), target)
        processes.wait_for_port(port)
        entry, bare = [], []
        for _ in range(_TURNS):
            url = f"{held.url('e1')}/v1/requests/match"
            entry.append(trio.run(_load, url, headers))
            url = f"http://127.0.0.1:{port}/run/match"
            bare.append(trio.run(_load, url, headers))
    ratios = [ours / theirs for ours, theirs in zip(entry, bare, strict=True)]
    size = f"{_CALLERS} callers, {_TURNS} turns of {_WINDOW_S:.0f} s"
    return [
        figures.summarize("passthrough_ratio", ratios, "ratio", size),
        figures.summarize("entry_answers_per_s", entry, "1/s", size),
        figures.summarize("bare_answers_per_s", bare, "1/s", size),
    ]


if __name__ == "__main__":
    trio.run(functools.partial(_serve_bare, int(sys.argv[1]), sys.argv[2]))
