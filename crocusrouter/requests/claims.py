"""Claims on idempotency keys: at most one run per key over all entries.

Before an entry dispatches a non-idempotent request with a key, it creates a
claim in the key-value service by compare-and-swap. An entry that finds the
key already claimed asks the entry that holds the claim for the outcome. If
the holder can't be reached, the earlier attempt may have run, and the answer
says so.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import hashlib
import uuid

from crocusrouter import codec
from crocusrouter import store
from crocusrouter.mesh import messages
from crocusrouter.outcomes import Answer
from crocusrouter.outcomes import Done
from crocusrouter.outcomes import NotRun
from crocusrouter.outcomes import Refusal
from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import Unknown
from crocusrouter.requests import model

_MAX_REMEMBERED_CLAIMS = 20_000
_MAX_REMEMBERED_BODY_BYTES = 16 << 10
_IN_PROGRESS_RETRY_AFTER_S = 0.5
_STORE_RETRY_AFTER_S = 1.0

# States of a claimed request, also sent to peers in `AnswerReply`.
RUNNING = "running"
DONE = "done"
NOT_RUN = "not-run"
UNKNOWN = "unknown"

# Asks the named entry for the outcome of the named claim; returns None if the
# entry can't be reached.
AskPeer = Callable[[str, str], Awaitable[messages.AnswerReply | None]]


@dataclasses.dataclass(frozen=True)
class Claim:
    """The claim record of a key in the key-value service.

    Attributes:
        entry: Name of the entry that may dispatch the request.
        life: Random id of that entry's process. A restarted process has
            another id and none of the old process's memory.
        digest: Hash of the request.
    """

    entry: str
    life: str
    digest: str


@dataclasses.dataclass
class _LocalClaim:
    """A claim of this process and the state of its request.

    Attributes:
        record: The claim's record in the key-value service.
        digest: Hash of the request.
        state: State of the request.
        answer: The endpoint's answer, if the request is done and the answer
            is small enough to keep.
    """

    record: store.Record
    digest: str
    state: str = RUNNING
    answer: Done | None = None


@dataclasses.dataclass(frozen=True)
class ClaimGrant:
    """Permission to dispatch a request whose key this entry has claimed.

    Pass it to `record_outcome` after the dispatch.
    """

    claim_name: str


class ClaimRegistry:
    """Acquires claims and remembers the outcomes of their requests."""

    def __init__(
        self,
        entry: str,
        client: store.StoreClient,
        prefix: str,
        ask_peer: AskPeer,
        get_lease: Callable[[], Awaitable[int]],
        max_remembered: int = _MAX_REMEMBERED_CLAIMS,
    ) -> None:
        """Start without any claims.

        Args:
            entry: Name of this entry.
            client: Client of the key-value service.
            prefix: Key prefix of claims in the key-value service.
            ask_peer: Asks another entry for the outcome of a claim.
            get_lease: Returns the lease to which claims are attached.
            max_remembered: Number of claims to remember.
        """
        self._entry = entry
        self._life = uuid.uuid4().hex[:16]
        self._client = client
        self._prefix = prefix
        self._ask_peer = ask_peer
        self._get_lease = get_lease
        self._max_remembered = max_remembered
        self._local_claims: collections.OrderedDict[str, _LocalClaim] = (
            collections.OrderedDict()
        )
        self._pending_names: set[str] = set()
        self._uncertain_write_ids: dict[str, bytes] = {}

    async def acquire(
        self, request: model.ValidatedRequest
    ) -> ClaimGrant | Answer:
        """Claim the key of a request, or return an earlier attempt's outcome.

        Returns:
            A grant if the request may be dispatched, else its answer.
        """
        claim_name = name_claim(request.customer, request.idempotency_key or "")
        local_claim = self._local_claims.get(claim_name)
        if local_claim is not None and local_claim.state != NOT_RUN:
            return self._repeat_answer(local_claim, request)
        if claim_name in self._pending_names:
            return _answer_in_progress()
        self._pending_names.add(claim_name)
        try:
            expected = local_claim.record if local_claim is not None else None
            return await self._write_claim(claim_name, request, expected)
        finally:
            self._pending_names.discard(claim_name)

    def record_outcome(self, grant: ClaimGrant, answer: Answer) -> None:
        """Remember the outcome of a request that was dispatched on a grant."""
        local_claim = self._local_claims[grant.claim_name]
        if isinstance(answer, Done):
            local_claim.state = DONE
            if len(answer.body) <= _MAX_REMEMBERED_BODY_BYTES:
                local_claim.answer = dataclasses.replace(answer, repeat=True)
        elif isinstance(answer, NotRun):
            local_claim.state = NOT_RUN
        else:
            local_claim.state = UNKNOWN

    def get_outcome(self, claim_name: str) -> messages.AnswerReply:
        """Return the outcome of a claim to the peer that asks for it."""
        local_claim = self._local_claims.get(claim_name)
        if local_claim is None:
            return messages.AnswerReply(UNKNOWN)
        if local_claim.answer is None:
            state = UNKNOWN if local_claim.state == DONE else local_claim.state
            return messages.AnswerReply(state)
        answer = local_claim.answer
        return messages.AnswerReply(
            DONE, answer.status, answer.body, answer.content_type
        )

    async def _write_claim(
        self,
        claim_name: str,
        request: model.ValidatedRequest,
        expected: store.Record | None,
    ) -> ClaimGrant | Answer:
        """Replace the record `expected` by a claim of this entry."""
        claim = Claim(self._entry, self._life, request.digest)
        try:
            lease = await self._get_lease()
        except store.StoreUnavailableError as error:
            return _answer_store_unavailable(str(error))
        outcome = await self._client.compare_and_swap(
            self._prefix + claim_name, expected, codec.pack(claim), lease=lease
        )
        if isinstance(outcome, store.Committed):
            self._remember(claim_name, outcome.record, request.digest)
            return ClaimGrant(claim_name)
        if isinstance(outcome, store.Unavailable):
            if outcome.maybe_written:
                self._uncertain_write_ids[claim_name] = outcome.write_id
            return _answer_store_unavailable(outcome.cause)
        current = outcome.current
        if current is None:
            return _answer_store_unavailable("the claim lapsed meanwhile")
        return await self._resolve_conflict(claim_name, request, current)

    async def _resolve_conflict(
        self,
        claim_name: str,
        request: model.ValidatedRequest,
        current: store.Record,
    ) -> ClaimGrant | Answer:
        """Return the outcome of the attempt that holds the current claim.

        If that attempt did not run, try to take the claim over.
        """
        claim: Claim = codec.unpack(Claim, current.value)
        if claim.digest != request.digest:
            return _answer_key_reused(request)
        if claim.entry == self._entry:
            return await self._resolve_own_claim(claim_name, request, current)
        reply = await self._ask_peer(claim.entry, claim_name)
        if reply is None or reply.state == UNKNOWN:
            return _answer_earlier_unknown(f"entry {claim.entry}")
        if reply.state == DONE:
            return Done(
                reply.status, reply.body, reply.content_type, repeat=True
            )
        if reply.state == RUNNING:
            return _answer_in_progress()
        # The earlier attempt did not run. Its entry must also swap the claim
        # again before it may dispatch, so only one of the two entries wins.
        return await self._write_claim(claim_name, request, current)

    async def _resolve_own_claim(
        self,
        claim_name: str,
        request: model.ValidatedRequest,
        current: store.Record,
    ) -> ClaimGrant | Answer:
        """Resolve a claim of this entry that it doesn't remember.

        The claim may come from a write that timed out and took effect all the
        same. The request of that write was refused, so this request may run.
        Otherwise the earlier request may have run: an earlier process of this
        entry dispatched it, or its claim was evicted from a full memory.
        """
        if current.write_ids[0] != self._uncertain_write_ids.get(claim_name):
            return _answer_earlier_unknown("this entry, which has forgotten it")
        return await self._write_claim(claim_name, request, current)

    def _remember(
        self, claim_name: str, record: store.Record, digest: str
    ) -> None:
        self._local_claims[claim_name] = _LocalClaim(record, digest)
        self._local_claims.move_to_end(claim_name)
        self._uncertain_write_ids.pop(claim_name, None)
        while len(self._local_claims) > self._max_remembered:
            self._local_claims.popitem(last=False)

    def _repeat_answer(
        self, local_claim: _LocalClaim, request: model.ValidatedRequest
    ) -> Answer:
        """Answer a repeated request from the claim of its earlier attempt."""
        if local_claim.digest != request.digest:
            return _answer_key_reused(request)
        if local_claim.state == RUNNING:
            return _answer_in_progress()
        if local_claim.answer is not None:
            return local_claim.answer
        return _answer_earlier_unknown("this entry")


def name_claim(customer: str, key: str) -> str:
    """Return the name of the claim on a customer's idempotency key.

    >>> name_claim("a", "k").startswith("a/")
    True
    """
    digest = hashlib.blake2b(key.encode(), digest_size=16).hexdigest()
    return f"{customer}/{digest}"


def _answer_in_progress() -> Unknown:
    return Unknown(
        Refusal(RefusalReason.KEY_IN_PROGRESS, "", _IN_PROGRESS_RETRY_AFTER_S)
    )


def _answer_key_reused(request: model.ValidatedRequest) -> NotRun:
    return NotRun(
        Refusal(RefusalReason.KEY_REUSED, f"key {request.idempotency_key!r}")
    )


def _answer_store_unavailable(cause: str) -> Unknown:
    """Refuse an attempt because its claim could not be written.

    This attempt did not run, but an earlier attempt with the same key may
    have, so the outcome "not run" could be false.
    """
    return Unknown(
        Refusal(RefusalReason.STORE_UNAVAILABLE, cause, _STORE_RETRY_AFTER_S)
    )


def _answer_earlier_unknown(holder: str) -> Unknown:
    return Unknown(
        Refusal(RefusalReason.EARLIER_TRY_UNKNOWN, f"claimed by {holder}")
    )
