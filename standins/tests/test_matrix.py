"""Tests that the table of rules in docs/proof.md matches the oracles."""

import pathlib

import pytest

from standins import emulator
from standins import soak

_PROOF = pathlib.Path(__file__).parents[2] / "docs" / "proof.md"
_HEADER_ROW = "| rule | emulator | histories | soak | bench |"
_COLUMNS = {"emulator": 1, "soak": 3}


def _read_rows():
    lines = _PROOF.read_text().splitlines()
    rows = {}
    for line in lines[lines.index(_HEADER_ROW) + 2 :]:
        if not line.startswith("|"):
            break
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        rows[cells[0]] = cells
    return rows


def test_each_rule_has_a_row():
    assert set(_read_rows()) == {str(rule) for rule in emulator.Rule}


@pytest.mark.parametrize(
    ("column", "checked_rules"),
    [("emulator", emulator.CHECKED), ("soak", soak.CHECKED)],
)
def test_rules_are_judged_where_the_table_says(column, checked_rules):
    rules_in_table = {
        rule
        for rule, cells in _read_rows().items()
        if not cells[_COLUMNS[column]].startswith("no")
    }
    assert rules_in_table == {str(rule) for rule in checked_rules}
