"""Random histories of requests with keys, checked by an oracle.

Callers repeat keys at other entries, entries restart and lose their memory,
entries can't reach each other, and the store refuses calls or loses answers.
The oracle counts how often each request really ran.
"""

import collections
import dataclasses

import hypothesis
from hypothesis import strategies
import trio
import trio.testing

from crocusrouter import templates
from crocusrouter.outcomes import Done
from crocusrouter.outcomes import NotRun
from crocusrouter.outcomes import Refusal
from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import Unknown
from crocusrouter.requests import chain
from crocusrouter.requests import claims
from crocusrouter.requests import model
from crocusrouter.store.tests import fakes
from standins import fuzzing

_ENTRIES = ("e1", "e2", "e3")
_TEMPLATE = templates.Template("a", "0" * 64)
_REQUEST_KIND = templates.RequestKind("matching", idempotent=False)
_REFUSED = NotRun(Refusal(RefusalReason.NO_ENDPOINT))
_LOST = Unknown(Refusal(RefusalReason.ANSWER_LOST))


@dataclasses.dataclass(frozen=True)
class _Attempt:
    """One attempt: the entry asked, the key, and what the endpoint does."""

    entry: str
    key: str
    endpoint_outcome: str


_ATTEMPTS = strategies.builds(
    _Attempt,
    strategies.sampled_from(_ENTRIES),
    strategies.sampled_from(["k1", "k2"]),
    strategies.sampled_from(["done", "not-run", "lost", "slow"]),
)
_OPERATIONS = strategies.one_of(
    strategies.tuples(
        strategies.just("calls"),
        strategies.lists(_ATTEMPTS, min_size=1, max_size=3),
    ),
    strategies.tuples(
        strategies.just("restart"), strategies.sampled_from(_ENTRIES)
    ),
    strategies.tuples(strategies.just("cut"), strategies.booleans()),
    strategies.tuples(
        strategies.just("store"),
        strategies.lists(
            strategies.sampled_from(["lose", "refuse", None]), max_size=4
        ),
    ),
)


class _History:
    """A history of requests at entries that share a store.

    `run_counts` holds how often each key really ran.
    """

    def __init__(self, max_remembered=100):
        self.max_remembered = max_remembered
        self.service = fakes.FakeService()
        self.run_counts = collections.Counter()
        self.peers_unreachable = False
        self.entries = {}
        for name in _ENTRIES:
            self.restart(name)

    def restart(self, name):
        entry_claims = claims.ClaimRegistry(
            name,
            self.service.open_client(call_timeout_s=0.2),
            "claims/",
            self._ask_peer,
            self._get_lease,
            max_remembered=self.max_remembered,
        )
        self.entries[name] = entry_claims

    async def _get_lease(self):
        return 0

    async def _ask_peer(self, entry, claim_name):
        await trio.lowlevel.checkpoint()
        return (
            None
            if self.peers_unreachable
            else self.entries[entry].get_outcome(claim_name)
        )

    async def run(self, operations):
        for operation, argument in operations:
            if operation == "calls":
                async with trio.open_nursery() as nursery:
                    for attempt in argument:
                        nursery.start_soon(self.run_attempt, attempt)
            elif operation == "restart":
                self.restart(argument)
            elif operation == "cut":
                self.peers_unreachable = argument
            else:
                self.service.failures = list(argument)

    async def run_attempt(self, attempt):
        entry_claims = self.entries[attempt.entry]
        body = attempt.key.encode()
        request = model.ValidatedRequest(
            "id",
            _TEMPLATE,
            "reserve",
            _REQUEST_KIND,
            body,
            attempt.key,
            attempt.key,
            1e9,
        )

        async def dispatch(_):
            if attempt.endpoint_outcome == "not-run":
                return _REFUSED
            self.run_counts[attempt.key] += 1
            if attempt.endpoint_outcome == "slow":
                await trio.sleep(1.0)
            return (
                _LOST if attempt.endpoint_outcome == "lost" else Done(200, body)
            )

        runs_before = self.run_counts[attempt.key]
        answer = await chain.ClaimFilter(entry_claims)(request, dispatch)
        self.check(attempt, answer, runs_before)

    def check(self, attempt, answer, runs_before):
        """Check that a key ran at most once and that the answer is true."""
        assert self.run_counts[attempt.key] <= 1, attempt
        if isinstance(answer, NotRun):
            assert runs_before == 0, (attempt, answer)
        if isinstance(answer, Done):
            assert self.run_counts[attempt.key] == 1
            assert answer.body == attempt.key.encode()


@hypothesis.settings(parent=fuzzing.build_settings(150, 50))
@hypothesis.given(strategies.lists(_OPERATIONS, max_size=12))
def test_keys_run_at_most_once_machine(operations):
    async def main():
        await _History().run(operations)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


# Regression: a caller repeats a key long after its request ran, when other keys
# have evicted the claim from the entry's memory. The entry mistook the claim
# for a write that had not taken effect, and ran the request again.
def test_evicted_claim_does_not_run_again():
    async def main():
        history = _History(max_remembered=1)
        for key in ("k1", "k2", "k1"):
            await history.run_attempt(_Attempt("e1", key, "done"))
        return history.run_counts["k1"]

    clock = trio.testing.MockClock(autojump_threshold=0)
    assert trio.run(main, clock=clock) == 1


# A caller disconnects while its request runs, and sends the request again
# later. The cancelled request may have run at the endpoint, so its outcome is
# unknown.
def test_cancelled_request_is_not_recorded_as_not_run():
    async def main():
        history = _History()
        with trio.move_on_after(0.5):
            await history.run_attempt(_Attempt("e1", "k1", "slow"))
        await history.run_attempt(_Attempt("e1", "k1", "done"))
        await history.run_attempt(_Attempt("e2", "k1", "done"))
        return history.run_counts["k1"]

    clock = trio.testing.MockClock(autojump_threshold=0)
    assert trio.run(main, clock=clock) == 1


def test_keys_run_at_most_once_machine_reaches_repeats():
    """A random history is a useful test only if it repeats keys."""
    attempts = [_Attempt("e1", "k1", "done"), _Attempt("e2", "k1", "done")]

    async def main():
        history = _History()
        await history.run([("calls", [attempt]) for attempt in attempts])
        return history.run_counts["k1"]

    clock = trio.testing.MockClock(autojump_threshold=0)
    assert trio.run(main, clock=clock) == 1
