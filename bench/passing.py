"""Compares the throughput of an entry with that of a minimal HTTP proxy."""

import functools
import sys

import httpcore
import hypercorn.trio
import trio

from bench import accounting
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


async def _serve_proxy(port: int, target: str) -> None:
    """Serve a minimal proxy that forwards each request to `target`."""
    pool = httpcore.AsyncConnectionPool(max_connections=64)

    async def app(scope, receive, send):  # type: ignore[no-untyped-def]
        # hypercorn reads a failed assertion as: lifespan events unsupported.
        assert scope["type"] == "http"
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


async def _measure_answers_per_cpu_s(
    url: str, headers: list[tuple[str, str]], pid: int
) -> float:
    """Return the answers per second of processor time of a process.

    The callers are the bottleneck: entry and proxy reach the same number of
    answers per second of real time, so that rate would show no difference.
    """
    done = 0
    async with httpcore.AsyncConnectionPool(max_connections=_CALLERS) as pool:

        async def call() -> None:
            nonlocal done
            while True:
                response = await pool.request(
                    "POST", url, headers=headers, content=_BODY
                )
                done += response.status == 200

        before = accounting.read_accounts(pid)
        with trio.move_on_after(_WINDOW_S):
            async with trio.open_nursery() as nursery:
                for _ in range(_CALLERS):
                    nursery.start_soon(call)
        after = accounting.read_accounts(pid)
        return done / (after.cpu_s - before.cpu_s)


def measure_passing() -> list[figures.Figure]:
    """Measure the entry and the proxy alternately in one run.

    Both forward all requests to the same single runner.
    """
    shape = cluster.Shape(entries=1, racks=0, runners=1, slots=64, settings=())
    document = templates.build_templates()["fbusw-matching"]
    document["guarantee"] = []
    key = templates.find_key("fbusw-matching")
    headers = [
        ("Authorization", f"Bearer {key}"),
        ("Content-Type", "application/json"),
    ]
    with clusters.run_cluster(shape) as demo_cluster:
        demo_cluster.put_template(document, "e1")
        [port] = ports.reserve_ports(1)
        target = f"http://127.0.0.1:{next(iter(demo_cluster.runners.values()))}"
        demo_cluster.processes.start("bare", "bench.passing", str(port), target)
        processes.wait_for_port(port)
        entry_rates, proxy_rates = [], []
        for _ in range(_TURNS):
            url = f"{demo_cluster.url('e1')}/v1/requests/match"
            pid = demo_cluster.processes.pid("e1")
            entry_rates.append(
                trio.run(_measure_answers_per_cpu_s, url, headers, pid)
            )
            url = f"http://127.0.0.1:{port}/run/match"
            pid = demo_cluster.processes.pid("bare")
            proxy_rates.append(
                trio.run(_measure_answers_per_cpu_s, url, headers, pid)
            )
    ratios = [
        entry_rate / proxy_rate
        for entry_rate, proxy_rate in zip(entry_rates, proxy_rates, strict=True)
    ]
    size = f"{_CALLERS} callers, {_TURNS} turns of {_WINDOW_S:.0f} s"
    return [
        figures.summarize("passthrough_ratio", ratios, "ratio", size),
        figures.summarize("entry_answers_per_cpu_s", entry_rates, "1/s", size),
        figures.summarize("bare_answers_per_cpu_s", proxy_rates, "1/s", size),
    ]


if __name__ == "__main__":
    trio.run(functools.partial(_serve_proxy, int(sys.argv[1]), sys.argv[2]))
