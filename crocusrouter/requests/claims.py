"""Claims: at most one run for a caller's key over all entries.

Before a non-idempotent request with a key is dispatched, its entry creates a
claim in the key-value service by compare-and-swap. Whoever finds the claim
taken asks the entry that holds it; if that entry is gone, the only true
answer is that an earlier try may have run.
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

_REMEMBERED = 20_000
_LARGEST_REMEMBERED = 16 << 10
_IN_PROGRESS_RETRY_S = 0.5
_STORE_RETRY_S = 1.0

RUNNING = "running"
DONE = "done"
NOT_RUN = "not-run"
UNKNOWN = "unknown"

# Asks the entry of that name for what it remembers; None if unreachable.
AskPeer = Callable[[str, str], Awaitable[messages.AnswerReply | None]]


@dataclasses.dataclass(frozen=True)
class Claim:
    """What the key-value service holds for a key.

    Attributes:
        entry: Name of the entry that may dispatch.
        life: Random name of that entry's process; a restart forgets.
        digest: Hash of the request.
    """

    entry: str
    life: str
    digest: str


@dataclasses.dataclass
class _Memory:
    """What this process knows of a claim of its own."""

    record: store.Record
    digest: str
    state: str = RUNNING
    answer: Done | None = None


@dataclasses.dataclass(frozen=True)
class Granted:
    """The claim is ours; dispatch and then `settle` it."""

    name: str


class Claims:
    """Takes, remembers and answers for claims."""

    def __init__(
        self,
        entry: str,
        client: store.StoreClient,
        prefix: str,
        ask_peer: AskPeer,
        lease: Callable[[], Awaitable[int]],
        remembered: int = _REMEMBERED,
    ) -> None:
        """Prepare an empty memory.

        Args:
            entry: Our name.
            client: The key-value service.
            prefix: Key prefix of claims.
            ask_peer: Asks another entry for an answer.
            lease: Returns the lease under which claims live.
            remembered: How many claims to remember.
        """
        self._entry = entry
        self._life = uuid.uuid4().hex[:16]
        self._client = client
        self._prefix = prefix
        self._ask_peer = ask_peer
        self._lease = lease
        self._remembered = remembered
        self._memory: collections.OrderedDict[str, _Memory] = (
            collections.OrderedDict()
        )
        self._taking: set[str] = set()
        self._uncertain: dict[str, bytes] = {}

    async def take(self, call: model.Call) -> Granted | Answer:
        """Claim the key of a request, or say what came of an earlier try."""
        name = name_claim(call.customer, call.key or "")
        held = self._memory.get(name)
        if held is not None and held.state != NOT_RUN:
            return self._repeat(held, call)
        if name in self._taking:
            return _refuse_running()
        self._taking.add(name)
        try:
            expected = held.record if held is not None else None
            return await self._swap(name, call, expected)
        finally:
            self._taking.discard(name)

    def settle(self, granted: Granted, answer: Answer) -> None:
        """Remember what came of a claimed request."""
        held = self._memory[granted.name]
        if isinstance(answer, Done):
            held.state = DONE
            if len(answer.body) <= _LARGEST_REMEMBERED:
                held.answer = dataclasses.replace(answer, repeat=True)
        elif isinstance(answer, NotRun):
            held.state = NOT_RUN
        else:
            held.state = UNKNOWN

    def recall(self, name: str) -> messages.AnswerReply:
        """Answer another entry that found our claim."""
        held = self._memory.get(name)
        if held is None:
            return messages.AnswerReply(UNKNOWN)
        if held.answer is None:
            state = UNKNOWN if held.state == DONE else held.state
            return messages.AnswerReply(state)
        answer = held.answer
        return messages.AnswerReply(
            DONE, answer.status, answer.body, answer.content_type
        )

    async def _swap(
        self, name: str, call: model.Call, expected: store.Record | None
    ) -> Granted | Answer:
        claim = Claim(self._entry, self._life, call.digest)
        try:
            lease = await self._lease()
        except store.StoreUnavailableError as error:
            return _refuse_store(str(error))
        outcome = await self._client.swap(
            self._prefix + name, expected, codec.pack(claim), lease=lease
        )
        if isinstance(outcome, store.Committed):
            self._remember(name, outcome.record, call.digest)
            return Granted(name)
        if isinstance(outcome, store.Unavailable):
            if outcome.maybe_written:
                self._uncertain[name] = outcome.write_id
            return _refuse_store(outcome.cause)
        current = outcome.current
        if current is None:
            return _refuse_store("the claim lapsed meanwhile")
        return await self._find_earlier(name, call, current)

    async def _find_earlier(
        self, name: str, call: model.Call, current: store.Record
    ) -> Granted | Answer:
        """Find out what came of the try that holds the claim."""
        claim: Claim = codec.unpack(Claim, current.value)
        if claim.digest != call.digest:
            return _refuse_reused(call)
        if claim.entry == self._entry:
            return await self._judge_own(name, call, current)
        reply = await self._ask_peer(claim.entry, name)
        if reply is None or reply.state == UNKNOWN:
            return _refuse_unknown(f"entry {claim.entry}")
        if reply.state == DONE:
            return Done(
                reply.status, reply.body, reply.content_type, repeat=True
            )
        if reply.state == RUNNING:
            return _refuse_running()
        # It did not run there. The holder must swap again before it may
        # dispatch, so exactly one of us wins.
        return await self._swap(name, call, current)

    async def _judge_own(
        self, name: str, call: model.Call, current: store.Record
    ) -> Granted | Answer:
        """Judge a claim of this entry that isn't in its memory.

        It may be a write that was given up on as uncertain and took effect
        all the same; its request was refused then, so it may run now. Any
        other may have run: an earlier life of this entry, or a claim that was
        pushed out of a full memory.
        """
        if current.write_ids[0] != self._uncertain.get(name):
            return _refuse_unknown("this entry, which no longer remembers it")
        return await self._swap(name, call, current)

    def _remember(self, name: str, record: store.Record, digest: str) -> None:
        self._memory[name] = _Memory(record, digest)
        self._memory.move_to_end(name)
        self._uncertain.pop(name, None)
        while len(self._memory) > self._remembered:
            self._memory.popitem(last=False)

    def _repeat(self, held: _Memory, call: model.Call) -> Answer:
        if held.digest != call.digest:
            return _refuse_reused(call)
        if held.state == RUNNING:
            return _refuse_running()
        if held.answer is not None:
            return held.answer
        return _refuse_unknown("this entry")


def name_claim(customer: str, key: str) -> str:
    """Return the name under which a customer's key is claimed.

    >>> name_claim("a", "k").startswith("a/")
    True
    """
    digest = hashlib.blake2b(key.encode(), digest_size=16).hexdigest()
    return f"{customer}/{digest}"


def _refuse_running() -> Unknown:
    return Unknown(
        Refusal(RefusalReason.KEY_IN_PROGRESS, "", _IN_PROGRESS_RETRY_S)
    )


def _refuse_reused(call: model.Call) -> NotRun:
    return NotRun(Refusal(RefusalReason.KEY_REUSED, f"key {call.key!r}"))


def _refuse_store(cause: str) -> Unknown:
    """Refuse a try whose claim can't be settled.

    This try did not run, but an earlier one with the same key may have, so
    "not run" could be false.
    """
    return Unknown(
        Refusal(RefusalReason.STORE_UNAVAILABLE, cause, _STORE_RETRY_S)
    )


def _refuse_unknown(where: str) -> Unknown:
    return Unknown(
        Refusal(RefusalReason.EARLIER_TRY_UNKNOWN, f"taken by {where}")
    )
