"""Tests of the checks of template edits."""

import orjson
import pytest

from crocusrouter import fleet
from crocusrouter.controllers import template_edits
from crocusrouter.outcomes import RefusalReason
from crocusrouter.templates import Catalog
from crocusrouter.templates import parse_template
from standins import world as worlds


def _build_fleet(states):
    vms = [
        fleet.Vm(
            f"w{number}",
            fleet.Role.WORKER,
            "127.0.0.1:1",
            worlds.DATA_CENTRE,
            state,
            rack="r1",
            accelerators=8,
        )
        for number, state in enumerate(states)
    ]
    return fleet.Fleet({vm.name: vm for vm in vms}, read_at=0.0)


def _build_template(accelerators, survive):
    cell = {
        "data_centre": worlds.DATA_CENTRE,
        "level": "rack",
        "accelerators": accelerators,
    }
    document = worlds.build_template() | {
        "guarantee": [cell],
        "survive": survive,
    }
    return parse_template(orjson.dumps(document))


_LIVE = fleet.VmState.LIVE
_LEAVING = fleet.VmState.LEAVING


# Guards against a refusal from which operators can't tell that the VM list
# doesn't show their workers yet. The list lags behind, and an entry is ready
# once it has read it, so both the count and what to wait for must be named.
@pytest.mark.parametrize(
    ("states", "survive", "seen"),
    [
        ((), "none", "; the VM list has 0 live workers there"),
        ((_LIVE,), "none", "; the VM list has 1 live worker there"),
        ((_LIVE, _LEAVING), "none", "; the VM list has 1 live worker there"),
        (
            (_LIVE, _LIVE),
            "worker",
            ", after the loss of worker w0; the VM list has 2 live workers "
            "there",
        ),
    ],
    ids=["empty", "one", "leaving", "lost"],
)
def test_misfit_names_the_workers_that_the_vm_list_has(states, survive, seen):
    refusal = template_edits.check_edit(
        Catalog(), _build_template(16, survive), None, _build_fleet(states)
    )
    assert refusal.reason is RefusalReason.GUARANTEES_DO_NOT_FIT
    assert refusal.detail == f"a's cell of 16 in one rack of dc{seen}"
    assert "crocusrouter data-centre list" in refusal.remedy


def test_guarantee_fits_once_the_vm_list_has_its_workers():
    refusal = template_edits.check_edit(
        Catalog(),
        _build_template(16, "none"),
        None,
        _build_fleet((_LIVE, _LIVE)),
    )
    assert refusal is None
