"""Serves an ASGI app on a loopback port; shared by the stand-ins."""

import hypercorn
import hypercorn.trio
from starlette.types import ASGIApp
import trio


def build_config(port: int) -> hypercorn.Config:
    """Return a server configuration without logs for a loopback port."""
    config = hypercorn.Config()
    config.bind = [f"127.0.0.1:{port}"]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = 60.0
    config.keep_alive_max_requests = 1_000_000
    config.graceful_timeout = 0.5
    return config


async def serve(
    app: ASGIApp,
    port: int,
    task_status: trio.TaskStatus[object] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve `app` on a loopback port until cancelled."""
    await hypercorn.trio.serve(
        app,  # type: ignore[arg-type]
        build_config(port),
        mode="asgi",
        task_status=task_status,
    )
