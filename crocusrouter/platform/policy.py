"""The policy service of advised queues, over the platform's interface."""

from typing import Any

from crocusrouter.platform import calls
from crocusrouter.platform import names
from crocusrouter.work import model
from crocusrouter.work import worker_port

# The service handles one call of a VM at a time.
_CONNECTIONS = 1
_OK = 200


class PlatformPolicy:
    """Implements `work.worker_port.PolicyPort`."""

    def __init__(self, address: str) -> None:
        self._caller = calls.Caller(address, _CONNECTIONS)

    async def advise(
        self, step: model.StepKey, workers: tuple[str, ...], timeout_s: float
    ) -> worker_port.PolicyAnswer | worker_port.NoAnswer:
        """Ask which of some workers may run a step."""
        result = await self._caller.call(
            "POST",
            "/advise",
            {
                "step": names.build_step(step),
                "workers": list(workers),
            },
            timeout_s,
        )
        if isinstance(result, calls.Unanswered):
            return worker_port.NoAnswer(result.cause, result.maybe_done)
        if result.status != _OK:
            return worker_port.NoAnswer(
                f"status {result.status}", maybe_done=False
            )
        return _parse_answer(result.document)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._caller.aclose()


def _parse_answer(document: dict[str, Any]) -> worker_port.PolicyAnswer:
    rows = document.get("good", ())
    return worker_port.PolicyAnswer(
        {str(worker): str(ticket) for worker, ticket in rows},
        float(document.get("valid_ms", 0)) / 1000,
    )
