"""Small requests: validation, limits, claims, load balancing and retries."""

from crocusrouter.requests.chain import ClaimFilter
from crocusrouter.requests.chain import LimitFilter
from crocusrouter.requests.chain import Retrier
from crocusrouter.requests.chain import build_chain
from crocusrouter.requests.claims import ClaimRegistry
from crocusrouter.requests.dispatch import Dispatcher
from crocusrouter.requests.model import IncomingRequest
from crocusrouter.requests.model import ValidatedRequest
from crocusrouter.requests.runner_pool import RunnerPool
from crocusrouter.requests.validation import authenticate_customer
from crocusrouter.requests.validation import check_idempotency_key
from crocusrouter.requests.validation import check_json
from crocusrouter.requests.validation import validate_request

__all__ = [
    "ValidatedRequest",
    "ClaimFilter",
    "ClaimRegistry",
    "Dispatcher",
    "IncomingRequest",
    "LimitFilter",
    "Retrier",
    "RunnerPool",
    "build_chain",
    "check_json",
    "check_idempotency_key",
    "authenticate_customer",
    "validate_request",
]
