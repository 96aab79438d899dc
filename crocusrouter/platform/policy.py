"""Client of the platform's policy service.

The service says which workers may run the steps of advised queues.
"""

from typing import Any

from crocusrouter.platform import calls
from crocusrouter.platform import names
from crocusrouter.work import model
from crocusrouter.work import worker_port

# The service handles one call per VM at a time.
_MAX_CONNECTIONS = 1
_OK = 200


class PlatformPolicy:
    """Implements `work.worker_port.PolicyPort`."""

    def __init__(self, address: str) -> None:
        self._client = calls.HttpClient(address, _MAX_CONNECTIONS)

    async def advise(
        self, step: model.StepKey, workers: tuple[str, ...], timeout_s: float
    ) -> worker_port.PolicyAnswer | worker_port.NoAnswer:
        """Ask which of `workers` may run a step."""
        result = await self._client.call(
            "POST",
            "/advise",
            {
                "step": names.build_step_name(step),
                "workers": list(workers),
            },
            timeout_s,
        )
        if isinstance(result, calls.NoResponse):
            return worker_port.NoAnswer(result.cause, result.maybe_done)
        if result.status != _OK:
            return worker_port.NoAnswer(
                f"status {result.status}", maybe_done=False
            )
        return _parse_answer(result.document)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()


def _parse_answer(document: dict[str, Any]) -> worker_port.PolicyAnswer:
    worker_tickets = document.get("good", ())
    return worker_port.PolicyAnswer(
        {str(worker): str(ticket) for worker, ticket in worker_tickets},
        float(document.get("valid_ms", 0)) / 1000,
    )
