"""HTTP server: hypercorn with counted refusals and a graceful stop."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import h11
import hypercorn
import hypercorn.protocol
import hypercorn.protocol.h11
import hypercorn.trio
import hypercorn.trio.run
import hypercorn.trio.tcp_server
import hypercorn.utils
from starlette.types import ASGIApp
import trio

from crocusrouter.http import listener_filter
from crocusrouter.outcomes import Refusal
from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import render_refusal
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log

_KEEP_ALIVE_S = 30.0
_MAX_REQUESTS_PER_CONNECTION = 100_000
_MAX_HEADER_BYTES = 16 << 10
# Time for the accept loop to empty a listener's queue before the listener is
# closed; one accept takes well under a millisecond.
_DRAIN_ACCEPT_QUEUE_S = 0.05
# Time that a caller has to send its first request after it has connected.
_FIRST_REQUEST_TIMEOUT_S = 0.3
_PROTOCOL_CLASS = "H11Protocol"
_SERVER_CLASS = "TCPServer"


def build_server_config(
    listen: str, stop_timeout_s: float, metrics: Metrics
) -> hypercorn.Config:
    """Return the server's configuration.

    Args:
        listen: "IP:port".
        stop_timeout_s: Seconds that a planned stop waits for open requests.
        metrics: Counts malformed messages.
    """
    config = hypercorn.Config()
    config.bind = [listen]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.keep_alive_max_requests = _MAX_REQUESTS_PER_CONNECTION
    config.h11_max_incomplete_size = _MAX_HEADER_BYTES
    config.graceful_timeout = stop_timeout_s
    config.include_server_header = False
    config.crocusrouter_metrics = metrics  # type: ignore[attr-defined]
    return config


class RefusingProtocol(hypercorn.protocol.h11.H11Protocol):
    """Answers malformed messages with a counted, typed refusal.

    By default hypercorn answers them with an empty body, before any application
    code runs: operators wouldn't see them, and callers wouldn't learn what to
    correct.
    """

    async def _send_error_response(self, status_code: int) -> None:
        refusal = Refusal(RefusalReason.MALFORMED_HTTP)
        metrics = getattr(self.config, "crocusrouter_metrics", None)
        if metrics is not None:
            metrics.count_refusal(refusal.reason)
        rendered = render_refusal(refusal, "not-run")
        headers = [
            (name.encode(), value.encode())
            for name, value in rendered.headers.items()
        ]
        headers.append((b"Content-Length", str(len(rendered.body)).encode()))
        headers.append((b"Connection", b"close"))
        await self._send_h11_event(
            h11.Response(status_code=status_code, headers=headers)
        )
        await self._send_h11_event(h11.Data(data=rendered.body))
        await self._send_h11_event(h11.EndOfMessage())


class GuardedServer(hypercorn.trio.tcp_server.TCPServer):
    """Serves one connection; a failure ends only that connection.

    A caller that closes in the middle of a chunked body can make hypercorn
    send and close at the same time, for which trio raises an error. Uncaught,
    the error would propagate through the listener's nursery and end the whole
    entry.
    """

    async def run(self) -> None:
        """Serve the connection until it is closed."""
        self._opened_at = trio.current_time()
        try:
            await super().run()
        except* Exception as errors:
            metrics = getattr(self.config, "crocusrouter_metrics", None)
            if metrics is not None:
                metrics.count_event("connection-failed")
            log("http:connection-failed", error=repr(errors.exceptions))
            await trio.aclose_forcefully(self.stream)

    async def _idle_timeout(self) -> None:
        """Close an idle connection; at a stop, wait for its first request.

        A caller that connected just before the stop may be about to send its
        request. If its connection were closed at once, the caller couldn't
        tell whether the request was read.
        """
        with trio.move_on_after(self.config.keep_alive_timeout):
            await self.context.terminated.wait()
            first_request_deadline = self._opened_at + _FIRST_REQUEST_TIMEOUT_S
            await trio.sleep_until(
                max(first_request_deadline, trio.current_time())
            )
        with trio.CancelScope(shield=True):
            await self._initiate_server_close()


# hypercorn has no setting to replace these classes, but looks each of them up
# in one place.
setattr(hypercorn.protocol, _PROTOCOL_CLASS, RefusingProtocol)
setattr(hypercorn.trio.run, _SERVER_CLASS, GuardedServer)


async def serve_http(
    app: ASGIApp,
    config: hypercorn.Config,
    shutdown_trigger: Callable[..., Awaitable[None]],
    task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve `app` until `shutdown_trigger` returns and open requests end."""
    sockets = config.create_sockets()
    listeners = sockets.insecure_sockets
    for listener in listeners:
        listener.listen(config.backlog)

    async def stop_listening() -> None:
        await shutdown_trigger()
        for listener in listeners:
            listener_filter.drop_new_connections(listener)
        await trio.sleep(_DRAIN_ACCEPT_QUEUE_S)

    await hypercorn.trio.run.worker_serve(
        hypercorn.utils.wrap_app(
            app,  # type: ignore[arg-type]
            config.wsgi_max_body_size,
            "asgi",
        ),
        config,
        sockets=sockets,
        shutdown_trigger=stop_listening,
        task_status=task_status,
    )
