"""Random histories of keyed requests at several entries, against an oracle.

Callers repeat keys at other entries, entries restart and forget, peers can't
reach each other, and the store refuses calls or loses answers. The oracle
counts what really ran.
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
_RULES = templates.RequestKind("matching", idempotent=False)
_REFUSED = NotRun(Refusal(RefusalReason.NO_ENDPOINT))
_LOST = Unknown(Refusal(RefusalReason.ANSWER_LOST))


@dataclasses.dataclass(frozen=True)
class _Call:
    """One try: where, under which key, and what the endpoint does."""

    entry: str
    key: str
    fate: str


_CALLS = strategies.builds(
    _Call,
    strategies.sampled_from(_ENTRIES),
    strategies.sampled_from(["k1", "k2"]),
    strategies.sampled_from(["done", "not-run", "lost", "slow"]),
)
_OPERATIONS = strategies.one_of(
    strategies.tuples(
        strategies.just("calls"),
        strategies.lists(_CALLS, min_size=1, max_size=3),
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
    """Entries over one store, and what really ran."""

    def __init__(self, remembered=100):
        self.remembered = remembered
        self.service = fakes.FakeService()
        self.ran = collections.Counter()
        self.cut = False
        self.entries = {}
        for name in _ENTRIES:
            self.restart(name)

    def restart(self, name):
        held = claims.Claims(
            name,
            self.service.open_client(call_timeout_s=0.2),
            "claims/",
            self._ask_peer,
            self._find_lease,
            remembered=self.remembered,
        )
        self.entries[name] = held

    async def _find_lease(self):
        return 0

    async def _ask_peer(self, entry, name):
        await trio.lowlevel.checkpoint()
        return None if self.cut else self.entries[entry].recall(name)

    async def run(self, operations):
        for kind, argument in operations:
            if kind == "calls":
                async with trio.open_nursery() as nursery:
                    for one in argument:
                        nursery.start_soon(self.call, one)
            elif kind == "restart":
                self.restart(argument)
            elif kind == "cut":
                self.cut = argument
            else:
                self.service.failures = list(argument)

    async def call(self, one):
        held = self.entries[one.entry]
        body = one.key.encode()
        call = model.Call(
            "id", _TEMPLATE, "reserve", _RULES, body, one.key, one.key, 1e9
        )

        async def dispatch(_):
            if one.fate == "not-run":
                return _REFUSED
            self.ran[one.key] += 1
            if one.fate == "slow":
                await trio.sleep(1.0)
            return _LOST if one.fate == "lost" else Done(200, body)

        began_with = self.ran[one.key]
        answer = await chain.ClaimFilter(held)(call, dispatch)
        self.check(one, answer, began_with)

    def check(self, one, answer, began_with):
        """The oracle: at most one run, and only true answers."""
        assert self.ran[one.key] <= 1, one
        if isinstance(answer, NotRun):
            assert began_with == 0, (one, answer)
        if isinstance(answer, Done):
            assert self.ran[one.key] == 1
            assert answer.body == one.key.encode()


@hypothesis.settings(parent=fuzzing.build_settings(150, 50))
@hypothesis.given(strategies.lists(_OPERATIONS, max_size=12))
def test_keys_run_at_most_once_machine(operations):
    async def main():
        await _History().run(operations)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


# Regression: the caller repeats a key long after its request ran. Other keys
# have pushed the claim out of the entry's memory; taking it for a write that
# never took effect ran the request again.
def test_forgotten_claim_runs_no_second_time():
    async def main():
        history = _History(remembered=1)
        for key in ("k1", "k2", "k1"):
            await history.call(_Call("e1", key, "done"))
        return history.ran["k1"]

    clock = trio.testing.MockClock(autojump_threshold=0)
    assert trio.run(main, clock=clock) == 1


# The caller hangs up while its reservation runs, and asks again later. What
# was cancelled here may have run there: the truth is unknown.
def test_cancelled_request_is_not_taken_for_one_that_did_not_run():
    async def main():
        history = _History()
        with trio.move_on_after(0.5):
            await history.call(_Call("e1", "k1", "slow"))
        await history.call(_Call("e1", "k1", "done"))
        await history.call(_Call("e2", "k1", "done"))
        return history.ran["k1"]

    clock = trio.testing.MockClock(autojump_threshold=0)
    assert trio.run(main, clock=clock) == 1


def test_keys_run_at_most_once_machine_reaches_repeats():
    """The histories are worth something only if keys are repeated."""
    calls = [_Call("e1", "k1", "done"), _Call("e2", "k1", "done")]

    async def main():
        history = _History()
        await history.run([("calls", [one]) for one in calls])
        return history.ran["k1"]

    clock = trio.testing.MockClock(autojump_threshold=0)
    assert trio.run(main, clock=clock) == 1
