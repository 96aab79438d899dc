"""Endpoints of the operators."""

import dataclasses
import time
from typing import Any

import orjson
from starlette import requests as starlette_requests
import trio

from crocusrouter import controllers
from crocusrouter import requests
from crocusrouter import store
from crocusrouter.http import reading
from crocusrouter.outcomes import Refusal
from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import RefusedError
from crocusrouter.outcomes import Rendered
from crocusrouter.outcomes import refuse
from crocusrouter.templates import InvalidTemplateError
from crocusrouter.templates import Template
from crocusrouter.templates import Version
from crocusrouter.templates import compare_templates
from crocusrouter.templates import dump_template
from crocusrouter.templates import parse_template

_OK = 200
_UNAVAILABLE = 503
_MAX_TEMPLATE = 256 << 10
_MAX_VERSIONS = 20
_RETRY_S = 1.0
_JSON = "application/json"


class Operators:
    """Serves templates, status, metrics and health."""

    def __init__(self, entry: controllers.Entry) -> None:
        self._entry = entry

    async def get_template(
        self, request: starlette_requests.Request
    ) -> Rendered:
        """Show a template; its ETag is the revision of its last change."""
        self._check(request)
        customer = request.path_params["customer"]
        catalog = self._entry.configuration.catalog
        template = catalog.find(customer)
        if template is None:
            raise refuse(RefusalReason.UNKNOWN_CUSTOMER, customer)
        headers = {
            "Content-Type": _JSON,
            "ETag": f'"{catalog.revision_of(customer)}"',
        }
        return Rendered(_OK, headers, dump_template(template))

    async def list_templates(
        self, request: starlette_requests.Request
    ) -> Rendered:
        """List customers and the revisions of their templates."""
        self._check(request)
        catalog = self._entry.configuration.catalog
        revisions = {
            name: held.revision for name, held in catalog.templates.items()
        }
        return _render({"revision": catalog.revision, "templates": revisions})

    async def put_template(
        self, request: starlette_requests.Request
    ) -> Rendered:
        """Change a template; with If-Match only if it is as the operator saw.

        `?check` runs all checks and writes nothing.
        """
        self._check(request)
        customer = request.path_params["customer"]
        body = await reading.read_body(request, _MAX_TEMPLATE)
        template = _parse(body, customer)
        expected = reading.parse_if_match(request.headers.get("If-Match"))
        if "check" in request.query_params:
            return self._check_only(template, expected)
        outcome = await controllers.apply_edit(
            self._entry.configuration,
            self._entry.store,
            template,
            expected,
            self._entry.vm_list.fleet,
            time.time(),
        )
        if isinstance(outcome, Refusal):
            raise RefusedError(outcome)
        rendered = _render({"revision": outcome.revision})
        rendered.headers["ETag"] = f'"{outcome.revision}"'
        return rendered

    async def list_history(
        self, request: starlette_requests.Request
    ) -> Rendered:
        """Show a template's versions, the one in force first."""
        self._check(request)
        customer = request.path_params["customer"]
        if self._entry.configuration.catalog.find(customer) is None:
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
                RefusalReason.STORE_UNAVAILABLE, str(error), _RETRY_S
            ) from error
        return _render({"versions": _show_versions(versions)})

    async def status(self, request: starlette_requests.Request) -> Rendered:
        """Show this entry, its peers and what it owns."""
        self._check(request)
        entry = self._entry
        now = trio.current_time()
        live = {
            peer.name: peer.heartbeat.catalog_revision
            for peer in entry.peer_controller.list_live_peers(now)
            if peer.heartbeat is not None
        }
        revisions = {entry.settings.name: entry.configuration.catalog.revision}
        suspected = sorted(entry.peer_controller.peers.keys() - live.keys())
        owners = {
            name: {
                "owner": seen.owner_record.owner,
                "epoch": seen.owner_record.epoch,
            }
            for name, seen in sorted(
                entry.configuration.owner_observations.items()
            )
        }
        owned = [
            dataclasses.asdict(controllers.describe_owner(held))
            for held in entry.local_owners.values()
        ]
        return _render(
            {
                "entry": entry.settings.name,
                "data_centre": entry.settings.data_centre,
                "ready": entry.is_ready,
                "revision": entry.configuration.catalog.revision,
                "alarm": entry.configuration.alarm,
                "revisions": revisions | live,
                "suspected": suspected,
                "store_failing": entry.store.failing_since is not None,
                "owners": owners,
                "owned": owned,
                "counts": dict(sorted(entry.metrics.counts.items())),
            }
        )

    async def metrics(self, _: starlette_requests.Request) -> Rendered:
        """Expose all instruments as Prometheus text."""
        headers = {"Content-Type": "text/plain; version=0.0.4"}
        return Rendered(_OK, headers, self._entry.metrics.expose())

    async def healthz(self, _: starlette_requests.Request) -> Rendered:
        """Say that the process runs."""
        return _render({"alive": True})

    async def readyz(self, _: starlette_requests.Request) -> Rendered:
        """Say whether this entry takes work, and why not."""
        entry = self._entry
        document = {
            "ready": entry.is_ready,
            "configuration_vouched": entry.configuration.is_confirmed,
            "vms_read": entry.vm_list.fleet.read_at is not None,
            "stopping": entry.is_stopping,
        }
        return _render(document, _OK if entry.is_ready else _UNAVAILABLE)

    def _check(self, request: starlette_requests.Request) -> None:
        reading.check_operator(request, self._entry.settings.operator_key)

    def _check_only(self, template: Template, expected: int | None) -> Rendered:
        catalog = self._entry.configuration.catalog
        refusal = controllers.check_edit(
            catalog, template, expected, self._entry.vm_list.fleet
        )
        if refusal is not None:
            raise RefusedError(refusal)
        return _render({"revision": catalog.revision})


def _show_versions(versions: list[Version]) -> list[dict[str, Any]]:
    """Show each version with the fields that it changed."""
    older = [version.template for version in versions[1:]]
    return [
        {
            "revision": version.revision,
            "at": version.at,
            "changed": [d.path for d in compare_templates(before, after)],
            "template": orjson.loads(dump_template(after)),
        }
        for version, before in zip(versions, [*older, None], strict=True)
        for after in [version.template]
    ]


def _parse(body: bytes, customer: str) -> Template:
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


def _render(document: dict[str, Any], status: int = _OK) -> Rendered:
    return Rendered(status, {"Content-Type": _JSON}, orjson.dumps(document))
