"""ASGI application of `crocusrouter serve` and its routes."""

from collections.abc import Awaitable
from collections.abc import Callable

from starlette import applications
from starlette import requests as starlette_requests
from starlette import responses
from starlette import routing

from crocusrouter import controllers
from crocusrouter.http import data_centre_endpoints
from crocusrouter.http import job_endpoints
from crocusrouter.http import operator_endpoints
from crocusrouter.http import request_endpoint
from crocusrouter.outcomes import RefusedError
from crocusrouter.outcomes import Rendered
from crocusrouter.outcomes import render_refusal

Handler = Callable[[starlette_requests.Request], Awaitable[Rendered]]


def build_app(entry: controllers.Entry) -> applications.Starlette:
    """Return the ASGI application of an entry."""
    request_api = request_endpoint.RequestEndpoint(entry)
    job_api = job_endpoints.JobEndpoints(entry)
    operator_api = operator_endpoints.OperatorEndpoints(entry)
    data_centre_api = data_centre_endpoints.DataCentreEndpoints(entry)
    closure_path = "/v1/data-centres/{data_centre}/closure"
    route_table: list[tuple[str, str, Handler]] = [
        ("POST", "/v1/requests/{kind}", request_api.handle),
        ("POST", "/v1/jobs", job_api.submit),
        ("GET", "/v1/jobs", job_api.list),
        ("GET", "/v1/jobs/{id}", job_api.show),
        ("DELETE", "/v1/jobs/{id}", job_api.cancel),
        ("GET", "/v1/jobs/{id}/explain", job_api.explain),
        ("GET", "/v1/templates", operator_api.list_templates),
        ("GET", "/v1/templates/{customer}", operator_api.get_template),
        ("PUT", "/v1/templates/{customer}", operator_api.put_template),
        ("GET", "/v1/templates/{customer}/history", operator_api.list_history),
        ("GET", "/v1/data-centres", data_centre_api.list),
        ("PUT", closure_path, data_centre_api.close),
        ("DELETE", closure_path, data_centre_api.open),
        ("GET", "/v1/status", operator_api.status),
        ("GET", "/metrics", operator_api.metrics),
        ("GET", "/healthz", operator_api.healthz),
        ("GET", "/readyz", operator_api.readyz),
    ]
    routes = [
        routing.Route(path, _build_responder(handle, entry), methods=[method])
        for method, path, handle in route_table
    ]
    return applications.Starlette(routes=routes)


def _build_responder(
    handle: Handler, entry: controllers.Entry
) -> Callable[[starlette_requests.Request], Awaitable[responses.Response]]:
    """Return a responder that counts refusals and renders them as problems."""

    async def respond(
        request: starlette_requests.Request,
    ) -> responses.Response:
        try:
            rendered = await handle(request)
        except RefusedError as error:
            entry.metrics.count_refusal(error.refusal.reason)
            rendered = render_refusal(error.refusal)
        if entry.is_stopping:
            # On a kept-alive connection the caller could send its next request
            # just as the entry closes the connection, and couldn't tell
            # whether that request was read.
            rendered.headers["Connection"] = "close"
        return responses.Response(
            rendered.body, rendered.status, rendered.headers
        )

    return respond
