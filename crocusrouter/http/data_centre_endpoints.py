"""HTTP endpoints for operators that close data centres to new work."""

import time
from typing import Any

from starlette import requests as starlette_requests

from crocusrouter import controllers
from crocusrouter import fleet
from crocusrouter.http import rendering
from crocusrouter.http import request_parsing
from crocusrouter.mesh import messages
from crocusrouter.outcomes import Refusal
from crocusrouter.outcomes import RefusedError
from crocusrouter.outcomes import Rendered


class DataCentreEndpoints:
    """Lists, closes and opens data centres."""

    def __init__(self, entry: controllers.Entry) -> None:
        self._entry = entry

    async def list(self, request: starlette_requests.Request) -> Rendered:
        """List the data centres, and what still runs in closed ones."""
        self._check_operator(request)
        configuration = self._entry.configuration
        current_fleet = self._entry.vm_list.fleet
        closures = await describe_closures(self._entry)
        rows = [
            {
                "name": name,
                "owner": configuration.find_owner_name(name),
                "workers": len(
                    fleet.select_vms(current_fleet, fleet.Role.WORKER, name)
                ),
                "closure": closures.get(name),
            }
            for name in sorted(
                {*fleet.list_data_centres(current_fleet), *closures}
            )
        ]
        return rendering.render_json({"data_centres": rows})

    async def close(self, request: starlette_requests.Request) -> Rendered:
        """Close a data centre to new work; `?force` closes the last one too."""
        self._check_operator(request)
        data_centre = request.path_params["data_centre"]
        outcome = await controllers.apply_closure(
            self._entry.configuration,
            self._entry.store,
            data_centre,
            self._entry.vm_list.fleet,
            time.time(),
            is_forced="force" in request.query_params,
        )
        return self._render_outcome(data_centre, outcome)

    async def open(self, request: starlette_requests.Request) -> Rendered:
        """Open a data centre to new work."""
        self._check_operator(request)
        data_centre = request.path_params["data_centre"]
        outcome = await controllers.remove_closure(
            self._entry.configuration,
            self._entry.store,
            data_centre,
            self._entry.vm_list.fleet,
        )
        return self._render_outcome(data_centre, outcome)

    def _render_outcome(
        self, data_centre: str, outcome: controllers.AppliedEdit | Refusal
    ) -> Rendered:
        """Answer with the closure, and with guarantees that it leaves unmet."""
        if isinstance(outcome, Refusal):
            raise RefusedError(outcome)
        closed_since = outcome.catalog.closed_since.get(data_centre)
        unmet_guarantees = (
            controllers.list_guaranteed_customers(outcome.catalog, data_centre)
            if closed_since is not None
            else []
        )
        return rendering.render_json(
            {
                "data_centre": data_centre,
                "closed_since": closed_since,
                "revision": outcome.revision,
                "guarantees_suspended": unmet_guarantees,
            }
        )

    def _check_operator(self, request: starlette_requests.Request) -> None:
        request_parsing.check_operator(
            request, self._entry.settings.operator_key
        )


async def describe_closures(
    entry: controllers.Entry,
) -> dict[str, dict[str, Any]]:
    """Return, by closed data centre, since when and how much runs there.

    The counts are None while the data centre's owner doesn't answer.
    """
    closures: dict[str, dict[str, Any]] = {}
    closed_since = entry.configuration.catalog.closed_since
    for name, since in sorted(closed_since.items()):
        answer = await entry.job_router.call_owner(
            name, messages.CountRuns(name)
        )
        counts = answer if isinstance(answer, messages.RunCounts) else None
        closures[name] = {
            "closed_since": since,
            "running_jobs": counts.jobs if counts else None,
            "busy_accelerators": counts.accelerators if counts else None,
        }
    return closures
