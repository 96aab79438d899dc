"""HTTP endpoints of queues: submit, show and cancel jobs, count pending."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from starlette import requests as starlette_requests

from crocusrouter import platform
from crocusrouter import pools
from crocusrouter import queues
from crocusrouter import work
from crocusrouter.http import request_parsing
from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import RefusedError
from crocusrouter.outcomes import Rendered
from crocusrouter.outcomes import refuse
from crocusrouter.outcomes import render_refusal

KEY_HEADER = "X-Api-Key"
_JSON = {"Content-Type": "application/json"}
# A pool without an owner gets a new one within two seconds: the old owner's
# lease lasts 1.8 s, and part of it has usually passed already.
_OWNER_RETRY_AFTER_S = 1.0
# Statuses that callers of the platform expect instead of the default ones. To
# them 503 means that the job never runs, so an unknown outcome needs another
# status.
_STATUS_OVERRIDES = {
    RefusalReason.UNKNOWN_JOB: 410,
    RefusalReason.COMMIT_UNKNOWN: 504,
    RefusalReason.INVALID_DOCUMENT: 400,
}


@dataclasses.dataclass(frozen=True)
class QueueCall:
    """An authorised call on a queue.

    Attributes:
        queue: The queue.
        customer: Name of the customer; empty on a public queue if the call has
            no known key.
        job_id: Path after the queue's prefix; empty for the queue itself.
        basis: The configuration by which the call was authorised.
        patience_s: Seconds for which the caller still waits; 0 if unknown.
    """

    queue: queues.Queue
    customer: str
    job_id: str
    basis: pools.ConfigBasis
    patience_s: float = 0.0


async def authorize_call(
    entry: pools.PoolEntry, request: starlette_requests.Request
) -> QueueCall:
    """Find the queue and the customer of a call, and authorise it.

    Raises:
        RefusedError: The entry isn't ready, or the queue or key is unknown.
    """
    arrived_at = entry.clock.steady()
    may_decide = await entry.config_refresher.ensure_current()
    config = entry.configuration.current
    now = entry.clock.steady()
    basis = entry.configuration.describe(now)
    if config is None or not may_decide:
        raise refuse(RefusalReason.NOT_READY, "", entry.choose_retry_after())
    entry.metrics.record_config_age(basis.age_s or 0.0)
    path = request.url.path
    host = request.headers.get("Host", "")
    queue = queues.find_queue(config, host, path)
    if queue is None:
        raise refuse(RefusalReason.UNKNOWN_QUEUE, f"{host}{path}")
    customer = queues.find_customer(config, request.headers.get(KEY_HEADER, ""))
    if customer is None and not queue.public:
        raise refuse(RefusalReason.UNAUTHENTICATED, f"header {KEY_HEADER}")
    customer_name = customer.name if customer is not None else ""
    patience_s = platform.parse_patience(
        request.headers.get(platform.DEADLINE_HEADER, "")
    )
    return QueueCall(
        queue,
        customer_name,
        queues.strip_prefix(queue, path),
        basis,
        max(0.0, patience_s - (now - arrived_at)),
    )


Handler = Callable[[starlette_requests.Request, QueueCall], Awaitable[Rendered]]


class QueueEndpoints:
    """Answers the calls on queues that one entry receives."""

    def __init__(self, entry: pools.PoolEntry) -> None:
        self._entry = entry
        self._handlers: dict[str, Handler] = {
            "POST": self._submit,
            "GET": self._show,
            "DELETE": self._cancel,
        }

    async def handle(self, request: starlette_requests.Request) -> Rendered:
        """Answer one call; count and log a refusal."""
        try:
            handler = self._handlers.get(request.method)
            if handler is None:
                raise refuse(
                    RefusalReason.MALFORMED_HTTP, f"method {request.method}"
                )
            return await handler(
                request, await authorize_call(self._entry, request)
            )
        except RefusedError as error:
            reason = error.refusal.reason
            self._entry.metrics.count_refusal(reason)
            pools.log_refusal(
                request.method,
                request.url.path,
                error.refusal,
                self._entry.configuration.describe(self._entry.clock.steady()),
            )
            rendered = render_refusal(error.refusal)
            status = _STATUS_OVERRIDES.get(reason, rendered.status)
            return dataclasses.replace(rendered, status=status)

    def _build_refusal(
        self, reason: RefusalReason, detail: str
    ) -> RefusedError:
        """Build a refusal with a Retry-After for an unavailable store."""
        return refuse(reason, detail, self._entry.choose_retry_after())

    async def _submit(
        self, request: starlette_requests.Request, call: QueueCall
    ) -> Rendered:
        _check_job_id(call)
        config = self._entry.configuration.current
        assert config is not None
        body = await request_parsing.read_body(
            request, config.limits.max_body_bytes
        )
        job = platform.parse_submission(
            body,
            call.job_id,
            call.queue,
            call.customer,
            self._entry.clock.wall(),
            call.basis.version,
        )
        match await self._entry.job_api.accept(
            job, call.basis, call.patience_s
        ):
            case pools.AcceptOutcome.STORED:
                return Rendered(200, dict(_JSON), b"{}")
            case pools.AcceptOutcome.NOT_STORED:
                raise self._build_refusal(
                    RefusalReason.STORE_UNAVAILABLE, job.id
                )
        raise self._build_refusal(RefusalReason.COMMIT_UNKNOWN, job.id)

    async def _show(
        self, request: starlette_requests.Request, call: QueueCall
    ) -> Rendered:
        if not call.job_id:
            return await self._count_pending(call)
        _check_job_id(call)
        try:
            state = await self._entry.job_api.find_state(
                call.queue.pool, call.job_id
            )
        except pools.StateUnknownError as error:
            raise self._build_refusal(
                RefusalReason.STORE_UNAVAILABLE, str(error)
            ) from error
        if state is None:
            raise refuse(RefusalReason.UNKNOWN_JOB, f"job {call.job_id}")
        return Rendered(
            200, dict(_JSON), platform.render_job_state(work.State(state))
        )

    async def _count_pending(self, call: QueueCall) -> Rendered:
        count = await self._entry.job_api.count_pending(
            call.queue.pool, call.queue.name
        )
        if count is None:
            raise refuse(
                RefusalReason.OWNER_UNAVAILABLE,
                call.queue.name,
                _OWNER_RETRY_AFTER_S,
            )
        return Rendered(200, dict(_JSON), platform.render_pending_count(count))

    async def _cancel(
        self, request: starlette_requests.Request, call: QueueCall
    ) -> Rendered:
        _check_job_id(call)
        match await self._entry.job_api.cancel(call.job_id):
            case pools.CancelOutcome.DONE:
                return Rendered(200, dict(_JSON), b"{}")
            case pools.CancelOutcome.NO_JOB:
                raise refuse(RefusalReason.UNKNOWN_JOB, f"job {call.job_id}")
            case pools.CancelOutcome.NOT_TRIED:
                raise self._build_refusal(
                    RefusalReason.STORE_UNAVAILABLE, call.job_id
                )
        raise self._build_refusal(RefusalReason.COMMIT_UNKNOWN, call.job_id)


def _check_job_id(call: QueueCall) -> None:
    if not platform.is_job_id(call.job_id):
        raise refuse(RefusalReason.UNKNOWN_JOB, f"job id {call.job_id!r}")
