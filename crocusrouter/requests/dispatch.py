"""Dispatch: one attempt to run a request at one runner."""

import dataclasses
import uuid

import httpcore
import trio

from crocusrouter.outcomes import Answer
from crocusrouter.outcomes import Done
from crocusrouter.outcomes import NotRun
from crocusrouter.outcomes import Refusal
from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import RefusedError
from crocusrouter.outcomes import RetryReason
from crocusrouter.outcomes import Unknown
from crocusrouter.requests import load_balancing
from crocusrouter.requests import model
from crocusrouter.requests import runner_pool
from crocusrouter.telemetry import log

_MAX_ANSWER_BYTES = 8 << 20
_BUSY_RETRY_AFTER_S = 0.5
_OUTCOME_HEADER = b"crocusrouter-outcome"
_REQUEST_ID_HEADER = b"request-id"

# Errors raised before any byte of the request was sent.
_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
_ANSWER_LOST_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class Dispatcher:
    """Sends a request to a runner and classifies the response."""

    def __init__(self, runners: runner_pool.RunnerPool) -> None:
        self._runners = runners

    async def dispatch(
        self, request: model.ValidatedRequest, tried_runners: frozenset[str]
    ) -> model.AttemptResult:
        """Make one attempt to run a request.

        A response counts as an answer only if it is complete and names this
        attempt. The outcome is "not run" only if no byte was sent, or if the
        endpoint itself reported that it refused the request unread.
        """
        try:
            slot = await self._runners.acquire_slot(
                request.request_kind.service, tried_runners, request.deadline
            )
        except RefusedError as error:
            return model.AttemptResult(NotRun(error.refusal))
        try:
            attempt = await self._send(request, slot.runner)
        finally:
            self._runners.release_slot(slot)
        log(
            "request:attempt",
            request=request.id,
            endpoint=slot.runner.vm.name,
            retry=attempt.retry_reason,
            outcome=type(attempt.answer).__name__,
        )
        return attempt

    async def _send(
        self, request: model.ValidatedRequest, runner: runner_pool.Runner
    ) -> model.AttemptResult:
        started_at = trio.current_time()
        attempt_id = f"{request.id}-{uuid.uuid4().hex[:8]}"
        remaining_s = request.deadline - started_at
        runner_name = runner.vm.name
        if remaining_s <= 0:
            refusal = Refusal(
                RefusalReason.DEADLINE_PASSED, "while waiting for a slot"
            )
            return model.AttemptResult(NotRun(refusal), None, runner_name)
        try:
            response = await self._post(
                request, runner, attempt_id, remaining_s
            )
        except _NOT_SENT_ERRORS as error:
            self._runners.mark_unreachable(runner, trio.current_time())
            return _build_unreachable_result(runner_name, error)
        except _ANSWER_LOST_ERRORS as error:
            detail = f"{runner_name}: {type(error).__name__}"
            refusal = Refusal(RefusalReason.ANSWER_LOST, detail)
            return model.AttemptResult(
                Unknown(refusal), RetryReason.ANSWER_LOST, runner_name
            )
        elapsed_s = trio.current_time() - started_at
        return self._classify_response(response, runner, attempt_id, elapsed_s)

    async def _post(
        self,
        request: model.ValidatedRequest,
        runner: runner_pool.Runner,
        attempt_id: str,
        remaining_s: float,
    ) -> "_EndpointResponse":
        headers = [
            ("Host", runner.vm.address),
            ("Content-Type", "application/json"),
            ("Request-Id", attempt_id),
            ("Request-Timeout", f"{remaining_s:.3f}"),
        ]
        timeouts = dict.fromkeys(
            ("connect", "read", "write", "pool"), remaining_s
        )
        # httpcore applies its timeouts to each read. This timeout covers the
        # whole response; without it, an endpoint that sends a few bytes at a
        # time could exceed any deadline.
        with trio.move_on_after(remaining_s):
            async with runner.connections.stream(
                "POST",
                f"{runner.url}/run/{request.kind}",
                headers=headers,
                content=request.body,
                extensions={"timeout": timeouts},
            ) as response:
                body = await _read_body(response)
                return _EndpointResponse(
                    response.status, response.headers, body
                )
        raise httpcore.ReadTimeout("no complete answer before the deadline")

    def _classify_response(
        self,
        response: "_EndpointResponse",
        runner: runner_pool.Runner,
        attempt_id: str,
        elapsed_s: float,
    ) -> model.AttemptResult:
        """Return the result of a response and update the runner's load."""
        headers = {name.lower(): value for name, value in response.headers}
        runner_name = runner.vm.name
        if headers.get(_OUTCOME_HEADER) == b"not-run":
            runner.load = load_balancing.record_refusal(runner.load)
            refusal = Refusal(
                RefusalReason.NO_ENDPOINT,
                f"{runner_name} is full",
                _BUSY_RETRY_AFTER_S,
            )
            return model.AttemptResult(
                NotRun(refusal), RetryReason.ENDPOINT_REFUSED, runner_name
            )
        if headers.get(_REQUEST_ID_HEADER) != attempt_id.encode():
            refusal = Refusal(RefusalReason.ANSWER_MISMATCHED, runner_name)
            return model.AttemptResult(
                Unknown(refusal), RetryReason.ANSWER_MISMATCHED, runner_name
            )
        runner.load = load_balancing.record_answer(runner.load, elapsed_s)
        media_type = headers.get(b"content-type", b"application/json")
        answer: Answer = Done(
            response.status, response.body, media_type.decode("latin1")
        )
        return model.AttemptResult(answer, None, runner_name)


@dataclasses.dataclass(frozen=True)
class _EndpointResponse:
    """A complete HTTP response of an endpoint."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


def _build_unreachable_result(
    runner_name: str, error: Exception
) -> model.AttemptResult:
    detail = f"{runner_name}: {type(error).__name__}"
    refusal = Refusal(RefusalReason.NO_ENDPOINT, detail, _BUSY_RETRY_AFTER_S)
    return model.AttemptResult(
        NotRun(refusal), RetryReason.ENDPOINT_UNREACHABLE, runner_name
    )


async def _read_body(response: httpcore.Response) -> bytes:
    """Read a response's body; raise an error if it is too large."""
    chunks = []
    size = 0
    async for chunk in response.aiter_stream():
        size += len(chunk)
        if size > _MAX_ANSWER_BYTES:
            raise httpcore.RemoteProtocolError("the answer is too large")
        chunks.append(chunk)
    return b"".join(chunks)
