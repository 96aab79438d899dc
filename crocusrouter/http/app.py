"""Routes of the HTTP listener."""

from collections.abc import Awaitable
from collections.abc import Callable

from starlette import applications
from starlette import requests as starlette_requests
from starlette import responses
from starlette import routing

from crocusrouter import controllers
from crocusrouter.http import jobs
from crocusrouter.http import operators
from crocusrouter.http import small
from crocusrouter.outcomes import RefusedError
from crocusrouter.outcomes import Rendered
from crocusrouter.outcomes import render_refusal

Handle = Callable[[starlette_requests.Request], Awaitable[Rendered]]


def build_app(entry: controllers.Entry) -> applications.Starlette:
    """Return the ASGI application of an entry."""
    requests = small.SmallRequests(entry)
    work = jobs.Jobs(entry)
    staff = operators.Operators(entry)
    table: list[tuple[str, str, Handle]] = [
        ("POST", "/v1/requests/{kind}", requests.handle),
        ("POST", "/v1/jobs", work.submit),
        ("GET", "/v1/jobs", work.list),
        ("GET", "/v1/jobs/{id}", work.show),
        ("DELETE", "/v1/jobs/{id}", work.cancel),
        ("GET", "/v1/jobs/{id}/explain", work.explain),
        ("GET", "/v1/templates", staff.list_templates),
        ("GET", "/v1/templates/{customer}", staff.get_template),
        ("PUT", "/v1/templates/{customer}", staff.put_template),
        ("GET", "/v1/templates/{customer}/history", staff.list_history),
        ("GET", "/v1/status", staff.status),
        ("GET", "/metrics", staff.metrics),
        ("GET", "/healthz", staff.healthz),
        ("GET", "/readyz", staff.readyz),
    ]
    routes = [
        routing.Route(path, _wrap(handle, entry), methods=[method])
        for method, path, handle in table
    ]
    return applications.Starlette(routes=routes)


def _wrap(
    handle: Handle, entry: controllers.Entry
) -> Callable[[starlette_requests.Request], Awaitable[responses.Response]]:
    """Turn refusals into counted problem details."""

    async def respond(
        request: starlette_requests.Request,
    ) -> responses.Response:
        try:
            rendered = await handle(request)
        except RefusedError as error:
            entry.metrics.count_refusal(error.refusal.reason)
            rendered = render_refusal(error.refusal)
        if entry.is_stopping:
            # A caller that keeps its connection would send its next request
            # just as we close, and could not tell whether it was read.
            rendered.headers["Connection"] = "close"
        return responses.Response(
            rendered.body, rendered.status, rendered.headers
        )

    return respond
