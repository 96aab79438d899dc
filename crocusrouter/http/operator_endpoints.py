"""HTTP endpoints for operators: templates, status, metrics and health."""

import dataclasses
import time
from typing import Any

import orjson
from starlette import requests as starlette_requests
import trio

from crocusrouter import controllers
from crocusrouter import requests
from crocusrouter import store
from crocusrouter.http import data_centre_endpoints
from crocusrouter.http import rendering
from crocusrouter.http import request_parsing
from crocusrouter.outcomes import Refusal
from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import RefusedError
from crocusrouter.outcomes import Rendered
from crocusrouter.outcomes import refuse
from crocusrouter.templates import InvalidTemplateError
from crocusrouter.templates import Template
from crocusrouter.templates import TemplateVersion
from crocusrouter.templates import compare_templates
from crocusrouter.templates import dump_template
from crocusrouter.templates import parse_template

_HTTP_OK = 200
_HTTP_UNAVAILABLE = 503
_MAX_TEMPLATE_BYTES = 256 << 10
_MAX_VERSIONS = 20
_STORE_RETRY_AFTER_S = 1.0
_JSON_TYPE = "application/json"


class OperatorEndpoints:
    """Serves the operators' endpoints of one entry."""

    def __init__(self, entry: controllers.Entry) -> None:
        self._entry = entry

    async def get_template(
        self, request: starlette_requests.Request
    ) -> Rendered:
        """Show a template; its ETag is the revision of its last change."""
        self._check_operator(request)
        customer = request.path_params["customer"]
        catalog = self._entry.configuration.catalog
        template = catalog.find_template(customer)
        if template is None:
            raise refuse(RefusalReason.UNKNOWN_CUSTOMER, customer)
        headers = {
            "Content-Type": _JSON_TYPE,
            "ETag": f'"{catalog.find_revision(customer)}"',
        }
        return Rendered(_HTTP_OK, headers, dump_template(template))

    async def list_templates(
        self, request: starlette_requests.Request
    ) -> Rendered:
        """List customers and the revisions of their templates."""
        self._check_operator(request)
        catalog = self._entry.configuration.catalog
        revisions = {
            name: versioned.revision
            for name, versioned in catalog.templates.items()
        }
        return rendering.render_json(
            {"revision": catalog.revision, "templates": revisions}
        )

    async def put_template(
        self, request: starlette_requests.Request
    ) -> Rendered:
        """Replace a template; with If-Match, only at the given revision.

        `?check` runs all checks and writes nothing.
        """
        self._check_operator(request)
        customer = request.path_params["customer"]
        body = await request_parsing.read_body(request, _MAX_TEMPLATE_BYTES)
        template = _parse_template(body, customer)
        expected_revision = request_parsing.parse_if_match(
            request.headers.get("If-Match")
        )
        if "check" in request.query_params:
            return self._check_without_writing(template, expected_revision)
        outcome = await controllers.apply_edit(
            self._entry.configuration,
            self._entry.store,
            template,
            expected_revision,
            self._entry.vm_list.fleet,
            time.time(),
        )
        if isinstance(outcome, Refusal):
            raise RefusedError(outcome)
        rendered = rendering.render_json({"revision": outcome.revision})
        rendered.headers["ETag"] = f'"{outcome.revision}"'
        return rendered

    async def list_history(
        self, request: starlette_requests.Request
    ) -> Rendered:
        """List a template's versions, the current one first."""
        self._check_operator(request)
        customer = request.path_params["customer"]
        if self._entry.configuration.catalog.find_template(customer) is None:
            raise refuse(RefusalReason.UNKNOWN_CUSTOMER, customer)
        try:
            versions = await controllers.list_versions(
                self._entry.configuration,
                self._entry.store,
                customer,
                _MAX_VERSIONS,
            )
        except store.StoreUnavailableError as error:
            raise refuse(
                RefusalReason.STORE_UNAVAILABLE,
                str(error),
                _STORE_RETRY_AFTER_S,
            ) from error
        return rendering.render_json({"versions": _render_versions(versions)})

    async def status(self, request: starlette_requests.Request) -> Rendered:
        """Show this entry, its peers and the data centres that it owns."""
        self._check_operator(request)
        entry = self._entry
        now = trio.current_time()
        live_revisions = {
            peer.name: peer.heartbeat.catalog_revision
            for peer in entry.peer_controller.list_live_peers(now)
            if peer.heartbeat is not None
        }
        revisions = {entry.settings.name: entry.configuration.catalog.revision}
        suspected = sorted(
            entry.peer_controller.peers.keys() - live_revisions.keys()
        )
        owners = {
            name: {
                "owner": observed.owner_record.owner,
                "epoch": observed.owner_record.epoch,
            }
            for name, observed in sorted(
                entry.configuration.owner_observations.items()
            )
        }
        owned = [
            dataclasses.asdict(controllers.describe_owner(owner))
            for owner in entry.local_owners.values()
        ]
        return rendering.render_json(
            {
                "entry": entry.settings.name,
                "data_centre": entry.settings.data_centre,
                "ready": entry.is_ready,
                "revision": entry.configuration.catalog.revision,
                "alarm": entry.configuration.alarm,
                "revisions": revisions | live_revisions,
                "suspected": suspected,
                "store_failing": entry.store.failing_since is not None,
                "owners": owners,
                "owned": owned,
                "closed": await data_centre_endpoints.describe_closures(entry),
                "counts": dict(sorted(entry.metrics.counts.items())),
            }
        )

    async def metrics(self, _: starlette_requests.Request) -> Rendered:
        """Return all metrics in the Prometheus text format."""
        headers = {"Content-Type": "text/plain; version=0.0.4"}
        return Rendered(_HTTP_OK, headers, self._entry.metrics.expose())

    async def healthz(self, _: starlette_requests.Request) -> Rendered:
        """Report that the process is alive."""
        return rendering.render_json({"alive": True})

    async def readyz(self, _: starlette_requests.Request) -> Rendered:
        """Report whether this entry accepts work, and the conditions for it."""
        entry = self._entry
        document = {
            "ready": entry.is_ready,
            "configuration_vouched": entry.configuration.is_confirmed,
            "vms_read": entry.vm_list.fleet.read_at is not None,
            "stopping": entry.is_stopping,
        }
        return rendering.render_json(
            document, _HTTP_OK if entry.is_ready else _HTTP_UNAVAILABLE
        )

    def _check_operator(self, request: starlette_requests.Request) -> None:
        request_parsing.check_operator(
            request, self._entry.settings.operator_key
        )

    def _check_without_writing(
        self, template: Template, expected_revision: int | None
    ) -> Rendered:
        catalog = self._entry.configuration.catalog
        refusal = controllers.check_edit(
            catalog, template, expected_revision, self._entry.vm_list.fleet
        )
        if refusal is not None:
            raise RefusedError(refusal)
        return rendering.render_json({"revision": catalog.revision})


def _render_versions(versions: list[TemplateVersion]) -> list[dict[str, Any]]:
    """Return each version with the fields that it changed."""
    older = [version.template for version in versions[1:]]
    return [
        {
            "revision": version.revision,
            "at": version.at,
            "changed": [
                difference.path
                for difference in compare_templates(before, after)
            ],
            "template": orjson.loads(dump_template(after)),
        }
        for version, before in zip(versions, [*older, None], strict=True)
        for after in [version.template]
    ]


def _parse_template(body: bytes, customer: str) -> Template:
    requests.check_json(body)
    try:
        template = parse_template(body)
    except InvalidTemplateError as error:
        raise refuse(RefusalReason.INVALID_DOCUMENT, str(error)) from error
    if template.customer != customer:
        raise refuse(
            RefusalReason.INVALID_DOCUMENT,
            f"customer: {template.customer!r} differs from {customer!r} "
            "in the path",
        )
    return template
