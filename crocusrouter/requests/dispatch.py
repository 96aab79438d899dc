"""Dispatch: one try of a request at one runner."""

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
from crocusrouter.requests import choice
from crocusrouter.requests import model
from crocusrouter.requests import pool
from crocusrouter.telemetry import log

_MAX_ANSWER = 8 << 20
_BUSY_RETRY_S = 0.5
_OUTCOME = b"crocusrouter-outcome"
_REQUEST_ID = b"request-id"

# No byte of the request has left when one of these is raised.
_NOT_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
_LOST = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class Dispatcher:
    """Sends a request to a runner and judges what comes back."""

    def __init__(self, runners: pool.RunnerPool) -> None:
        self._runners = runners

    async def dispatch(
        self, call: model.Call, avoided: frozenset[str]
    ) -> model.Tried:
        """Try a request once.

        Only a whole answer that names this very request counts as one. A
        "not run" is said only if no byte left, or the endpoint itself said
        that it refused the request unread.
        """
        try:
            slot = await self._runners.acquire(
                call.rules.service, avoided, call.deadline
            )
        except RefusedError as error:
            return model.Tried(NotRun(error.refusal))
        try:
            tried = await self._send(call, slot.runner)
        finally:
            self._runners.release(slot)
        log(
            "request:attempt",
            request=call.id,
            endpoint=slot.runner.vm.name,
            retry=tried.retry,
            outcome=type(tried.answer).__name__,
        )
        return tried

    async def _send(self, call: model.Call, runner: pool.Runner) -> model.Tried:
        started_at = trio.current_time()
        attempt_id = f"{call.id}-{uuid.uuid4().hex[:8]}"
        left_s = call.deadline - started_at
        name = runner.vm.name
        if left_s <= 0:
            refusal = Refusal(RefusalReason.DEADLINE_PASSED, "while waiting")
            return model.Tried(NotRun(refusal), None, name)
        try:
            response = await self._post(call, runner, attempt_id, left_s)
        except _NOT_SENT as error:
            self._runners.shun(runner, trio.current_time())
            return _fail_unsent(name, error)
        except _LOST as error:
            detail = f"{name}: {type(error).__name__}"
            refusal = Refusal(RefusalReason.ANSWER_LOST, detail)
            return model.Tried(Unknown(refusal), RetryReason.ANSWER_LOST, name)
        took_s = trio.current_time() - started_at
        return self._judge(response, runner, attempt_id, took_s)

    async def _post(
        self,
        call: model.Call,
        runner: pool.Runner,
        attempt_id: str,
        left_s: float,
    ) -> "_Reply":
        headers = [
            ("Host", runner.vm.address),
            ("Content-Type", "application/json"),
            ("Request-Id", attempt_id),
            ("Request-Timeout", f"{left_s:.3f}"),
        ]
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), left_s)
        # The limits of httpcore are for each read; this one is for all of
        # them, or an endpoint that trickles bytes could outlast any deadline.
        with trio.move_on_after(left_s):
            async with runner.connections.stream(
                "POST",
                f"{runner.url}/run/{call.kind}",
                headers=headers,
                content=call.body,
                extensions={"timeout": timeouts},
            ) as response:
                body = await _read_limited(response)
                return _Reply(response.status, response.headers, body)
        raise httpcore.ReadTimeout("no whole answer before the deadline")

    def _judge(
        self,
        response: "_Reply",
        runner: pool.Runner,
        attempt_id: str,
        took_s: float,
    ) -> model.Tried:
        headers = {name.lower(): value for name, value in response.headers}
        name = runner.vm.name
        if headers.get(_OUTCOME) == b"not-run":
            runner.load = choice.note_refusal(runner.load)
            refusal = Refusal(
                RefusalReason.NO_ENDPOINT, f"{name} is full", _BUSY_RETRY_S
            )
            return model.Tried(
                NotRun(refusal), RetryReason.ENDPOINT_REFUSED, name
            )
        if headers.get(_REQUEST_ID) != attempt_id.encode():
            refusal = Refusal(RefusalReason.ANSWER_MISMATCHED, name)
            return model.Tried(
                Unknown(refusal), RetryReason.ANSWER_MISMATCHED, name
            )
        runner.load = choice.note_answer(runner.load, took_s)
        media_type = headers.get(b"content-type", b"application/json")
        answer: Answer = Done(
            response.status, response.body, media_type.decode("latin1")
        )
        return model.Tried(answer, None, name)


@dataclasses.dataclass(frozen=True)
class _Reply:
    """A whole answer of an endpoint."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


def _fail_unsent(name: str, error: Exception) -> model.Tried:
    detail = f"{name}: {type(error).__name__}"
    refusal = Refusal(RefusalReason.NO_ENDPOINT, detail, _BUSY_RETRY_S)
    return model.Tried(NotRun(refusal), RetryReason.ENDPOINT_UNREACHABLE, name)


async def _read_limited(response: httpcore.Response) -> bytes:
    chunks = []
    size = 0
    async for chunk in response.aiter_stream():
        size += len(chunk)
        if size > _MAX_ANSWER:
            raise httpcore.RemoteProtocolError("the answer is too large")
        chunks.append(chunk)
    return b"".join(chunks)
