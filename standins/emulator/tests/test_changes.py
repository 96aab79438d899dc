"""Entries apply configuration changes in time, under all kinds of faults."""

import os

import hypothesis
from hypothesis import strategies
import pytest
import trio
import trio.testing

from standins import emulator
from standins import fuzzing
from standins.emulator import cluster as clusters
from standins.emulator import config_oracle as config_oracles
from standins.emulator import faults
from standins.emulator import impairment_log as impairment_logs
from standins.emulator import operators
from standins.emulator import store as stores
from standins.emulator.tests import test_histories

_SETTLE_S = 6.35
# From the fault to the change. Heartbeats come every second; an entry reads the
# configuration itself every three seconds unless a peer has told it.
_DELAYS_S = tuple(1.0 + 0.35 * number for number in range(9))
_CALL_INTERVAL_S = 0.05
_SEED_COUNT = int(os.environ.get("CROCUSROUTER_DAYS", "12"))
_ROUTE, _KEY = operators.ROUTES[0], operators.KEYS[0]


async def _call_entries_for(cluster, duration_s):
    with trio.move_on_after(duration_s):
        await faults.call_all_entries(cluster, 1)


# Returns the oracle after some calls. Version 2 has the route only, version 3
# also the key; version 4 is invalid.
def _check_calls(
    sent_at, handling, *, impaired_at=None, earlier=(), invalid_at=12.0
):
    impairments = impairment_logs.ImpairmentLog()
    if impaired_at is not None:
        impairments.note_impaired("e0", impaired_at)
    oracle = config_oracles.ConfigOracle(impairments)
    for at, version, routes, keys, valid in (
        (0.0, 2, {_ROUTE}, set(), True),
        (10.0, 3, {_ROUTE}, {_KEY}, True),
        (invalid_at, 4, set(), set(), False),
    ):
        oracle.note_confirmed(
            config_oracles.ConfigVersion(
                version, frozenset(routes), frozenset(keys), valid=valid
            ),
            at,
        )
    for at, call_handling in (*earlier, (sent_at, handling)):
        oracle.check_call(
            config_oracles.AnsweredCall(
                "e0", 1, _ROUTE, _KEY, at, at + 0.01, call_handling
            )
        )
    return oracle


@pytest.mark.parametrize(
    ("sent_at", "handling", "impaired_at", "earlier", "broken"),
    [
        (11.9, config_oracles.Handling.NO_KEY, None, (), False),
        (12.1, config_oracles.Handling.NO_KEY, None, (), True),
        (12.1, config_oracles.Handling.NO_KEY, 9.0, (), True),
        (12.1, config_oracles.Handling.NO_KEY, 9.2, (), False),
        (12.1, config_oracles.Handling.SERVED, None, (), False),
        (10.2, config_oracles.Handling.NO_KEY, None, [(10.1, "served")], False),
        (10.5, config_oracles.Handling.NO_KEY, None, [(10.1, "served")], True),
        (11.5, config_oracles.Handling.NO_KEY, 9.2, [(10.1, "served")], False),
        (12.5, config_oracles.Handling.NO_KEY, 9.6, [(10.1, "served")], True),
        (9.0, config_oracles.Handling.SERVED, None, (), True),
        (10.5, config_oracles.Handling.NO_ROUTE, None, (), True),
        (12.1, config_oracles.Handling.NOT_DECIDED, None, (), False),
    ],
)
def test_oracle_checks_calls(sent_at, handling, impaired_at, earlier, broken):
    earlier_calls = [
        (at, config_oracles.Handling(call_handling))
        for at, call_handling in earlier
    ]
    oracle = _check_calls(
        sent_at, handling, impaired_at=impaired_at, earlier=earlier_calls
    )
    assert bool(oracle.broken) is broken


@pytest.mark.parametrize(
    ("invalid_at", "broken"), [(11.9, False), (12.0, True), (13.0, True)]
)
def test_oracle_ignores_versions_that_are_replaced_at_once(invalid_at, broken):
    oracle = _check_calls(
        12.5, config_oracles.Handling.NO_KEY, invalid_at=invalid_at
    )
    assert bool(oracle.broken) is broken


async def _lose_store_answers(cluster, names, duration_s):
    """Lose the store's answers to some entries for some seconds."""
    for name in names:
        cluster.store.entry_faults[name] = stores.StoreFault.SILENT
    await trio.sleep(duration_s)
    for name in names:
        del cluster.store.entry_faults[name]


async def _play(disturb, delay_s):
    """Inject a fault, add a route and a key, and call all entries."""
    cluster = clusters.Cluster(5)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(_SETTLE_S)
        await disturb(cluster, nursery, delay_s)
        cluster.operators.toggle(_ROUTE, _KEY, trio.current_time())
        with trio.move_on_after(6.0):
            while True:
                for name in cluster.entry_names:
                    nursery.start_soon(cluster.call_route, name, _ROUTE, _KEY)
                await trio.sleep(_CALL_INTERVAL_S)
        nursery.cancel_scope.cancel()
    assert cluster.config_oracle.judged > 50
    return cluster


def _find_non_owner(cluster):
    return next(
        name for name in cluster.entry_names if name != cluster.find_owner()
    )


async def _lose_answers_then_cut_non_owner(cluster, nursery, delay_s):
    name = _find_non_owner(cluster)
    await _lose_store_answers(cluster, [name], 0.1)
    await trio.sleep(delay_s)
    cluster.partitioned_entries.add(name)


async def _lose_answers_then_cut_owner(cluster, nursery, delay_s):
    name = cluster.find_owner()
    await _lose_store_answers(cluster, [name], 0.1)
    await trio.sleep(delay_s)
    cluster.partitioned_entries.add(name)


async def _lose_answers_then_suspend_peers(
    cluster, nursery, delay_s, duration_s=5.0
):
    name = _find_non_owner(cluster)
    await _lose_store_answers(cluster, [name], 0.1)
    await trio.sleep(delay_s)
    for other in cluster.entry_names:
        if other != name:
            nursery.start_soon(cluster.suspensions.suspend, other, duration_s)
    await trio.sleep(_CALL_INTERVAL_S)


async def _lose_answers_then_delay_heartbeats(cluster, nursery, delay_s):
    """Delay the peers' heartbeats until just before the entry's own read."""
    await _lose_answers_then_suspend_peers(cluster, nursery, delay_s, 2.4)


async def _reject_watches(cluster, nursery, delay_s):
    cluster.store.rejected_prefixes.add(clusters.OPERATORS_PREFIX)
    await trio.sleep(delay_s)


async def _reject_watches_then_cut_non_owner(cluster, nursery, delay_s):
    await _reject_watches(cluster, nursery, delay_s)
    cluster.partitioned_entries.add(_find_non_owner(cluster))


async def _lose_answers_to_all(cluster, nursery, delay_s):
    await _lose_store_answers(cluster, cluster.entry_names, 0.1)
    await trio.sleep(delay_s)


# Callers are told that a route or a key doesn't exist, seconds after its
# version was confirmed: the entry has learnt of the change neither from a watch
# nor from a peer.
@pytest.mark.parametrize("delay_s", _DELAYS_S)
@pytest.mark.parametrize(
    "disturb",
    [
        _lose_answers_then_cut_non_owner,
        _lose_answers_then_cut_owner,
        _lose_answers_then_suspend_peers,
        _lose_answers_then_delay_heartbeats,
        _reject_watches,
        _reject_watches_then_cut_non_owner,
        _lose_answers_to_all,
    ],
)
async def test_change_missed_by_the_watch_is_applied_in_time(
    disturb, delay_s, autojump_clock
):
    cluster = await _play(disturb, delay_s)
    assert cluster.config_oracle.broken == []
    assert cluster.config_oracle.unready == 0


# Every entry answers 503 from then on, because operators have written an
# invalid configuration.
@pytest.mark.parametrize("document", operators.INVALID_DOCUMENTS)
async def test_invalid_configuration_leaves_the_last_valid_one_in_force(
    document, autojump_clock
):
    cluster = clusters.Cluster(5)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(_SETTLE_S)
        cluster.operators.toggle(_ROUTE, _KEY, trio.current_time())
        await trio.sleep(1.0)
        cluster.operators.write_invalid(document, trio.current_time())
        await _call_entries_for(cluster, 12.0)
        cluster.operators.toggle(_ROUTE, _KEY, trio.current_time())
        await _call_entries_for(cluster, 4.0)
        nursery.cancel_scope.cancel()
    assert cluster.config_oracle.broken == []
    assert cluster.config_oracle.unready == 0


# Any history of changes and faults, checked by the answers to callers.
@fuzzing.build_settings(12)
@hypothesis.given(
    seed=strategies.integers(0, 1000),
    events=test_histories.EVENTS,
    per_s=strategies.sampled_from((0.3, 1.0, 3.0)),
)
def test_machine_of_changes_keeps_the_rules(seed, events, per_s):
    cluster = trio.run(
        lambda: emulator.play(
            seed,
            emulator.Load(1.0, 12.0),
            sorted(events, key=lambda event: event.at),
            changes_per_s=per_s,
        ),
        clock=trio.testing.MockClock(autojump_threshold=0),
    )
    assert cluster.oracle.broken == []
    assert cluster.config_oracle.judged > 50


@pytest.mark.parametrize("seed", range(_SEED_COUNT))
async def test_drawn_days_with_changes_keep_the_rules(seed, autojump_clock):
    load = emulator.Load()
    events = emulator.choose_faults(
        seed, 6, load.length_s, list(faults.FAULTS_BEFORE_RESTARTS)
    )
    cluster = await emulator.play(seed, load, events, changes_per_s=1.0)
    assert cluster.oracle.broken == []
    assert cluster.config_oracle.judged > 50
