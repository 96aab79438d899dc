"""Entries apply configuration changes in time, under all kinds of faults."""

import os

import hypothesis
from hypothesis import strategies
import pytest
import trio
import trio.testing

from standins import emulator
from standins import fuzzing
from standins.emulator import changes as change_rules
from standins.emulator import cluster as clusters
from standins.emulator import faults
from standins.emulator import operators
from standins.emulator import store as stores
from standins.emulator import touch as touches
from standins.emulator.tests import test_histories

_SETTLED_S = 6.35
# From the fault to the change. Heartbeats come every second; an entry reads the
# configuration itself every three seconds unless a peer has told it.
_WAITS_S = tuple(1.0 + 0.35 * number for number in range(9))
_ASKING_S = 0.05
_SEEDS = int(os.environ.get("CROCUSROUTER_DAYS", "12"))
_ROUTE, _KEY = operators.ROUTES[0], operators.KEYS[0]


async def _ask_for_a_while(held, for_s):
    with trio.move_on_after(for_s):
        await faults.ask_all(held, 1)


# Returns the oracle after some calls. Version 2 has the route only, version 3
# also the key; version 4 is invalid.
def _judge(sent_at, handling, *, impaired_at=None, earlier=(), hidden_at=12.0):
    touch = touches.Touch()
    if impaired_at is not None:
        touch.note_impaired("e0", impaired_at)
    changes = change_rules.Changes(touch)
    for at, version, routes, keys, valid in (
        (0.0, 2, {_ROUTE}, set(), True),
        (10.0, 3, {_ROUTE}, {_KEY}, True),
        (hidden_at, 4, set(), set(), False),
    ):
        changes.note_confirmed(
            change_rules.Edition(
                version, frozenset(routes), frozenset(keys), valid=valid
            ),
            at,
        )
    for at, said in (*earlier, (sent_at, handling)):
        changes.note_call(
            change_rules.Call("e0", 1, _ROUTE, _KEY, at, at + 0.01, said)
        )
    return changes


@pytest.mark.parametrize(
    ("sent_at", "handling", "impaired_at", "earlier", "broken"),
    [
        (11.9, change_rules.Handling.NO_KEY, None, (), False),
        (12.1, change_rules.Handling.NO_KEY, None, (), True),
        (12.1, change_rules.Handling.NO_KEY, 9.0, (), True),
        (12.1, change_rules.Handling.NO_KEY, 9.2, (), False),
        (12.1, change_rules.Handling.SERVED, None, (), False),
        (10.2, change_rules.Handling.NO_KEY, None, [(10.1, "served")], False),
        (10.5, change_rules.Handling.NO_KEY, None, [(10.1, "served")], True),
        (11.5, change_rules.Handling.NO_KEY, 9.2, [(10.1, "served")], False),
        (12.5, change_rules.Handling.NO_KEY, 9.6, [(10.1, "served")], True),
        (9.0, change_rules.Handling.SERVED, None, (), True),
        (10.5, change_rules.Handling.NO_ROUTE, None, (), True),
        (12.1, change_rules.Handling.NOT_DECIDED, None, (), False),
    ],
)
def test_oracle_of_changes(sent_at, handling, impaired_at, earlier, broken):
    past = [(at, change_rules.Handling(said)) for at, said in earlier]
    changes = _judge(sent_at, handling, impaired_at=impaired_at, earlier=past)
    assert bool(changes.broken) is broken


@pytest.mark.parametrize(
    ("hidden_at", "broken"), [(11.9, False), (12.0, True), (13.0, True)]
)
def test_oracle_asks_for_no_version_that_nobody_could_read(hidden_at, broken):
    changes = _judge(12.5, change_rules.Handling.NO_KEY, hidden_at=hidden_at)
    assert bool(changes.broken) is broken


async def _silence(held, names, for_s):
    """Lose the store's answers to some entries for some seconds."""
    for name in names:
        held.store.turned_away[name] = stores.StoreFault.SILENT
    await trio.sleep(for_s)
    for name in names:
        del held.store.turned_away[name]


async def _play(trouble, wait_s):
    """Inject a fault, add a route and a key, and call all entries."""
    held = clusters.Cluster(5)
    async with trio.open_nursery() as nursery:
        await nursery.start(held.run)
        await trio.sleep(_SETTLED_S)
        await trouble(held, nursery, wait_s)
        held.operators.toggle(_ROUTE, _KEY, trio.current_time())
        with trio.move_on_after(6.0):
            while True:
                for name in held.names:
                    nursery.start_soon(held.ask_for, name, _ROUTE, _KEY)
                await trio.sleep(_ASKING_S)
        nursery.cancel_scope.cancel()
    assert held.changes.judged > 50
    return held


def _find_follower(held):
    return next(name for name in held.names if name != held.find_owner())


async def _lose_an_answer_then_peers(held, nursery, wait_s):
    name = _find_follower(held)
    await _silence(held, [name], 0.1)
    await trio.sleep(wait_s)
    held.cut_off.add(name)


async def _lose_an_answer_then_owner_its_peers(held, nursery, wait_s):
    name = held.find_owner()
    await _silence(held, [name], 0.1)
    await trio.sleep(wait_s)
    held.cut_off.add(name)


async def _let_peers_stand_still(held, nursery, wait_s, for_s=5.0):
    name = _find_follower(held)
    await _silence(held, [name], 0.1)
    await trio.sleep(wait_s)
    for other in held.names:
        if other != name:
            nursery.start_soon(held.suspensions.suspend, other, for_s)
    await trio.sleep(_ASKING_S)


async def _hold_heartbeats_up(held, nursery, wait_s):
    """Delay the peers' heartbeats, but less than the entry waits for them."""
    await _let_peers_stand_still(held, nursery, wait_s, 2.4)


async def _refuse_watches(held, nursery, wait_s):
    held.store.refused_watches.add(clusters.OPERATORS)
    await trio.sleep(wait_s)


async def _refuse_watches_then_cut_peers(held, nursery, wait_s):
    await _refuse_watches(held, nursery, wait_s)
    held.cut_off.add(_find_follower(held))


async def _lose_answers_of_all(held, nursery, wait_s):
    await _silence(held, held.names, 0.1)
    await trio.sleep(wait_s)


# Callers are told that a route or a key doesn't exist, seconds after its
# version was confirmed: neither a watch nor a peer has told the entry of the
# change.
@pytest.mark.parametrize("wait_s", _WAITS_S)
@pytest.mark.parametrize(
    "trouble",
    [
        _lose_an_answer_then_peers,
        _lose_an_answer_then_owner_its_peers,
        _let_peers_stand_still,
        _hold_heartbeats_up,
        _refuse_watches,
        _refuse_watches_then_cut_peers,
        _lose_answers_of_all,
    ],
)
async def test_change_that_no_watch_brings_is_in_force_in_time(
    trouble, wait_s, autojump_clock
):
    held = await _play(trouble, wait_s)
    assert held.changes.broken == []
    assert held.changes.unready == 0


# Every entry answers 503 from then on, because operators have written an
# invalid configuration.
@pytest.mark.parametrize("form", operators.INVALID)
async def test_invalid_configuration_leaves_the_last_valid_one_in_force(
    form, autojump_clock
):
    held = clusters.Cluster(5)
    async with trio.open_nursery() as nursery:
        await nursery.start(held.run)
        await trio.sleep(_SETTLED_S)
        held.operators.toggle(_ROUTE, _KEY, trio.current_time())
        await trio.sleep(1.0)
        held.operators.write_invalid(form, trio.current_time())
        await _ask_for_a_while(held, 12.0)
        held.operators.toggle(_ROUTE, _KEY, trio.current_time())
        await _ask_for_a_while(held, 4.0)
        nursery.cancel_scope.cancel()
    assert held.changes.broken == []
    assert held.changes.unready == 0


# Any history of changes and faults, checked by the answers to callers.
@fuzzing.build_settings(12)
@hypothesis.given(
    seed=strategies.integers(0, 1000),
    events=test_histories.EVENTS,
    per_s=strategies.sampled_from((0.3, 1.0, 3.0)),
)
def test_machine_of_changes_keeps_the_rules(seed, events, per_s):
    held = trio.run(
        lambda: emulator.play(
            seed,
            emulator.Load(1.0, 12.0),
            sorted(events, key=lambda event: event.at),
            changes_per_s=per_s,
        ),
        clock=trio.testing.MockClock(autojump_threshold=0),
    )
    assert held.oracle.broken == []
    assert held.changes.judged > 50


@pytest.mark.parametrize("seed", range(_SEEDS))
async def test_drawn_days_with_changes_keep_the_rules(seed, autojump_clock):
    load = emulator.Load()
    drawn = emulator.choose_faults(seed, 6, load.length_s, list(faults.EARLIER))
    held = await emulator.play(seed, load, drawn, changes_per_s=1.0)
    assert held.oracle.broken == []
    assert held.changes.judged > 50
